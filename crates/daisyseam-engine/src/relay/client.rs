//! Links to the connections that other instances hold.

use super::{
    RelaySettings,
    peer::{
        PeerAvailability,
        RelayPeer,
        RelayedLink, //
    }, //
};
use crate::{
    ConnectError,
    counters,
    link::LinkError,
    pool::{
        AcquireError,
        ConnectionRequest,
        HolderList, //
    }, //
};
use daisyseam_model::{
    FleetView,
    InstanceId, //
};
use daisyseam_runtime::{
    MetricClient,
    TimerService, //
};
use parking_lot::Mutex;
use std::{
    collections::{
        BTreeSet,
        HashMap, //
    },
    net::SocketAddr,
    sync::Arc, //
};
use tokio::time::Instant;

/// Opens links to the connections that other instances hold.
pub(crate) struct RelayClient {
    settings: RelaySettings,
    timer: TimerService,
    metrics: MetricClient,
    peers: Mutex<HashMap<SocketAddr, Arc<RelayPeer>>>,
}

/// How the first usable holder of a database is reached.
pub(crate) enum HolderLink {
    /// It is this instance.
    Own,
    /// Over a link.
    Relayed(RelayedLink),
}

impl RelayClient {
    pub(crate) fn new(settings: RelaySettings, timer: TimerService, metrics: MetricClient) -> Self {
        Self {
            settings,
            timer,
            metrics,
            peers: Mutex::default(),
        }
    }

    /// Closes the connections to instances that are no longer in the view.
    pub(crate) fn apply(&self, view: &FleetView) {
        let instances = view.instances.values();
        let addresses: BTreeSet<_> = instances.map(|instance| instance.peer_address).collect();
        let mut peers = self.peers.lock();
        peers.retain(|address, _| addresses.contains(address));
        for peer in peers.values() {
            peer.retain(|upstream| view.upstreams.contains_key(upstream));
        }
    }

    /// Opens a link to the first holder that responds.
    ///
    /// If no holder responds, this instance opens a connection itself.
    ///
    /// # Errors
    ///
    /// If no holder that responds can reach the database.
    pub(crate) async fn link(
        &self,
        request: ConnectionRequest<'_>,
        holders: &HolderList,
        own: &InstanceId,
    ) -> Result<HolderLink, LinkError> {
        let now = Instant::now();
        let view = request.view.number;
        let mut is_reachable = true;
        for holder in holders {
            if holder == own {
                return Ok(HolderLink::Own);
            }
            let Some(peer) = self.peer(request.view, holder) else {
                continue;
            };
            match peer.availability(request.upstream, view, now) {
                PeerAvailability::Usable => {
                    if let Some(link) = self.open(&peer, request).await {
                        return Ok(HolderLink::Relayed(link));
                    }
                }
                PeerAvailability::NoHolder => {}
                PeerAvailability::NoDatabase => is_reachable = false,
            }
        }
        if !is_reachable {
            let why = "no holder reaches it".to_owned();
            let error = AcquireError::Connect(ConnectError::Unreachable(why));
            return Err(LinkError::Acquire(error));
        }
        self.metrics.count(counters::LINK_NO_HOLDER);
        Ok(HolderLink::Own)
    }

    async fn open(
        &self,
        peer: &Arc<RelayPeer>,
        request: ConnectionRequest<'_>,
    ) -> Option<RelayedLink> {
        let link = peer.link(&self.timer, request).await;
        if link.is_some() {
            self.metrics.count(counters::LINK_RELAYED);
        }
        link
    }

    fn peer(&self, view: &FleetView, holder: &InstanceId) -> Option<Arc<RelayPeer>> {
        let address = view.instances.get(holder)?.peer_address;
        let mut peers = self.peers.lock();
        let peer = peers
            .entry(address)
            .or_insert_with(|| Arc::new(RelayPeer::new(address, self.settings.clone())));
        Some(Arc::clone(peer))
    }
}
