//! Checks that a database leads, before reads from it of whose log no position is known.
//!
//! A primary that has started again without its log is a replica, which still answers reads. An
//! instance that knows a position of the log requires it with each read, which such a database
//! refuses. One that knows none, as it has just started, begins a transaction first: only a primary
//! begins one that may write.

use crate::{
    DatabaseConnector,
    DatabaseReply,
    TransactionMode,
    TransactionState,
    attempt::{
        AttemptContext,
        AttemptError,
        Fence, //
    },
    counters,
    engine::EngineShared,
    link::{
        LinkCall,
        LinkVerb, //
    },
    route::Route, //
};
use daisyseam_member::RateGate;
use daisyseam_model::{
    GroupId,
    Term,
    UpstreamId, //
};
use parking_lot::Mutex;
use std::{
    collections::HashMap,
    sync::Arc, //
};
use tokio::{
    sync::Mutex as AsyncMutex,
    time::Instant, //
};

/// The last check of each group.
#[derive(Debug, Default)]
pub(crate) struct PrimaryChecks {
    groups: Mutex<HashMap<GroupId, Arc<AsyncMutex<Option<PrimaryCheck>>>>>,
}

/// Whether a database leads: `Ok(None)` if it does, otherwise its refusal or why there is no reply.
type CheckResult = Result<Option<DatabaseReply>, AttemptError>;

/// The result of a check.
#[derive(Debug)]
struct PrimaryCheck {
    upstream: UpstreamId,
    term: Option<Term>,
    started_at: Instant,
    result: CheckResult,
}

impl PrimaryCheck {
    /// Returns whether the check is of a route's database and began at `time` or later.
    fn covers(&self, route: &Route, time: Instant) -> bool {
        self.upstream == route.upstream && self.term == route.term && self.started_at >= time
    }
}

impl PrimaryChecks {
    fn of_group(&self, group: &GroupId) -> Arc<AsyncMutex<Option<PrimaryCheck>>> {
        let mut groups = self.groups.lock();
        match groups.get(group) {
            Some(last) => Arc::clone(last),
            None => Arc::clone(groups.entry(group.clone()).or_default()),
        }
    }

    /// Removes groups that are no longer in the view.
    pub(crate) fn retain(&self, keep: impl Fn(&GroupId) -> bool) {
        self.groups.lock().retain(|group, _| keep(group));
    }
}

impl<D: DatabaseConnector, G: RateGate> EngineShared<D, G> {
    /// Checks that the database of a route leads; returns its refusal if it does not.
    ///
    /// Reads that wait together share one check, which began after each of them.
    ///
    /// # Errors
    ///
    /// If the database gives no reply.
    pub(crate) async fn check_primary(&self, context: AttemptContext<'_>) -> CheckResult {
        let arrived_at = Instant::now();
        let route = context.route;
        let last = self.checks.of_group(&route.group);
        let deadline = context.times.deadline();
        let locked = self.settings.timer.within(deadline, last.lock()).await;
        let mut last = locked.ok_or(AttemptError::Unreachable)?;
        if let Some(check) = last
            .as_ref()
            .filter(|check| check.covers(route, arrived_at))
        {
            return check.result.clone();
        }
        let started_at = Instant::now();
        let result = self.begin_and_roll_back(context).await;
        *last = Some(PrimaryCheck {
            upstream: route.upstream.clone(),
            term: route.term,
            started_at,
            result: result.clone(),
        });
        result
    }

    async fn begin_and_roll_back(&self, context: AttemptContext<'_>) -> CheckResult {
        self.settings.metrics.count(counters::PRIMARY_CHECKED);
        let mut link = self.connect(context).await?;
        let call = LinkCall {
            id: None,
            at_least: None,
            in_transaction: false,
            // It takes no work, which tells it from the begin of a caller.
            fence: Fence::Leased,
            verb: LinkVerb::Begin(TransactionMode::ReadWrite),
        };
        let reply = self.run(&mut link, context, call).await?;
        if reply.state == TransactionState::Idle {
            link.release();
            return Ok(reply.outcome.is_err().then_some(reply));
        }
        let leads = reply.outcome.is_ok();
        let until = context.times.deadline();
        let rolled_back = link.roll_back(&self.settings.timer, None, until).await;
        if rolled_back.is_ok_and(|reply| reply.state == TransactionState::Idle) {
            link.release_after_transaction(false);
        }
        Ok((!leads).then_some(reply))
    }
}
