//! Requests to the control instance in the same process.

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

/// Time limit for a reply to a request.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(800);

/// Handle for requests to the control instance in the same process.
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

    /// Sends a request and waits for the reply.
    ///
    /// Returns `None` if the instance has stopped or failed, or if the request times out. The
    /// request may still have taken effect.
    pub async fn request(&self, body: Body) -> Option<Body> {
        let (replies, mut reply) = mpsc::channel(1);
        let until = self.timer.now() + REQUEST_TIMEOUT;
        self.node
            .cast(NodeMessage::Request { body, replies })
            .ok()?;
        self.timer.within(until, reply.recv()).await.flatten()
    }

    /// Returns the address of the leader, if one was known at the last update.
    pub fn leader(&self) -> Option<SocketAddr> {
        self.report.load().leader
    }

    /// Returns whether this instance was the leader at the last update.
    pub fn is_leader(&self) -> bool {
        self.report.load().is_leader
    }
}
