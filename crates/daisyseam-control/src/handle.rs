//! Requests of this process to its own control instance.

use crate::node::{
    NodeMessage,
    NodeReport, //
};
use arc_swap::ArcSwap;
use daisyseam_runtime::TimerService;
use daisyseam_wire::control_message::Body;
use ractor::ActorRef;
use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};
use tokio::sync::mpsc;

/// Time after which a request that was not answered is given up.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(800);

/// Asks the control instance of this process.
#[derive(Clone)]
pub struct ControlHandle {
    node: ActorRef<NodeMessage>,
    report: Arc<ArcSwap<NodeReport>>,
    timer: TimerService,
}

impl ControlHandle {
    pub(crate) fn new(
        node: ActorRef<NodeMessage>,
        report: Arc<ArcSwap<NodeReport>>,
        timer: TimerService,
    ) -> Self {
        Self {
            node,
            report,
            timer,
        }
    }

    /// Makes a request and waits for its answer.
    ///
    /// Nothing comes back when the instance is gone, decides nothing more or takes too long; what
    /// was asked for may be done all the same.
    pub async fn request(&self, body: Body) -> Option<Body> {
        let (replies, mut reply) = mpsc::channel(1);
        let until = self.timer.now() + REQUEST_TIMEOUT;
        self.node
            .cast(NodeMessage::Request { body, replies })
            .ok()?;
        self.timer.within(until, reply.recv()).await.flatten()
    }

    /// Returns the address of the member that leads, if one is known, as of a moment ago.
    pub fn leader(&self) -> Option<SocketAddr> {
        self.report.load().leader
    }

    /// Returns whether this instance leads, as of a moment ago.
    pub fn is_leader(&self) -> bool {
        self.report.load().is_leader
    }
}
