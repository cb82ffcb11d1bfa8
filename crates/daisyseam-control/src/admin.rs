//! Calls to the HTTP interface of databases.

use crate::{
    call_lease::CallLease,
    core::DatabaseCall, //
};
use daisyseam_coord::{
    fleet::UsageCounts,
    promotion::CallOutcome,
    usage::ReportOutcome, //
};
use daisyseam_model::{
    LogPosition,
    Term,
    announce::{
        FenceCall,
        FollowCall,
        PromoteCall,
        UpstreamState, //
    }, //
};
use daisyseam_runtime::TimerService;
use reqwest::{
    Client,
    RequestBuilder,
    StatusCode, //
};
use serde::Serialize;
use std::{
    future::Future,
    net::{
        IpAddr,
        SocketAddr, //
    },
    sync::Arc,
    time::Duration, //
};

/// Time limit for a call.
const CALL_TIMEOUT: Duration = Duration::from_millis(300);
/// Time limit for a call that makes a database primary or lets it follow one.
const ROLE_CHANGE_TIMEOUT: Duration = Duration::from_millis(500);
/// Time for which a database waits to reach a position before it replies with its state anyway.
const POSITION_WAIT: Duration = Duration::from_millis(200);

/// A call to one database.
#[derive(Clone, Debug, PartialEq)]
pub enum AdminCall {
    /// Requests its state.
    State,
    /// Requests its state once it has reached a position.
    Await(LogPosition),
    /// Requests that it accepts nothing of a lower term any more.
    Fence(Term),
    /// Requests that it becomes primary.
    Promote(PromoteCall),
    /// Requests that it follows a primary.
    Follow(FollowCall),
}

/// Client for calls to databases.
pub trait UpstreamAdmin: Clone + Send + Sync + 'static {
    /// Makes a call, which must finish within a time limit of its own.
    ///
    /// The future is dropped when the lease ends. Nothing of a call that changes a database may be
    /// delivered after that, unless the database rejects calls of a lower term.
    fn call(
        &self,
        call: DatabaseCall,
        lease: CallLease,
    ) -> impl Future<Output = CallOutcome> + Send;
}

/// Client for reports of request counts.
pub trait UsageReporter: Clone + Send + Sync + 'static {
    /// Reports the counts of a window, within a time limit of its own. `fence` is the term of the
    /// log, which no earlier report exceeds.
    ///
    /// The future is dropped when the lease ends. Nothing of the report may be delivered after that.
    fn report(
        &self,
        window: u64,
        counts: Arc<UsageCounts>,
        fence: u64,
        lease: CallLease,
    ) -> impl Future<Output = ReportOutcome> + Send;
}

/// Client for calls to databases over HTTP with JSON.
#[derive(Clone)]
pub struct HttpAdmin {
    client: Client,
    timer: TimerService,
}

impl HttpAdmin {
    /// Creates a client that binds to a source address, if one is given.
    ///
    /// # Errors
    ///
    /// If the HTTP client cannot be created.
    pub fn new(source: Option<IpAddr>, timer: TimerService) -> Result<Self, reqwest::Error> {
        let client = Client::builder().no_proxy().local_address(source).build()?;
        Ok(Self { client, timer })
    }

    async fn send(&self, request: RequestBuilder, timeout: Duration) -> CallOutcome {
        let until = self.timer.now() + timeout;
        let answer = self.timer.within(until, exchange(request)).await;
        answer.unwrap_or(CallOutcome::Lost)
    }

    async fn post<T: Serialize>(
        &self,
        address: SocketAddr,
        path: &str,
        body: &T,
        timeout: Duration,
    ) -> CallOutcome {
        let request = self.client.post(format!("http://{address}{path}"));
        self.send(request.json(body), timeout).await
    }
}

impl UpstreamAdmin for HttpAdmin {
    /// The lease is not needed, since a database rejects a call of a lower term than it knows.
    async fn call(&self, call: DatabaseCall, _lease: CallLease) -> CallOutcome {
        let address = call.address;
        match call.call {
            AdminCall::State => {
                let request = self.client.get(format!("http://{address}/state"));
                self.send(request, CALL_TIMEOUT).await
            }
            AdminCall::Await(target) => {
                let request = self.client.get(format!(
                    "http://{address}/state?term={}&position={}&wait_ms={}",
                    target.term.0,
                    target.position.0,
                    POSITION_WAIT.as_millis()
                ));
                self.send(request, POSITION_WAIT + CALL_TIMEOUT).await
            }
            AdminCall::Fence(term) => {
                let body = FenceCall { term };
                self.post(address, "/fence", &body, CALL_TIMEOUT).await
            }
            AdminCall::Promote(body) => {
                self.post(address, "/promote", &body, ROLE_CHANGE_TIMEOUT)
                    .await
            }
            AdminCall::Follow(body) => {
                self.post(address, "/follow", &body, ROLE_CHANGE_TIMEOUT)
                    .await
            }
        }
    }
}

impl UsageReporter for HttpAdmin {
    /// There is no HTTP interface for reports, so none is acknowledged.
    async fn report(
        &self,
        _window: u64,
        _counts: Arc<UsageCounts>,
        _fence: u64,
        _lease: CallLease,
    ) -> ReportOutcome {
        ReportOutcome::Failed
    }
}

async fn exchange(request: RequestBuilder) -> CallOutcome {
    let Ok(response) = request.send().await else {
        return CallOutcome::Lost;
    };
    if response.status() == StatusCode::CONFLICT {
        return CallOutcome::Refused;
    }
    if !response.status().is_success() {
        return CallOutcome::Lost;
    }
    let state = response.json::<UpstreamState>().await;
    state.map_or(CallOutcome::Lost, CallOutcome::State)
}
