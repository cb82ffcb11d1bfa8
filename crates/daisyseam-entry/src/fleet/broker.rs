//! The broker through which callers obtain links to databases.

use super::{
    known::PrimarySamples,
    link::{
        FleetLink,
        TransactionCounts, //
    },
    routes::RouteMap, //
};
use crate::{
    LinkBroker,
    OpenLinkRequest,
    OpenedLink,
    TransactionOutcome,
    ViewCell,
    holder::HolderTable,
    peer::PeerClient, //
};
use daisyseam_model::{
    DataCentreId,
    ErrorKind,
    FleetView,
    GroupId,
    InstanceId,
    LogPosition,
    RequestError,
    Term,
    UpstreamId,
    announce::UpstreamRole, //
};
use daisyseam_runtime::{
    MetricClient,
    TimerService, //
};
use parking_lot::Mutex;
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};
use tokio::time::Instant;

/// Longest time that a request waits while this instance has no valid lease.
pub(super) const CURRENT_VIEW_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest wait for one answer of a primary; another database may be primary by then.
const PROBE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Time between two attempts while the view does not change.
pub(super) const RETRY_DELAY: Duration = Duration::from_millis(25);

/// Settings of a [`FleetBroker`].
#[derive(Clone)]
pub struct BrokerSettings {
    /// This instance.
    pub instance: InstanceId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Current view of the fleet.
    pub cell: ViewCell,
    /// Databases held by this instance.
    pub table: HolderTable,
    /// Client for the other instances.
    pub peers: PeerClient,
    /// Timer service.
    pub timer: TimerService,
    /// Metrics.
    pub metrics: MetricClient,
}

/// Opens links to any database of the fleet; cheap to clone.
#[derive(Clone)]
pub struct FleetBroker {
    pub(super) shared: Arc<BrokerShared>,
}

pub(super) struct BrokerShared {
    pub(super) settings: BrokerSettings,
    pub(super) routes: RouteMap,
    pub(super) samples: PrimarySamples,
    pub(super) counts: TransactionCounts,
    barriers: Mutex<BTreeMap<GroupId, Arc<SharedBarrier>>>,
}

/// The last position read from a group's primary; the lock holder reads the next.
type SharedBarrier = tokio::sync::Mutex<Option<BarrierPosition>>;

#[derive(Clone)]
struct BarrierPosition {
    requested_at: Instant,
    position: LogPosition,
}

/// Location of the instance that holds a database.
pub(super) enum HolderLocation {
    /// This instance.
    Local,
    /// Another instance, at this address.
    Peer(SocketAddr),
}

impl FleetBroker {
    /// Creates a broker.
    pub fn new(settings: BrokerSettings) -> Self {
        let shared = BrokerShared {
            settings,
            routes: RouteMap::new(),
            samples: PrimarySamples::default(),
            counts: TransactionCounts::default(),
            barriers: Mutex::default(),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Returns the counts of transactions in progress.
    pub fn counts(&self) -> &TransactionCounts {
        &self.shared.counts
    }

    pub(super) fn settings(&self) -> &BrokerSettings {
        &self.shared.settings
    }

    /// Returns the location of a database's holder, if it has one.
    pub(super) fn locate_holder(
        &self,
        view: &FleetView,
        upstream: &UpstreamId,
    ) -> Option<HolderLocation> {
        let holder = view.upstreams.get(upstream)?.holder.as_ref()?;
        if *holder == self.settings().instance {
            return Some(HolderLocation::Local);
        }
        let instance = view.instances.get(holder)?;
        Some(HolderLocation::Peer(instance.peer_address))
    }

    /// Waits for the next view or the retry delay, at most until the deadline; returns whether time
    /// is left.
    pub(super) async fn wait_before_retry(&self, deadline: Instant) -> bool {
        let mut changes = self.settings().cell.subscribe();
        let until = deadline.min(Instant::now() + RETRY_DELAY);
        let _ = self.settings().timer.within(until, changes.changed()).await;
        Instant::now() < deadline
    }

    /// Returns the view, waiting for a limited time if the lease has expired.
    pub(super) async fn view(&self, deadline: Instant) -> Result<Arc<FleetView>, RequestError> {
        let cell = &self.settings().cell;
        let until = deadline.min(Instant::now() + CURRENT_VIEW_TIMEOUT);
        let mut changes = cell.subscribe();
        loop {
            match cell.valid() {
                Ok(view) => return Ok(view),
                Err(kind) => {
                    let changed = changes.changed();
                    let in_time = self.settings().timer.within(until, changed).await;
                    in_time.ok_or(kind)?.map_err(|_| kind)?;
                }
            }
        }
    }

    async fn query_primary(
        &self,
        group: &GroupId,
        deadline: Instant,
    ) -> Result<BarrierPosition, RequestError> {
        loop {
            let view = self.view(deadline).await?;
            let entry = view.groups.get(group);
            if let Some(entry) = entry
                && let Some(primary) = entry.primary.active()
            {
                let requested_at = Instant::now();
                let until = deadline.min(requested_at + PROBE_TIMEOUT);
                let position = self.probe(&view, primary, entry.term, until).await;
                if let Some(position) = position {
                    self.shared.samples.add(group, requested_at, position);
                    self.shared.routes.record_written(group, position);
                    return Ok(BarrierPosition {
                        requested_at,
                        position,
                    });
                }
            }
            if !self.wait_before_retry(deadline).await {
                return Err(ErrorKind::NoPrimary.into());
            }
        }
    }

    /// Returns the position of a term's primary, or nothing if it is not the primary of that term.
    async fn probe(
        &self,
        view: &FleetView,
        primary: &UpstreamId,
        term: Term,
        deadline: Instant,
    ) -> Option<LogPosition> {
        let position = match self.locate_holder(view, primary)? {
            HolderLocation::Local => {
                let handle = self.settings().table.get(primary)?;
                let state = handle.fresh_state(deadline).await?;
                (state.role == UpstreamRole::Primary).then_some(state.end)?
            }
            HolderLocation::Peer(address) => {
                let probed = self.settings().peers.probe(address, primary, deadline);
                let reply = probed.await.ok().filter(|reply| !reply.replica)?;
                LogPosition::from(reply.position?)
            }
        };
        (position.term == term).then_some(position)
    }
}

impl LinkBroker for FleetBroker {
    type Link = FleetLink;

    async fn open(
        &self,
        order: OpenLinkRequest<'_>,
    ) -> Result<OpenedLink<FleetLink>, RequestError> {
        self.open_link(order).await
    }

    async fn confirm(
        &self,
        group: &GroupId,
        at: LogPosition,
        deadline: Instant,
    ) -> Result<(), RequestError> {
        self.confirm_commit(group, at, deadline).await
    }

    async fn barrier(
        &self,
        group: &GroupId,
        deadline: Instant,
    ) -> Result<LogPosition, RequestError> {
        let called = Instant::now();
        let share = {
            let mut barriers = self.shared.barriers.lock();
            Arc::clone(barriers.entry(group.clone()).or_default())
        };
        let timer = &self.settings().timer;
        let locked = timer.within(deadline, share.lock()).await;
        let mut answer = locked.ok_or(ErrorKind::NoPrimary)?;
        // A position requested after the start of this call is valid for it as well.
        if let Some(shared) = answer
            .as_ref()
            .filter(|answer| answer.requested_at >= called)
        {
            return Ok(shared.position);
        }
        let fresh = self.query_primary(group, deadline).await?;
        *answer = Some(fresh.clone());
        Ok(fresh.position)
    }

    async fn outcome(
        &self,
        group: &GroupId,
        term: Term,
        xid: u64,
        deadline: Instant,
    ) -> TransactionOutcome {
        self.find_outcome(group, term, xid, deadline).await
    }
}
