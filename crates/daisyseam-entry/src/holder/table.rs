//! The databases that this instance holds, as the view says.

use super::{
    HolderHandle,
    HolderLimits,
    HolderSettings, //
};
use crate::{
    ViewCell,
    database::{
        DatabaseTarget,
        HttpProbe, //
    }, //
};
use daisyseam_model::{
    FleetView,
    GroupId,
    InstanceId,
    UpstreamId,
    UpstreamView, //
};
use daisyseam_runtime::{
    Dialer,
    TimerService, //
};
use futures_util::future::join_all;
use parking_lot::Mutex;
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};
use tokio::{
    sync::Notify,
    time::Instant, //
};

/// Longest wait for transactions that run when a database is handed over.
const HAND_OVER_GRACE: Duration = Duration::from_millis(1_500);

/// Slots of a database whose group the document does not name.
const SLOTS_DEFAULT: usize = 1;

/// What every holder of this instance needs.
#[derive(Clone)]
pub struct TableSettings {
    /// This instance.
    pub instance: InstanceId,
    /// User at the databases.
    pub user: String,
    /// Password at the databases.
    pub password: String,
    /// HTTP client for the databases' state.
    pub http: reqwest::Client,
    /// The view.
    pub cell: ViewCell,
    /// Outgoing connections.
    pub dialer: Dialer,
    /// Timer service.
    pub timer: TimerService,
}

/// The held databases; cheap to clone.
#[derive(Clone)]
pub struct HolderTable {
    settings: Arc<TableSettings>,
    holders: Arc<Mutex<BTreeMap<UpstreamId, HeldUpstream>>>,
    moving: Arc<Mutex<Vec<HolderHandle>>>,
    news: Arc<Notify>,
}

#[derive(Clone)]
struct HeldUpstream {
    handle: HolderHandle,
    admin_address: SocketAddr,
}

impl HolderTable {
    /// Makes a table that holds nothing.
    pub fn new(settings: TableSettings) -> Self {
        Self {
            settings: Arc::new(settings),
            holders: Arc::default(),
            moving: Arc::default(),
            news: Arc::default(),
        }
    }

    /// Returns the holder of a database, if this instance holds it.
    pub fn get(&self, upstream: &UpstreamId) -> Option<HolderHandle> {
        let holders = self.holders.lock();
        holders.get(upstream).map(|held| held.handle.clone())
    }

    /// Returns every holder.
    pub fn all(&self) -> Vec<HolderHandle> {
        let holders = self.holders.lock();
        holders.values().map(|held| held.handle.clone()).collect()
    }

    /// Returns whether nothing is held and nothing is being let go of.
    pub fn is_empty(&self) -> bool {
        self.holders.lock().is_empty() && self.moving.lock().is_empty()
    }

    /// Returns the holders that are letting go of their databases.
    pub fn moving(&self) -> Vec<HolderHandle> {
        self.moving.lock().clone()
    }

    /// Waits for news that control should hear at once: a database has been let go of, or its
    /// reachability, term or role has changed.
    pub async fn news(&self) {
        self.news.notified().await;
    }

    /// Acts on a view that has just been put in force here: cuts transactions of terms that are
    /// over, starts holders, and returns those that must let go.
    pub async fn apply(&self, view: &FleetView) -> HandOver {
        let moved = self.take_moved(view);
        for (upstream, entry) in &view.upstreams {
            if entry.holder.as_ref() != Some(&self.settings.instance) {
                continue;
            }
            match self.get(upstream) {
                Some(handle) => self.update(&handle, view),
                // The old address may still have connections, but no database hears them there.
                None => self.start(view, upstream, entry).await,
            }
        }
        self.begin_hand_over(moved)
    }

    /// Closes every connection to every database, at the end of the lease.
    pub fn close_all(&self) {
        let moving = self.moving.lock().clone();
        for handle in self.all().iter().chain(&moving) {
            handle.close_all();
        }
    }

    /// Ends every holder at once.
    pub fn stop_all(&self) {
        let holders = std::mem::take(&mut *self.holders.lock());
        let moving = std::mem::take(&mut *self.moving.lock());
        for handle in holders.into_values().map(|held| held.handle).chain(moving) {
            handle.stop();
        }
    }

    /// Lets every holder open connections again, at the start of a lease.
    pub fn wake_all(&self) {
        for handle in self.all() {
            handle.wake();
        }
    }

    /// Lets go of every database, as the instance stops.
    pub fn release_all(&self) -> HandOver {
        let holders = std::mem::take(&mut *self.holders.lock());
        let moved: Vec<_> = holders.into_values().map(|held| held.handle).collect();
        self.begin_hand_over(moved)
    }

    fn begin_hand_over(&self, moved: Vec<HolderHandle>) -> HandOver {
        self.moving.lock().extend(moved.iter().cloned());
        HandOver {
            moved,
            table: self.clone(),
        }
    }

    fn update(&self, handle: &HolderHandle, view: &FleetView) {
        let settings = handle.settings();
        handle.set_limits(limits(view, &settings.group));
        let Some(group) = view.groups.get(&settings.group) else {
            return;
        };
        handle.close_below(group.term);
        let state = handle.observation().state;
        if state.is_none_or(|state| state.promised != group.term) {
            handle.refresh();
        }
    }

    /// Takes out the holders of databases that the view gives to others or places elsewhere.
    fn take_moved(&self, view: &FleetView) -> Vec<HolderHandle> {
        let mut holders = self.holders.lock();
        let stays = |upstream: &UpstreamId, held: &HeldUpstream| {
            view.upstreams.get(upstream).is_some_and(|entry| {
                entry.holder.as_ref() == Some(&self.settings.instance)
                    && entry.address == held.handle.settings().target.address
                    && entry.admin_address == held.admin_address
                    && entry.group == held.handle.settings().group
            })
        };
        let moved: Vec<_> = holders
            .iter()
            .filter(|(upstream, held)| !stays(upstream, held))
            .map(|(upstream, _)| upstream.clone())
            .collect();
        moved
            .iter()
            .filter_map(|upstream| holders.remove(upstream))
            .map(|held| held.handle)
            .collect()
    }

    async fn start(&self, view: &FleetView, upstream: &UpstreamId, entry: &UpstreamView) {
        let settings = HolderSettings {
            instance: self.settings.instance.clone(),
            upstream: upstream.clone(),
            group: entry.group.clone(),
            target: Arc::new(DatabaseTarget {
                address: entry.address,
                user: self.settings.user.clone(),
                password: self.settings.password.clone(),
            }),
            limits: limits(view, &entry.group),
            cell: self.settings.cell.clone(),
            dialer: self.settings.dialer,
            timer: self.settings.timer.clone(),
            news: Arc::clone(&self.news),
        };
        let probe = HttpProbe::new(self.settings.http.clone(), entry.admin_address);
        match HolderHandle::start(settings, probe).await {
            Ok(handle) => {
                log::info!("database {upstream} is held from now on");
                let held = HeldUpstream {
                    handle,
                    admin_address: entry.admin_address,
                };
                self.holders.lock().insert(upstream.clone(), held);
            }
            Err(error) => log::error!("database {upstream} cannot be held: {error}"),
        }
    }
}

/// Holders that must let go of their databases.
pub struct HandOver {
    moved: Vec<HolderHandle>,
    table: HolderTable,
}

impl HandOver {
    /// Returns whether there is nothing to wait for.
    pub fn is_empty(&self) -> bool {
        self.moved.is_empty()
    }

    /// Waits until every connection of theirs is closed: running transactions get some time.
    pub async fn finish(self) {
        let deadline = Instant::now() + HAND_OVER_GRACE;
        let closings = self.moved.iter().map(|handle| handle.let_go(deadline));
        join_all(closings).await;
        let gone = |handle: &HolderHandle| self.moved.iter().any(|moved| moved.is(handle));
        self.table.moving.lock().retain(|handle| !gone(handle));
        self.table.news.notify_one();
        for handle in &self.moved {
            log::info!("database {} is let go of", handle.settings().upstream);
        }
    }
}

fn limits(view: &FleetView, group: &GroupId) -> HolderLimits {
    let document = view.document.as_deref();
    let entry = document.and_then(|document| document.groups.get(group));
    HolderLimits {
        slots: entry.map_or(SLOTS_DEFAULT, |entry| entry.slots),
        queue_length: document.map_or(0, |document| document.limits.queue_length),
    }
}
