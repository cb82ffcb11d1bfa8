//! Confirmation of commits by a majority in exactly the same term, under a valid lease.

use super::broker::{
    FleetBroker,
    HolderPlace, //
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
        let _open = self.shared.counts.enter(group, at.term);
        self.shared.routes.learn_written(group, at);
        let timer = &self.settings().timer;
        let confirmed = async {
            tokio::select! {
                biased;
                over = self.term_over(group, at) => Err(over),
                () = self.majority(group, at) => self.still_holds(group, at).await,
            }
        };
        let confirmed = timer.within(deadline, confirmed).await;
        confirmed.unwrap_or_else(|| {
            Err(open_outcome(
                "the deadline passed before a majority had the commit",
            ))
        })
    }

    /// Waits until the view shows that the term has ended, and returns the resulting error.
    async fn term_over(&self, group: &GroupId, at: LogPosition) -> RequestError {
        let cell = &self.settings().cell;
        let mut changes = cell.subscribe();
        loop {
            let view = Arc::clone(&cell.held().view);
            if is_over(&view, group, at) {
                return open_outcome("the term of the primary is over");
            }
            if changes.changed().await.is_err() {
                return open_outcome("this instance is stopping");
            }
        }
    }

    /// Waits until the lease is valid while the term continues.
    async fn still_holds(&self, group: &GroupId, at: LogPosition) -> Result<(), RequestError> {
        let cell = &self.settings().cell;
        let mut changes = cell.subscribe();
        loop {
            let held = cell.held();
            if is_over(&held.view, group, at) {
                return Err(open_outcome("the term of the primary is over"));
            }
            if held.is_valid() {
                return Ok(());
            }
            if changes.changed().await.is_err() {
                return Err(open_outcome("this instance is stopping"));
            }
        }
    }

    /// Waits until a majority of the group has reached the position in exactly its term.
    async fn majority(&self, group: &GroupId, at: LogPosition) {
        let cell = &self.settings().cell;
        loop {
            let mut changes = cell.subscribe();
            let view = Arc::clone(&cell.held().view);
            tokio::select! {
                biased;
                true = self.majority_in(&view, group, at) => return,
                // The holders of the databases may have changed.
                _ = changes.changed() => {}
            }
        }
    }

    async fn majority_in(&self, view: &FleetView, group: &GroupId, at: LogPosition) -> bool {
        let document = view.document.as_deref();
        let entry = document.and_then(|document| document.groups.get(group));
        let Some(entry) = entry else {
            return std::future::pending().await;
        };
        let majority = entry.databases / 2 + 1;
        let mut reports: FuturesUnordered<_> = view
            .members(group)
            .map(|(upstream, _)| self.reached(view, upstream, at))
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
    async fn reached(&self, view: &FleetView, upstream: &UpstreamId, at: LogPosition) {
        loop {
            let deadline = Instant::now() + ASK_AGAIN;
            let reported = match self.place(view, upstream) {
                Some(HolderPlace::Here) => self.reached_here(upstream, at, deadline).await,
                Some(HolderPlace::Peer(address)) => {
                    let peers = &self.settings().peers;
                    let reply = peers.await_position(address, upstream, at, deadline).await;
                    let reply = reply.ok().filter(|reply| reply.reached);
                    reply.map(|reply| LogPosition::from(reply.position.unwrap_or_default()))
                }
                None => return std::future::pending().await,
            };
            if let Some(reported) = reported.filter(|reported| reported.term == at.term) {
                self.learn_position(view, upstream, reported);
                return;
            }
            self.settings().timer.after(ASK_PAUSE).await;
        }
    }

    async fn reached_here(
        &self,
        upstream: &UpstreamId,
        at: LogPosition,
        deadline: Instant,
    ) -> Option<LogPosition> {
        let handle = self.settings().table.get(upstream)?;
        let state = handle.reached(at, deadline).await?;
        Some(state.end)
    }
}

/// Longest duration of one query to a holder.
const ASK_AGAIN: std::time::Duration = std::time::Duration::from_secs(2);

/// Time before a holder that reported no position is queried again.
const ASK_PAUSE: std::time::Duration = std::time::Duration::from_millis(20);

/// Returns whether the term of a position has ended or its primary is fenced in the view.
fn is_over(view: &FleetView, group: &GroupId, at: LogPosition) -> bool {
    let Some(entry) = view.groups.get(group) else {
        return true;
    };
    entry.term != at.term || entry.primary == PrimaryState::Fenced
}

fn open_outcome(detail: &str) -> RequestError {
    RequestError::new(ErrorKind::OutcomeUnknown, detail)
}
