//! Notices from an instance that no leader contacts.

use crate::node::{
    NodeMessage,
    NodeReport, //
};
use arc_swap::ArcSwap;
use daisyseam_model::{
    ClusterId,
    DataCentreId,
    InstanceId, //
};
use daisyseam_runtime::{
    ControlAddresses,
    Dialer,
    TimerService, //
};
use daisyseam_wire::{
    ControlMessage,
    MessageStream,
    PeerRole,
    PeerSecurity,
    PeerSocket,
    SpareNotice,
    SpareReply,
    control_message::Body, //
};
use ractor::ActorRef;
use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

/// Interval between notices to the leader.
const NOTICE_INTERVAL: Duration = Duration::from_millis(1_000);
/// Delay between attempts with different instances while searching for the leader.
const SEARCH_INTERVAL: Duration = Duration::from_millis(100);
/// Time limit for connecting.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time limit for a reply.
const REPLY_TIMEOUT: Duration = Duration::from_millis(400);

/// Announces this instance to the leader while no leader contacts it.
pub(crate) struct SpareNotifier {
    pub(crate) cluster: ClusterId,
    pub(crate) own_address: SocketAddr,
    pub(crate) data_centre: DataCentreId,
    pub(crate) addresses: ControlAddresses,
    pub(crate) report: Arc<ArcSwap<NodeReport>>,
    pub(crate) dialer: Dialer,
    pub(crate) security: PeerSecurity,
    pub(crate) timer: TimerService,
    pub(crate) node: ActorRef<NodeMessage>,
}

impl SpareNotifier {
    /// Sends notices until the task is aborted.
    pub(crate) async fn run(self) {
        let mut next = 0;
        loop {
            if self.notice().is_none() {
                self.timer.after(NOTICE_INTERVAL).await;
                continue;
            }
            let known = self.addresses.list();
            let others = known
                .into_iter()
                .filter(|address| *address != self.own_address);
            let others: Vec<SocketAddr> = others.collect();
            next += 1;
            let mut target = others.get(next % others.len().max(1)).copied();
            while let Some(address) = target {
                target = self.notify(address).await;
                // Two instances that name each other as leader must not cause a busy loop.
                self.timer.after(SEARCH_INTERVAL).await;
            }
            self.timer.after(SEARCH_INTERVAL).await;
        }
    }

    /// Returns the notice to send, if one is needed.
    fn notice(&self) -> Option<(InstanceId, SpareNotice)> {
        let report = self.report.load();
        if report.failure.is_some() || (report.is_member && report.leader.is_some()) {
            return None;
        }
        let name = report.instance.clone()?;
        let notice = SpareNotice {
            instance: name.to_string(),
            address: self.own_address.to_string(),
            member: report.is_member,
            data_centre: self.data_centre.to_string(),
        };
        Some((name, notice))
    }

    /// Sends notices to an instance while it is the leader; returns the address of another leader.
    async fn notify(&self, address: SocketAddr) -> Option<SocketAddr> {
        let until = self.timer.now() + CONNECT_TIMEOUT;
        let connected = self.timer.within(until, self.connect(address)).await;
        let mut stream = connected.flatten()?;
        while let Some((name, notice)) = self.notice() {
            let until = self.timer.now() + REPLY_TIMEOUT;
            let answered = self
                .timer
                .within(until, send_notice(&mut stream, notice))
                .await;
            let reply = answered.flatten()?;
            let leader = self.handle_reply(name, &reply)?;
            if leader != address {
                return Some(leader);
            }
            self.timer.after(NOTICE_INTERVAL).await;
        }
        None
    }

    async fn connect(
        &self,
        address: SocketAddr,
    ) -> Option<MessageStream<PeerSocket, ControlMessage>> {
        let socket = self.dialer.connect(address).await.ok()?;
        let secured = self.security.client(socket, PeerRole::Control).await;
        Some(MessageStream::new(secured.ok()?, self.cluster.clone()))
    }

    /// Passes a reply on to the node; returns the leader that it names.
    fn handle_reply(&self, name: InstanceId, reply: &SpareReply) -> Option<SocketAddr> {
        let members = reply.members.iter();
        let members: Vec<SocketAddr> = members.filter_map(|text| text.parse().ok()).collect();
        self.addresses.learn(members);
        let leader: Option<SocketAddr> = reply.leader.parse().ok();
        let leader = leader.filter(|leader| *leader != self.own_address);
        let message = match reply.removed {
            true => NodeMessage::RemovedFromMembers(name),
            false => NodeMessage::LeaderHint(leader),
        };
        // If the node has ended, there is nothing to announce.
        self.node.cast(message).ok()?;
        leader
    }
}

async fn send_notice(
    stream: &mut MessageStream<PeerSocket, ControlMessage>,
    notice: SpareNotice,
) -> Option<SpareReply> {
    let message = ControlMessage {
        body: Some(Body::Spare(notice)),
    };
    stream.send(&message).await.ok()?;
    match stream.receive().await.ok()?.body? {
        Body::SpareKnown(reply) => Some(reply),
        _ => None,
    }
}
