//! Open-loop traffic: requests come when they come, whether or not earlier ones are answered.

use crate::load::{
    CallerSession,
    CallerTarget, //
};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use std::{
    sync::Arc,
    time::Duration, //
};
use tokio::{
    sync::{
        Mutex,
        mpsc, //
    },
    task::JoinSet,
    time::{
        Instant,
        sleep,
        sleep_until,
        timeout, //
    }, //
};

/// Pause before a lost connection is made anew.
const RECONNECT_DELAY: Duration = Duration::from_millis(50);
/// Time after which a caller gives an answer up.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);

/// Time after which a request that has found no connection is given up.
const GIVE_UP_AFTER: Duration = Duration::from_secs(4);

/// What a record says of a connection that ended without an answer.
const CONNECTION_LOST: &str = "connection_lost";

/// One request that is to be sent.
#[derive(Clone, Copy, Debug)]
pub(super) struct Arrival {
    /// Time from the start of the traffic.
    pub(super) after: Duration,
    /// Index of the entry instance that it goes to.
    pub(super) entry: usize,
}

/// What became of one request.
#[derive(Clone, Debug)]
pub(super) struct CallRecord {
    pub(super) due: Instant,
    pub(super) sent: Instant,
    pub(super) answered: Instant,
    /// None for an answer, else the SQLSTATE or what happened to the connection.
    pub(super) refusal: Option<String>,
}

impl CallRecord {
    pub(super) fn is_served(&self) -> bool {
        self.refusal.is_none()
    }

    /// Returns whether the rate was the reason of a refusal.
    pub(super) fn is_over_rate(&self) -> bool {
        self.refusal.as_deref() == Some("53400")
    }

    /// Returns the time from when it was due, in milliseconds.
    pub(super) fn latency_ms(&self) -> f64 {
        (self.answered - self.due).as_secs_f64() * 1e3
    }
}

/// One organisation's callers.
pub(super) struct CallerPool {
    /// Entry instances, as the organisation reaches them.
    pub(super) targets: Vec<CallerTarget>,
    /// Connections to each entry instance.
    pub(super) connections: usize,
    /// Requests that wait for a connection before more are given up.
    pub(super) patience: usize,
    /// The statement.
    pub(super) statement: &'static str,
}

/// Draws arrivals at a mean rate, spread over entries by a choice of the time.
pub(super) fn draw_arrivals(
    random: &mut ChaCha8Rng,
    rate: f64,
    time: Duration,
    mut entry: impl FnMut(Duration, &mut ChaCha8Rng) -> usize,
) -> Vec<Arrival> {
    let mut arrivals = Vec::new();
    let mut after = Duration::ZERO;
    loop {
        let gap = -(1.0 - random.random::<f64>()).ln() / rate;
        after += Duration::from_secs_f64(gap);
        if after >= time {
            return arrivals;
        }
        let entry = entry(after, random);
        arrivals.push(Arrival { after, entry });
    }
}

impl CallerPool {
    /// Connects, sends each request at its time, and returns what became of them all.
    pub(super) async fn send(self, start: Instant, arrivals: Vec<Arrival>) -> Vec<CallRecord> {
        let (records, mut received) = mpsc::unbounded_channel();
        let mut workers = JoinSet::new();
        let mut lines = Vec::new();
        for target in &self.targets {
            let (line, requests) = mpsc::channel(self.patience.max(1));
            let requests = Arc::new(Mutex::new(requests));
            for _ in 0..self.connections {
                let worker = CallerWorker {
                    target: target.clone(),
                    statement: self.statement,
                    requests: Arc::clone(&requests),
                    records: records.clone(),
                };
                workers.spawn(worker.run());
            }
            lines.push(line);
        }
        for arrival in arrivals {
            let due = start + arrival.after;
            sleep_until(due).await;
            if lines[arrival.entry].try_send(due).is_err() {
                let now = Instant::now();
                let _ = records.send(CallRecord {
                    due,
                    sent: now,
                    answered: now,
                    refusal: Some("given_up".to_owned()),
                });
            }
        }
        drop(lines);
        drop(records);
        while workers.join_next().await.is_some() {}
        let mut all = Vec::new();
        while let Some(record) = received.recv().await {
            all.push(record);
        }
        all
    }
}

struct CallerWorker {
    target: CallerTarget,
    statement: &'static str,
    requests: Arc<Mutex<mpsc::Receiver<Instant>>>,
    records: mpsc::UnboundedSender<CallRecord>,
}

impl CallerWorker {
    async fn run(self) {
        let mut session = self.connect().await;
        loop {
            let due = self.requests.lock().await.recv().await;
            let Some(due) = due else { return };
            let sent = Instant::now();
            let mut refusal = match sent - due > GIVE_UP_AFTER {
                true => Some("given_up".to_owned()),
                false => self.ask(&mut session).await,
            };
            if refusal.as_deref() == Some(CONNECTION_LOST) {
                // A connection may have been lost while it was idle; a read may be repeated.
                refusal = self.ask(&mut session).await;
            }
            let _ = self.records.send(CallRecord {
                due,
                sent,
                answered: Instant::now(),
                refusal,
            });
        }
    }

    async fn ask(&self, session: &mut Option<CallerSession>) -> Option<String> {
        if session.as_ref().is_none_or(CallerSession::is_ended) {
            *session = self.connect().await;
        }
        let Some(open) = session else {
            return Some("connection_refused".to_owned());
        };
        match timeout(ANSWER_TIMEOUT, open.batch(self.statement)).await {
            Ok(Ok(())) => None,
            Ok(Err(error)) => {
                let code = error.code().to_owned();
                if code == CONNECTION_LOST {
                    *session = None;
                }
                Some(code)
            }
            Err(_) => {
                *session = None;
                Some("no_answer".to_owned())
            }
        }
    }

    async fn connect(&self) -> Option<CallerSession> {
        match timeout(ANSWER_TIMEOUT, CallerSession::connect(&self.target, None)).await {
            Ok(Ok(session)) => Some(session),
            _ => {
                sleep(RECONNECT_DELAY).await;
                None
            }
        }
    }
}

/// Makes the table that traffic reads, and waits until every entry serves it.
pub(super) async fn prepare(targets: &[CallerTarget]) -> Result<(), crate::load::CallError> {
    let mut first = CallerSession::connect(&targets[0], None).await?;
    first
        .batch("CREATE TABLE weighing (id BIGINT PRIMARY KEY, grams INT)")
        .await?;
    first
        .batch("INSERT INTO weighing (id, grams) VALUES (7, 13500)")
        .await?;
    let token = first.token().map(str::to_owned);
    for target in targets {
        let mut session = CallerSession::connect(target, token.as_deref()).await?;
        session.batch(READ_STATEMENT).await?;
    }
    Ok(())
}

/// A read of one row.
pub(super) const READ_STATEMENT: &str = "SELECT id, grams FROM weighing WHERE id = 7";
