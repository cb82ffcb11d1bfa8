//! Keepers, owners and vets: callers that write, read what they wrote, and move between entries.

use super::{
    history::{
        LoadHistory,
        ReadRecord,
        WriteOutcome,
        WriteRecord, //
    },
    session::{
        CallError,
        CallerSession,
        CallerTarget, //
    }, //
};
use rand::{
    Rng,
    SeedableRng, //
};
use rand_chacha::ChaCha8Rng;
use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};
use tokio::{
    sync::watch,
    time::{
        Instant,
        sleep,
        timeout, //
    }, //
};
use tokio_postgres::types::{
    ToSql,
    Type, //
};

/// Pause after a failed connection or a refused statement.
const RETRY_DELAY: Duration = Duration::from_millis(20);
/// Time after which a caller gives a connection up.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);

/// The table that callers write to in every service.
pub struct LedgerTable;

impl LedgerTable {
    /// Statements that make it.
    pub const CREATE: [&'static str; 2] = [
        "CREATE TABLE IF NOT EXISTS ledger (id TEXT NOT NULL, session TEXT NOT NULL, \
         seq BIGINT NOT NULL, note TEXT)",
        "CREATE INDEX IF NOT EXISTS ledger_session ON ledger (session)",
    ];
    const INSERT: &'static str =
        "INSERT INTO ledger (id, session, seq, note) VALUES ($1, $2, $3, $4)";
    const NEWEST: &'static str = "SELECT coalesce(max(seq), 0) FROM ledger WHERE session = $1";
    /// Lists everything that is there.
    pub const IDS: &'static str = "SELECT id FROM ledger";
}

/// What a caller mostly does.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WorkerKind {
    /// Logs weigh-ins: writes, each read back.
    Keeper,
    /// Books and pays: transactions of two statements.
    Owner,
    /// Reads histories, writes seldom.
    Vet,
}

/// What one caller works on.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// What it mostly does.
    pub kind: WorkerKind,
    /// Name, used once in a run.
    pub name: String,
    /// Organisation.
    pub organisation: String,
    /// Its key.
    pub key: String,
    /// Service.
    pub service: String,
    /// Entry instances, among which it moves.
    pub entries: Vec<SocketAddr>,
    /// Mean pause between requests.
    pub pause: Duration,
    /// Seed of its random draws.
    pub seed: u64,
    /// Counts the writes that were acknowledged, of all callers that share it.
    pub acknowledged: watch::Sender<u64>,
}

/// A caller at work.
pub struct LoadWorker {
    plan: LoadPlan,
    random: ChaCha8Rng,
    history: LoadHistory,
    session: Option<CallerSession>,
    token: Option<String>,
    entry: usize,
    next: i64,
    /// Newest number that is acknowledged.
    acknowledged: i64,
}

impl LoadWorker {
    /// Makes a caller that has done nothing yet.
    pub fn new(plan: LoadPlan) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(plan.seed);
        Self {
            entry: random.random_range(0..plan.entries.len().max(1)),
            random,
            plan,
            history: LoadHistory::default(),
            session: None,
            token: None,
            next: 0,
            acknowledged: 0,
        }
    }

    /// Works until told to stop and returns what it did.
    pub async fn run(mut self, stop: Arc<watch::Sender<bool>>) -> LoadHistory {
        let mut stopping = stop.subscribe();
        while !*stopping.borrow_and_update() {
            self.step().await;
            let mean = self.plan.pause.as_secs_f64();
            let pause = Duration::from_secs_f64(mean * self.random.random_range(0.5..1.5));
            tokio::select! {
                () = sleep(pause) => {}
                _ = stopping.changed() => {}
            }
        }
        self.history
    }

    async fn step(&mut self) {
        if self.random.random_ratio(1, 20) {
            self.leave();
        }
        if !self.connect().await {
            sleep(RETRY_DELAY).await;
            return;
        }
        let writes = match self.plan.kind {
            WorkerKind::Keeper => self.random.random_ratio(1, 2),
            WorkerKind::Owner => self.random.random_ratio(3, 4),
            WorkerKind::Vet => self.random.random_ratio(1, 10),
        };
        if writes {
            self.write().await;
        } else {
            self.read().await;
        }
    }

    /// Takes the session to another entry instance.
    fn leave(&mut self) {
        self.keep_token();
        self.session = None;
        self.entry = self.random.random_range(0..self.plan.entries.len());
    }

    fn keep_token(&mut self) {
        if let Some(session) = &self.session {
            self.token = session.token().map(str::to_owned).or(self.token.take());
        }
    }

    async fn connect(&mut self) -> bool {
        if self
            .session
            .as_ref()
            .is_some_and(|session| !session.is_ended())
        {
            return true;
        }
        self.keep_token();
        self.session = None;
        let target = CallerTarget {
            address: self.plan.entries[self.entry],
            user: self.plan.organisation.clone(),
            password: self.plan.key.clone(),
            service: self.plan.service.clone(),
        };
        let connected = CallerSession::connect(&target, self.token.as_deref());
        match timeout(ANSWER_TIMEOUT, connected).await {
            Ok(Ok(session)) => {
                self.session = Some(session);
                true
            }
            failed => {
                let code = match failed {
                    Ok(Err(error)) => error.code().to_owned(),
                    _ => "no_answer".to_owned(),
                };
                *self.history.refused_connections.entry(code).or_default() += 1;
                self.entry = self.random.random_range(0..self.plan.entries.len());
                false
            }
        }
    }

    async fn write(&mut self) {
        let Some(session) = &mut self.session else {
            return;
        };
        self.next += 1;
        let sequence = self.next;
        let id = format!("{}-{sequence}", self.plan.name);
        let sent = Instant::now();
        let written = match self.plan.kind {
            WorkerKind::Owner => {
                timeout(
                    ANSWER_TIMEOUT,
                    book(session, &id, &self.plan.name, sequence),
                )
                .await
            }
            _ => {
                timeout(
                    ANSWER_TIMEOUT,
                    log_one(session, &id, &self.plan.name, sequence),
                )
                .await
            }
        };
        let outcome = match written {
            Ok(outcome) => outcome,
            Err(_) => WriteOutcome::Unknown("no_answer".to_owned()),
        };
        if outcome == WriteOutcome::Acknowledged {
            self.acknowledged = sequence;
            self.plan.acknowledged.send_modify(|count| *count += 1);
        } else {
            self.recover(&outcome).await;
        }
        self.history.writes.push(WriteRecord {
            service: self.plan.service.clone(),
            id,
            organisation: self.plan.organisation.clone(),
            sent,
            answered: Instant::now(),
            outcome,
        });
    }

    /// Leaves a connection that is lost or stands in a failed transaction.
    async fn recover(&mut self, outcome: &WriteOutcome) {
        let lost = matches!(outcome, WriteOutcome::Unknown(_));
        if lost || self.plan.kind == WorkerKind::Owner {
            self.leave();
        }
        sleep(RETRY_DELAY).await;
    }

    async fn read(&mut self) {
        let Some(session) = &mut self.session else {
            return;
        };
        let sent = Instant::now();
        let expected = self.acknowledged;
        let name: &str = &self.plan.name;
        let parameters: [(&(dyn ToSql + Sync), Type); 1] = [(&name, Type::TEXT)];
        let rows = session.query(LedgerTable::NEWEST, &parameters);
        let seen = match timeout(ANSWER_TIMEOUT, rows).await {
            Ok(Ok(rows)) => rows
                .first()
                .and_then(|row| row.try_get::<_, i64>(0).ok())
                .ok_or_else(|| "no_row".to_owned()),
            Ok(Err(error)) => Err(error.code().to_owned()),
            Err(_) => Err("no_answer".to_owned()),
        };
        if seen.is_err() {
            self.leave();
            sleep(RETRY_DELAY).await;
        }
        self.history.reads.push(ReadRecord {
            service: self.plan.service.clone(),
            organisation: self.plan.organisation.clone(),
            sent,
            answered: Instant::now(),
            expected,
            seen,
        });
    }
}

async fn log_one(session: &mut CallerSession, id: &str, name: &str, sequence: i64) -> WriteOutcome {
    match insert(session, id, name, sequence).await {
        Ok(()) => WriteOutcome::Acknowledged,
        Err(error) => error.outcome(),
    }
}

/// Writes within a transaction that reads first; only an acknowledged commit counts.
async fn book(session: &mut CallerSession, id: &str, name: &str, sequence: i64) -> WriteOutcome {
    let before_commit = async {
        session.batch("BEGIN").await?;
        let parameters: [(&(dyn ToSql + Sync), Type); 1] = [(&name, Type::TEXT)];
        session.query(LedgerTable::NEWEST, &parameters).await?;
        insert(session, id, name, sequence).await
    };
    if let Err(error) = before_commit.await {
        // Whatever ran is undone with the transaction, which the caller now gives up.
        return match error.outcome() {
            WriteOutcome::Unknown(code) | WriteOutcome::NotRun(code) => WriteOutcome::NotRun(code),
            other => other,
        };
    }
    match session.batch("COMMIT").await {
        Ok(()) => WriteOutcome::Acknowledged,
        Err(error) => error.outcome(),
    }
}

async fn insert(
    session: &mut CallerSession,
    id: &str,
    name: &str,
    sequence: i64,
) -> Result<(), CallError> {
    let note = "weighed";
    let parameters: [(&(dyn ToSql + Sync), Type); 4] = [
        (&id, Type::TEXT),
        (&name, Type::TEXT),
        (&sequence, Type::INT8),
        (&note, Type::TEXT),
    ];
    session.query(LedgerTable::INSERT, &parameters).await?;
    Ok(())
}
