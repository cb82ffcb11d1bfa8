//! The HTTP side of a stand-in: state, fence, promotion, and the log for its replicas.

use super::{
    core::{
        HistorySegment,
        StandInCore, //
    },
    error::StandInError,
    log_record::LogRecord, //
    options::StandInOptions,
};
use axum::{
    Json,
    Router,
    extract::{
        Query,
        State, //
    },
    http::StatusCode,
    response::{
        IntoResponse,
        Response, //
    },
    routing::{
        get,
        post, //
    }, //
};
use daisyseam_model::{
    LogPosition,
    Position,
    Term,
    announce::{
        FenceCall,
        FollowCall,
        PromoteCall,
        UpstreamState, //
    }, //
};
use daisyseam_runtime::TimerService;
use serde::{
    Deserialize,
    Serialize, //
};
use std::{
    sync::Arc,
    time::Duration, //
};
use tokio::time::Instant;

/// Records in one answer to a replica.
const RECORDS_PER_ANSWER: usize = 500;

/// What the routes work on.
#[derive(Clone)]
pub(super) struct AdminState {
    pub(super) core: Arc<StandInCore>,
    pub(super) options: Arc<StandInOptions>,
    pub(super) timer: TimerService,
}

/// Asks for the state, at once or when a place is reached.
#[derive(Debug, Deserialize)]
struct StateQuery {
    term: Option<Term>,
    position: Option<Position>,
    wait_ms: Option<u64>,
}

/// Asks for the log after a position.
#[derive(Debug, Deserialize, Serialize)]
pub(super) struct LogQuery {
    pub(super) term: Term,
    pub(super) after: Position,
    pub(super) wait_ms: u64,
}

/// Part of the log.
#[derive(Debug, Deserialize, Serialize)]
pub(super) struct LogAnswer {
    pub(super) history: Vec<HistorySegment>,
    pub(super) records: Vec<Arc<LogRecord>>,
}

/// Makes the routes.
pub(super) fn routes(state: AdminState) -> Router {
    Router::new()
        .route("/state", get(read_state))
        .route("/fence", post(fence))
        .route("/promote", post(promote))
        .route("/follow", post(follow))
        .route("/log", get(read_log))
        .with_state(state)
}

async fn read_state(
    State(admin): State<AdminState>,
    Query(query): Query<StateQuery>,
) -> Json<UpstreamState> {
    admin.options.unstalled().await;
    if let (Some(term), Some(position)) = (query.term, query.position) {
        let wanted = LogPosition { term, position };
        let wait = Duration::from_millis(query.wait_ms.unwrap_or(0));
        let mut changes = admin.core.subscribe();
        let reached = changes.wait_for(|state| state.end >= wanted);
        // The state is told whether or not the place was reached in time.
        let _ = admin.timer.within(Instant::now() + wait, reached).await;
    }
    Json(admin.core.upstream())
}

async fn fence(State(admin): State<AdminState>, Json(call): Json<FenceCall>) -> Response {
    admin.options.unstalled().await;
    answer(admin.core.fence(call.term))
}

async fn promote(State(admin): State<AdminState>, Json(call): Json<PromoteCall>) -> Response {
    admin.options.unstalled().await;
    answer(admin.core.promote(&call))
}

async fn follow(State(admin): State<AdminState>, Json(call): Json<FollowCall>) -> Response {
    admin.options.unstalled().await;
    answer(admin.core.follow(&call).await)
}

async fn read_log(State(admin): State<AdminState>, Query(query): Query<LogQuery>) -> Response {
    admin.options.unstalled().await;
    let wait = Duration::from_millis(query.wait_ms);
    let mut changes = admin.core.subscribe();
    let more = changes.wait_for(|state| state.end.position > query.after);
    // An empty answer tells the replica that the primary is still there.
    let _ = admin.timer.within(Instant::now() + wait, more).await;
    match admin
        .core
        .records_after(query.term, query.after, RECORDS_PER_ANSWER)
    {
        Some(records) => Json(LogAnswer {
            history: admin.core.history(),
            records,
        })
        .into_response(),
        None => (StatusCode::CONFLICT, "not the primary of that term\n").into_response(),
    }
}

fn answer(result: Result<UpstreamState, StandInError>) -> Response {
    match result {
        Ok(state) => Json(state).into_response(),
        Err(error) => (StatusCode::CONFLICT, format!("{error}\n")).into_response(),
    }
}
