//! Pulls the primary's log and applies it after the lag.

use super::{
    admin::{
        LogAnswer,
        LogQuery, //
    },
    core::{
        FollowTarget,
        StandInCore, //
    },
    log_record::LogRecord, //
    options::StandInOptions,
};
use daisyseam_model::LogPosition;
use daisyseam_runtime::TimerService;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::{
    sync::Arc,
    time::Duration, //
};
use tokio::{
    sync::mpsc,
    time::Instant, //
};

/// Longest time that the primary holds a request for its log.
const LOG_WAIT: Duration = Duration::from_millis(500);
/// Time for an answer beyond the primary's own wait.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Pause after a failure.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Records on their way that a replica keeps.
const IN_TRANSIT_MAX: usize = 10_000;

/// The replica's side of shipping.
#[derive(Clone)]
pub(super) struct LogPuller {
    pub(super) core: Arc<StandInCore>,
    pub(super) options: Arc<StandInOptions>,
    pub(super) timer: TimerService,
    pub(super) client: reqwest::Client,
    pub(super) seed: u64,
}

type InTransit = (Instant, Arc<LogRecord>);

impl LogPuller {
    /// Follows whomever the core names, for ever.
    pub(super) async fn run(self) {
        let mut targets = self.core.follow_target();
        loop {
            let target = targets.borrow_and_update().clone();
            let changed = match target {
                None => targets.changed().await,
                Some(target) => tokio::select! {
                    changed = targets.changed() => changed,
                    () = self.follow(&target) => Ok(()),
                },
            };
            if changed.is_err() {
                return;
            }
        }
    }

    /// Follows one primary until it fails; the caller starts anew.
    async fn follow(&self, target: &FollowTarget) {
        if let Err(words) = self.pull(target).await {
            log::debug!("following {} stopped: {words}", target.admin_address);
        }
        self.timer.after(RETRY_DELAY).await;
    }

    async fn pull(&self, target: &FollowTarget) -> Result<(), String> {
        let from = self.core.upstream().end;
        let first = self.fetch(target, from, Duration::ZERO).await?;
        let aligned = self.core.align(target, &first.history).await;
        let mut end = aligned.map_err(|error| error.to_string())?;
        let (sender, receiver) = mpsc::channel(IN_TRANSIT_MAX);
        let applied = self.apply(target, receiver);
        let fetched = async {
            let mut random = ChaCha8Rng::seed_from_u64(self.seed ^ end.position.0);
            loop {
                let answer = self.fetch(target, end, LOG_WAIT).await?;
                let due = Instant::now() + self.options.draw_lag(&mut random);
                for record in answer.records {
                    end = record.reaches();
                    if sender.send((due, record)).await.is_err() {
                        return Ok(());
                    }
                }
            }
        };
        tokio::select! {
            result = applied => result,
            result = fetched => result,
        }
    }

    async fn apply(
        &self,
        target: &FollowTarget,
        mut receiver: mpsc::Receiver<InTransit>,
    ) -> Result<(), String> {
        while let Some((due, record)) = receiver.recv().await {
            self.timer.at(due).await;
            self.options.unstalled().await;
            let applied = self.core.apply(target, record).await;
            applied.map_err(|error| error.to_string())?;
        }
        Ok(())
    }

    async fn fetch(
        &self,
        target: &FollowTarget,
        after: LogPosition,
        wait: Duration,
    ) -> Result<LogAnswer, String> {
        let query = LogQuery {
            term: target.term,
            after: after.position,
            wait_ms: u64::try_from(wait.as_millis()).unwrap_or(u64::MAX),
        };
        let url = format!("http://{}/log", target.admin_address);
        let answer = async {
            let response = self.client.get(url).query(&query).send().await?;
            response.error_for_status()?.json::<LogAnswer>().await
        };
        let deadline = Instant::now() + wait + ANSWER_TIMEOUT;
        match self.timer.within(deadline, answer).await {
            Some(answer) => answer.map_err(|error: reqwest::Error| error.to_string()),
            None => Err("no answer in time".to_owned()),
        }
    }
}
