//! The control client for operator programs.

use crate::{
    Dialer,
    TimerService, //
};
use daisyseam_model::ClusterId;
use daisyseam_wire::{
    ControlMessage,
    HistoryEntry,
    HistoryRequest,
    MessageStream,
    PeerRole,
    PeerSecurity,
    ShowReply,
    ShowRequest,
    StatusReply,
    StatusRequest,
    SubmitReply,
    SubmitRequest,
    control_message::Body, //
};
use displaydoc::Display;
use std::{
    error::Error,
    net::SocketAddr,
    time::Duration, //
};
use tokio::time::Instant;

/// Timeout for the reply of one control instance.
const REPLY_TIMEOUT: Duration = Duration::from_secs(3);
/// Delay before all control instances are tried again.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Why a request to control failed.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum OperatorError {
    /// no address of a control instance is given
    NoAddress,
    /// no control instance answered in time; last error: {0}
    Unreachable(String),
}

impl Error for OperatorError {}

/// Sends requests to the control instances in turn until one answers.
///
/// Every request may be sent more than once; a submission carries an identifier, so that a resend
/// gets the reply to the first one.
#[derive(Clone)]
pub struct OperatorClient {
    cluster: ClusterId,
    addresses: Vec<SocketAddr>,
    dialer: Dialer,
    security: PeerSecurity,
    timer: TimerService,
    timeout: Duration,
}

impl OperatorClient {
    /// Creates a client whose requests fail after `timeout`.
    pub fn new(
        cluster: ClusterId,
        addresses: Vec<SocketAddr>,
        dialer: Dialer,
        security: PeerSecurity,
        timer: TimerService,
        timeout: Duration,
    ) -> Self {
        Self {
            cluster,
            addresses,
            dialer,
            security,
            timer,
            timeout,
        }
    }

    /// Submits a document.
    ///
    /// # Errors
    ///
    /// [`OperatorError`] when no instance replied in time; the document may still be accepted, and
    /// the same request may be sent again.
    pub async fn submit(&self, request: SubmitRequest) -> Result<SubmitReply, OperatorError> {
        self.request(Body::Submit(request), |body| match body {
            Body::Submitted(reply) if !reply.busy => Some(InstanceReply::Current(reply)),
            _ => None,
        })
        .await
    }

    /// Fetches the document with a number; 0 stands for the one in force.
    ///
    /// # Errors
    ///
    /// [`OperatorError`] when no instance answered in time.
    pub async fn show(&self, number: u64) -> Result<ShowReply, OperatorError> {
        let request = ShowRequest {
            number,
            linearizable: true,
        };
        self.request(Body::Show(request), |body| match body {
            Body::Shown(reply) => Some(InstanceReply::new(reply.stale, reply)),
            _ => None,
        })
        .await
    }

    /// Fetches the accepted documents, newest first.
    ///
    /// # Errors
    ///
    /// [`OperatorError`] when no instance answered in time.
    pub async fn history(&self, limit: u64) -> Result<Vec<HistoryEntry>, OperatorError> {
        let request = HistoryRequest { limit };
        self.request(Body::History(request), |body| match body {
            Body::HistoryShown(reply) => Some(InstanceReply::new(reply.stale, reply.entries)),
            _ => None,
        })
        .await
    }

    /// Fetches the state of the fleet.
    ///
    /// # Errors
    ///
    /// [`OperatorError`] when no instance answered in time.
    pub async fn status(&self) -> Result<StatusReply, OperatorError> {
        self.request(Body::Status(StatusRequest {}), |body| match body {
            Body::StatusShown(reply) => Some(InstanceReply::new(reply.stale, reply)),
            _ => None,
        })
        .await
    }

    async fn request<R>(
        &self,
        request: Body,
        accept: impl Fn(Body) -> Option<InstanceReply<R>>,
    ) -> Result<R, OperatorError> {
        let deadline = self.timer.now() + self.timeout;
        let request = ControlMessage {
            body: Some(request),
        };
        let mut leader = None;
        let mut last_error = String::new();
        if self.addresses.is_empty() {
            return Err(OperatorError::NoAddress);
        }
        loop {
            let mut fallback = None;
            let targets = leader.take().into_iter().chain(self.addresses.clone());
            for target in targets {
                if self.timer.now() >= deadline {
                    return Err(OperatorError::Unreachable(last_error));
                }
                match self.request_from(target, &request, deadline).await {
                    Ok(Body::NotLeader(reply)) => {
                        last_error = format!("{target} is not the leader");
                        leader = reply.leader.parse().ok();
                        if leader.is_some() {
                            break;
                        }
                    }
                    Ok(body) => match accept(body) {
                        Some(InstanceReply::Current(reply)) => return Ok(reply),
                        Some(InstanceReply::Stale(reply)) => fallback = Some(reply),
                        None => last_error = format!("{target} could not answer yet"),
                    },
                    Err(error) => last_error = format!("{target}: {error}"),
                }
            }
            // A stale reply is used only after all instances were tried.
            if let Some(reply) = fallback {
                return Ok(reply);
            }
            if leader.is_none() {
                self.timer.after(RETRY_DELAY).await;
            }
        }
    }

    async fn request_from(
        &self,
        target: SocketAddr,
        request: &ControlMessage,
        deadline: Instant,
    ) -> Result<Body, Box<dyn Error + Send + Sync>> {
        let until = deadline.min(self.timer.now() + REPLY_TIMEOUT);
        let exchange = async {
            let socket = self.dialer.connect(target).await?;
            let socket = self.security.client(socket, PeerRole::Control).await?;
            let mut stream = MessageStream::<_, ControlMessage>::new(socket, self.cluster.clone());
            stream.send(request).await?;
            let reply = stream.receive().await?;
            reply.body.ok_or_else(|| "the reply is empty".into())
        };
        let answered = self.timer.within(until, exchange).await;
        answered.unwrap_or_else(|| Err("no reply in time".into()))
    }
}

/// A usable reply of one control instance.
enum InstanceReply<R> {
    /// A reply that is up to date.
    Current(R),
    /// A reply of an instance that may lag behind.
    Stale(R),
}

impl<R> InstanceReply<R> {
    fn new(stale: bool, reply: R) -> Self {
        if stale {
            Self::Stale(reply)
        } else {
            Self::Current(reply)
        }
    }
}
