//! Confirmation of commits by a majority in exactly the same term, under a valid lease.

use super::broker::{
    FleetBroker,
    HolderLocation, //
};
use daisyseam_model::{
    ErrorKind,
    FleetView,
    GroupId,
    LogPosition,
    PrimaryState,
    RequestError,
    UpstreamId, //
};
use futures_util::{
    StreamExt,
    stream::FuturesUnordered, //
};
use std::sync::Arc;
use tokio::time::Instant;

impl FleetBroker {
    /// Waits until a commit may be acknowledged to the caller.
    pub(super) async fn confirm_commit(
        &self,
        group: &GroupId,
        at: LogPosition,
        deadline: Instant,
    ) -> Result<(), RequestError> {
        let _transaction = self.shared.counts.start(group, at.term);
        self.shared.routes.record_written(group, at);
        let timer = &self.settings().timer;
        let confirmed = async {
            tokio::select! {
                biased;
                error = self.wait_for_term_end(group, at) => Err(error),
                () = self.wait_for_majority(group, at) => self.wait_for_lease(group, at).await,
            }
        };
        let confirmed = timer.within(deadline, confirmed).await;
        confirmed.unwrap_or_else(|| {
            Err(unknown_outcome(
                "the deadline passed before a majority had the commit",
            ))
        })
    }

    /// Waits until the view shows that the term has ended, and returns the resulting error.
    async fn wait_for_term_end(&self, group: &GroupId, at: LogPosition) -> RequestError {
        let cell = &self.settings().cell;
        let mut changes = cell.subscribe();
        loop {
            let view = Arc::clone(&cell.held().view);
            if is_term_over(&view, group, at) {
                return unknown_outcome("the term of the primary has ended");
            }
            if changes.changed().await.is_err() {
                return unknown_outcome("this instance is stopping");
            }
        }
    }

    /// Waits until the lease is valid while the term continues.
    async fn wait_for_lease(&self, group: &GroupId, at: LogPosition) -> Result<(), RequestError> {
        let cell = &self.settings().cell;
        let mut changes = cell.subscribe();
        loop {
            let held = cell.held();
            if is_term_over(&held.view, group, at) {
                return Err(unknown_outcome("the term of the primary has ended"));
            }
            if held.is_valid() {
                return Ok(());
            }
            if changes.changed().await.is_err() {
                return Err(unknown_outcome("this instance is stopping"));
            }
        }
    }

    /// Waits until a majority of the group has reached the position in exactly its term.
    async fn wait_for_majority(&self, group: &GroupId, at: LogPosition) {
        let cell = &self.settings().cell;
        loop {
            let mut changes = cell.subscribe();
            let view = Arc::clone(&cell.held().view);
            tokio::select! {
                biased;
                true = self.wait_for_majority_in(&view, group, at) => return,
                // The holders of the databases may have changed.
                _ = changes.changed() => {}
            }
        }
    }

    async fn wait_for_majority_in(
        &self,
        view: &FleetView,
        group: &GroupId,
        at: LogPosition,
    ) -> bool {
        let document = view.document.as_deref();
        let entry = document.and_then(|document| document.groups.get(group));
        let Some(entry) = entry else {
            return std::future::pending().await;
        };
        let majority = entry.databases / 2 + 1;
        let mut reports: FuturesUnordered<_> = view
            .members(group)
            .map(|(upstream, _)| self.wait_for_position(view, upstream, at))
            .collect();
        let mut count = 0;
        while let Some(()) = reports.next().await {
            count += 1;
            if count >= majority {
                return true;
            }
        }
        std::future::pending().await
    }

    /// Waits without a limit until one database reports the position.
    async fn wait_for_position(&self, view: &FleetView, upstream: &UpstreamId, at: LogPosition) {
        loop {
            let deadline = Instant::now() + POSITION_QUERY_TIMEOUT;
            let reported = match self.locate_holder(view, upstream) {
                Some(HolderLocation::Local) => {
                    self.wait_for_local_position(upstream, at, deadline).await
                }
                Some(HolderLocation::Peer(address)) => {
                    let peers = &self.settings().peers;
                    let reply = peers.await_position(address, upstream, at, deadline).await;
                    let reply = reply.ok().filter(|reply| reply.reached);
                    reply.map(|reply| LogPosition::from(reply.position.unwrap_or_default()))
                }
                None => return std::future::pending().await,
            };
            if let Some(reported) = reported.filter(|reported| reported.term == at.term) {
                self.record_position(view, upstream, reported);
                return;
            }
            self.settings().timer.after(POSITION_RETRY_DELAY).await;
        }
    }

    async fn wait_for_local_position(
        &self,
        upstream: &UpstreamId,
        at: LogPosition,
        deadline: Instant,
    ) -> Option<LogPosition> {
        let handle = self.settings().table.get(upstream)?;
        let state = handle.wait_for_position(at, deadline).await?;
        Some(state.end)
    }
}

/// Longest duration of one query to a holder.
const POSITION_QUERY_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(2);

/// Time before a holder that reported no position is queried again.
const POSITION_RETRY_DELAY: std::time::Duration = std::time::Duration::from_millis(20);

/// Returns whether the term of a position has ended or its primary is fenced in the view.
fn is_term_over(view: &FleetView, group: &GroupId, at: LogPosition) -> bool {
    let Some(entry) = view.groups.get(group) else {
        return true;
    };
    entry.term != at.term || entry.primary == PrimaryState::Fenced
}

fn unknown_outcome(detail: &str) -> RequestError {
    RequestError::new(ErrorKind::OutcomeUnknown, detail)
}
