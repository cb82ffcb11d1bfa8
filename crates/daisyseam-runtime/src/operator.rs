//! The way operators' programs talk to control.

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

/// Longest wait for one control instance to answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);
/// Pause before the control instances are asked all over again.
const ROUND_PAUSE: Duration = Duration::from_millis(200);

/// Why control gave no answer.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum OperatorError {
    /// no control instance is named
    NoAddress,
    /// no control instance answered in time; the last one said: {0}
    Unreachable(String),
}

impl Error for OperatorError {}

/// Asks control instances in turn until one answers.
///
/// Every request may be sent more than once; a submission carries an id, so that a resend gets
/// the first answer.
#[derive(Clone)]
pub struct OperatorClient {
    cluster: ClusterId,
    addresses: Vec<SocketAddr>,
    dialer: Dialer,
    security: PeerSecurity,
    timer: TimerService,
    patience: Duration,
}

impl OperatorClient {
    /// Makes a client that gives up after `patience`.
    pub fn new(
        cluster: ClusterId,
        addresses: Vec<SocketAddr>,
        dialer: Dialer,
        security: PeerSecurity,
        timer: TimerService,
        patience: Duration,
    ) -> Self {
        Self {
            cluster,
            addresses,
            dialer,
            security,
            timer,
            patience,
        }
    }

    /// Submits a document.
    ///
    /// # Errors
    ///
    /// [`OperatorError`] when nobody decided it in time; it may still be accepted, and the same
    /// request may be sent again.
    pub async fn submit(&self, request: SubmitRequest) -> Result<SubmitReply, OperatorError> {
        self.ask(Body::Submit(request), |body| match body {
            Body::Submitted(reply) if !reply.busy => Some(Answer::Final(reply)),
            _ => None,
        })
        .await
    }

    /// Fetches the document with a number, or the one in force for number 0.
    ///
    /// # Errors
    ///
    /// [`OperatorError`] when nobody answered in time.
    pub async fn show(&self, number: u64) -> Result<ShowReply, OperatorError> {
        let request = ShowRequest {
            number,
            linearizable: true,
        };
        self.ask(Body::Show(request), |body| match body {
            Body::Shown(reply) => Some(Answer::new(reply.stale, reply)),
            _ => None,
        })
        .await
    }

    /// Fetches the accepted documents, newest first.
    ///
    /// # Errors
    ///
    /// [`OperatorError`] when nobody answered in time.
    pub async fn history(&self, limit: u64) -> Result<Vec<HistoryEntry>, OperatorError> {
        let request = HistoryRequest { limit };
        self.ask(Body::History(request), |body| match body {
            Body::HistoryShown(reply) => Some(Answer::new(reply.stale, reply.entries)),
            _ => None,
        })
        .await
    }

    /// Fetches the state of the fleet.
    ///
    /// # Errors
    ///
    /// [`OperatorError`] when nobody answered in time.
    pub async fn status(&self) -> Result<StatusReply, OperatorError> {
        self.ask(Body::Status(StatusRequest {}), |body| match body {
            Body::StatusShown(reply) => Some(Answer::new(reply.stale, reply)),
            _ => None,
        })
        .await
    }

    async fn ask<R>(
        &self,
        request: Body,
        wanted: impl Fn(Body) -> Option<Answer<R>>,
    ) -> Result<R, OperatorError> {
        let deadline = self.timer.now() + self.patience;
        let request = ControlMessage {
            body: Some(request),
        };
        let mut leader = None;
        let mut last = String::new();
        if self.addresses.is_empty() {
            return Err(OperatorError::NoAddress);
        }
        loop {
            let mut fallback = None;
            let targets = leader.take().into_iter().chain(self.addresses.clone());
            for target in targets {
                if self.timer.now() >= deadline {
                    return Err(OperatorError::Unreachable(last));
                }
                match self.ask_one(target, &request, deadline).await {
                    Ok(Body::NotLeader(reply)) => {
                        last = format!("{target} does not lead");
                        leader = reply.leader.parse().ok();
                        if leader.is_some() {
                            break;
                        }
                    }
                    Ok(body) => match wanted(body) {
                        Some(Answer::Final(reply)) => return Ok(reply),
                        Some(Answer::Stale(reply)) => fallback = Some(reply),
                        None => last = format!("{target} could not decide yet"),
                    },
                    Err(error) => last = format!("{target}: {error}"),
                }
            }
            // A stale answer is better than none, but only after everybody was asked.
            if let Some(reply) = fallback {
                return Ok(reply);
            }
            if leader.is_none() {
                self.timer.after(ROUND_PAUSE).await;
            }
        }
    }

    async fn ask_one(
        &self,
        target: SocketAddr,
        request: &ControlMessage,
        deadline: Instant,
    ) -> Result<Body, Box<dyn Error + Send + Sync>> {
        let until = deadline.min(self.timer.now() + ANSWER_TIMEOUT);
        let exchange = async {
            let socket = self.dialer.connect(target).await?;
            let socket = self.security.client(socket, PeerRole::Control).await?;
            let mut stream = MessageStream::<_, ControlMessage>::new(socket, self.cluster.clone());
            stream.send(request).await?;
            let reply = stream.receive().await?;
            reply.body.ok_or_else(|| "the answer is empty".into())
        };
        let answered = self.timer.within(until, exchange).await;
        answered.unwrap_or_else(|| Err("no answer in time".into()))
    }
}

/// What one control instance answered.
enum Answer<R> {
    /// The leader's word.
    Final(R),
    /// The word of an instance that may be behind.
    Stale(R),
}

impl<R> Answer<R> {
    fn new(stale: bool, reply: R) -> Self {
        if stale {
            Self::Stale(reply)
        } else {
            Self::Final(reply)
        }
    }
}
