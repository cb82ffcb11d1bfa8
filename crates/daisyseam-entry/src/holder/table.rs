//! The databases that this instance holds according to the view.

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

/// Longest wait for running transactions when a database is released.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Number of slots of a database whose group is missing from the document.
const DEFAULT_SLOTS: usize = 1;

/// Settings of all holders of this instance.
#[derive(Clone)]
pub struct TableSettings {
    /// This instance.
    pub instance: InstanceId,
    /// User for logging in to the databases.
    pub user: String,
    /// Password for logging in to the databases.
    pub password: String,
    /// HTTP client that reads the state of the databases.
    pub http: reqwest::Client,
    /// Current view of the fleet.
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
    releasing: Arc<Mutex<Vec<HolderHandle>>>,
    change_notify: Arc<Notify>,
}

#[derive(Clone)]
struct HeldUpstream {
    handle: HolderHandle,
    admin_address: SocketAddr,
}

impl HolderTable {
    /// Creates an empty table.
    pub fn new(settings: TableSettings) -> Self {
        Self {
            settings: Arc::new(settings),
            holders: Arc::default(),
            releasing: Arc::default(),
            change_notify: Arc::default(),
        }
    }

    /// Returns the holder of a database if this instance holds it.
    pub fn get(&self, upstream: &UpstreamId) -> Option<HolderHandle> {
        let holders = self.holders.lock();
        holders.get(upstream).map(|held| held.handle.clone())
    }

    /// Returns every holder.
    pub fn all(&self) -> Vec<HolderHandle> {
        let holders = self.holders.lock();
        holders.values().map(|held| held.handle.clone()).collect()
    }

    /// Returns whether no database is held or being released.
    pub fn is_empty(&self) -> bool {
        self.holders.lock().is_empty() && self.releasing.lock().is_empty()
    }

    /// Returns the holders that are releasing their databases.
    pub fn releasing(&self) -> Vec<HolderHandle> {
        self.releasing.lock().clone()
    }

    /// Waits for a change to report to control immediately: a database has been released, or its
    /// reachability, term or role has changed.
    pub async fn changed(&self) {
        self.change_notify.notified().await;
    }

    /// Applies a view that has just been put in force: closes the connections of transactions of
    /// earlier terms, starts holders, and returns those that must release their databases.
    pub async fn apply(&self, view: &FleetView) -> HolderRelease {
        let moved = self.take_moved(view);
        for (upstream, entry) in &view.upstreams {
            if entry.holder.as_ref() != Some(&self.settings.instance) {
                continue;
            }
            match self.get(upstream) {
                Some(handle) => self.update(&handle, view),
                // Connections to a former address may remain, but no database listens there.
                None => self.start(view, upstream, entry).await,
            }
        }
        self.begin_release(moved)
    }

    /// Closes every connection to every database; called at the end of the lease.
    pub fn close_all(&self) {
        let releasing = self.releasing.lock().clone();
        for handle in self.all().iter().chain(&releasing) {
            handle.close_all();
        }
    }

    /// Stops every holder immediately.
    pub fn stop_all(&self) {
        let holders = std::mem::take(&mut *self.holders.lock());
        let releasing = std::mem::take(&mut *self.releasing.lock());
        for handle in holders
            .into_values()
            .map(|held| held.handle)
            .chain(releasing)
        {
            handle.stop();
        }
    }

    /// Allows every holder to open connections again; called at the start of a lease.
    pub fn wake_all(&self) {
        for handle in self.all() {
            handle.wake();
        }
    }

    /// Releases every database; called when the instance stops.
    pub fn release_all(&self) -> HolderRelease {
        let holders = std::mem::take(&mut *self.holders.lock());
        let moved: Vec<_> = holders.into_values().map(|held| held.handle).collect();
        self.begin_release(moved)
    }

    fn begin_release(&self, moved: Vec<HolderHandle>) -> HolderRelease {
        self.releasing.lock().extend(moved.iter().cloned());
        HolderRelease {
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
        handle.close_before_term(group.term);
        let state = handle.observation().state;
        if state.is_none_or(|state| state.promised != group.term) {
            handle.refresh();
        }
    }

    /// Removes the holders of databases whose holder, addresses or group have changed in the view.
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
            change_notify: Arc::clone(&self.change_notify),
        };
        let probe = HttpProbe::new(self.settings.http.clone(), entry.admin_address);
        match HolderHandle::start(settings, probe).await {
            Ok(handle) => {
                log::info!("now holding database {upstream}");
                let held = HeldUpstream {
                    handle,
                    admin_address: entry.admin_address,
                };
                self.holders.lock().insert(upstream.clone(), held);
            }
            Err(error) => log::error!("failed to hold database {upstream}: {error}"),
        }
    }
}

/// Holders that must release their databases.
pub struct HolderRelease {
    moved: Vec<HolderHandle>,
    table: HolderTable,
}

impl HolderRelease {
    /// Returns whether there is no holder to wait for.
    pub fn is_empty(&self) -> bool {
        self.moved.is_empty()
    }

    /// Returns the databases that are released.
    pub fn upstreams(&self) -> impl Iterator<Item = &UpstreamId> {
        self.moved.iter().map(|handle| &handle.settings().upstream)
    }

    /// Waits until every connection of the holders is closed; running transactions may finish
    /// within a time limit.
    pub async fn finish(self) {
        let deadline = Instant::now() + RELEASE_TIMEOUT;
        let closings = self.moved.iter().map(|handle| handle.release(deadline));
        join_all(closings).await;
        let gone = |handle: &HolderHandle| self.moved.iter().any(|moved| moved.is_same(handle));
        self.table.releasing.lock().retain(|handle| !gone(handle));
        self.table.change_notify.notify_one();
        for handle in &self.moved {
            log::info!("released database {}", handle.settings().upstream);
        }
    }
}

fn limits(view: &FleetView, group: &GroupId) -> HolderLimits {
    let document = view.document.as_deref();
    let entry = document.and_then(|document| document.groups.get(group));
    HolderLimits {
        slots: entry.map_or(DEFAULT_SLOTS, |entry| entry.slots),
        queue_length: document.map_or(0, |document| document.limits.queue_length),
    }
}
