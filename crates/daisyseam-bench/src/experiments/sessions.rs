//! Sessions that write, read what they wrote, and roam, with replicas that lag.

use super::{
    DeploymentShape,
    shape::{
        GROUP,
        SERVICE,
        equal_organisations,
        plan,
        start,
        target, //
    }, //
};
use crate::{
    experiment::{
        ExperimentError,
        ExperimentOutcome,
        MeasureTable,
        quantile, //
    },
    fleet::{
        EntryNode,
        TestFleet,
        example_key, //
    },
    load::{
        CallerSession,
        CallerTarget,
        LedgerTable,
        LoadHistory,
        LoadPlan,
        LoadWorker,
        WorkerKind, //
    }, //
};
use daisyseam_model::GroupId;
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
    task::JoinSet,
    time::{
        Instant,
        sleep, //
    }, //
};

/// Sessions at once.
const SESSIONS: usize = 36;
/// Mean pause of a session between two requests.
const PAUSE: Duration = Duration::from_millis(40);
/// Time of the load.
const TIME: Duration = Duration::from_secs(15);
/// Longest lag of a replica, for which the baseline reads from the primary after a write.
const LAG_MAX: Duration = Duration::from_millis(500);
/// Longest wait for a token or a slot.
const QUEUE_TIMEOUT: Duration = Duration::from_secs(5);

/// Runs the experiment once.
pub(super) async fn run(
    shape: DeploymentShape,
    seed: u64,
) -> Result<ExperimentOutcome, ExperimentError> {
    let organisations = equal_organisations(1, 10_000.0, 10_000.0);
    let organisation = organisations[0].name.as_str();
    let plan = plan(shape, &organisations, QUEUE_TIMEOUT, seed);
    let fleet = start(plan).await?;
    let entries: Vec<SocketAddr> = fleet
        .entries
        .iter()
        .map(EntryNode::caller_address)
        .collect();
    let mut first = CallerSession::connect(&target(entries[0], organisation), None)
        .await
        .map_err(ExperimentError::of)?;
    for statement in LedgerTable::CREATE {
        first.batch(statement).await.map_err(ExperimentError::of)?;
    }
    // The table must have come to all replicas, for the baseline has no floors.
    sleep(LAG_MAX * 2).await;
    let before = replica_reads(&fleet);
    let history = roam(&entries, organisation, seed).await?;
    let replica_reads = replica_reads(&fleet) - before;
    let stale = stale(&history);
    let measures = measures(&history, replica_reads, stale);
    let (history, replica_reads) = read_from_primary_after_write(&fleet, seed).await?;
    let baseline_stale = self::stale(&history);
    Ok(ExperimentOutcome {
        violations: stale,
        measures,
        baseline: self::measures(&history, replica_reads, baseline_stale),
    })
}

/// Runs the sessions through the entries.
async fn roam(
    entries: &[SocketAddr],
    organisation: &str,
    seed: u64,
) -> Result<LoadHistory, ExperimentError> {
    let stop = Arc::new(watch::Sender::new(false));
    let mut workers = JoinSet::new();
    for number in 0..SESSIONS {
        let worker = LoadWorker::new(LoadPlan {
            kind: WorkerKind::Vet,
            name: format!("vet-{number}"),
            organisation: organisation.to_owned(),
            key: example_key(organisation),
            service: SERVICE.to_owned(),
            entries: entries.to_vec(),
            pause: PAUSE,
            seed: seed * 1_000 + number as u64,
            acknowledged: watch::Sender::new(0),
        });
        workers.spawn(worker.run(Arc::clone(&stop)));
    }
    sleep(TIME).await;
    stop.send_replace(true);
    let mut history = LoadHistory::default();
    while let Some(done) = workers.join_next().await {
        history.absorb(done.map_err(ExperimentError::of)?);
    }
    Ok(history)
}

fn replica_reads(fleet: &TestFleet) -> u64 {
    let databases = fleet.databases.iter().filter_map(|node| node.database());
    databases
        .map(|database| database.counters().replica_reads())
        .sum()
}

fn stale(history: &LoadHistory) -> u64 {
    let reads = history.reads.iter();
    let stale = reads.filter(|read| matches!(read.seen, Ok(seen) if seen < read.expected));
    stale.count() as u64
}

fn measures(history: &LoadHistory, replica_reads: u64, stale: u64) -> MeasureTable {
    let answered: Vec<_> = history
        .reads
        .iter()
        .filter(|read| read.seen.is_ok())
        .collect();
    let mut latencies: Vec<f64> = answered
        .iter()
        .map(|read| (read.answered - read.sent).as_secs_f64() * 1e3)
        .collect();
    let count = answered.len().max(1) as f64;
    let p99 = quantile(&mut latencies, 0.99).unwrap_or(f64::NAN);
    let p50 = quantile(&mut latencies, 0.5).unwrap_or(f64::NAN);
    let failed = history.reads.len() - answered.len();
    let pairs = [
        ("replica_read_share", replica_reads as f64 / count),
        ("stale_reads", stale as f64),
        ("read_p50_ms", p50),
        ("read_p99_ms", p99),
        ("reads", count),
        ("failed_reads", failed as f64),
        ("writes", history.writes.len() as f64),
    ];
    pairs
        .into_iter()
        .map(|(name, value)| (name.to_owned(), value))
        .collect()
}

/// Runs sessions that speak to the databases directly: writes to the primary, reads there too
/// until the longest lag has passed since the session's last write, else at any replica.
async fn read_from_primary_after_write(
    fleet: &TestFleet,
    seed: u64,
) -> Result<(LoadHistory, u64), ExperimentError> {
    let group = GroupId::new(GROUP).map_err(ExperimentError::of)?;
    let view = fleet.newest_view();
    let missing = || ExperimentError::Failed("the group has no primary".to_owned());
    let primary = fleet.primary(&group).ok_or_else(missing)?;
    let mut addresses = Vec::new();
    for (name, upstream) in view.members(&group) {
        if *name == primary {
            addresses.insert(0, upstream.address);
        } else {
            addresses.push(upstream.address);
        }
    }
    let before = replica_reads(fleet);
    let mut workers = JoinSet::new();
    // The databases admit 30 connections; the fleet holds 5 of each.
    for number in 0..SESSIONS / 2 {
        let worker = DirectWorker {
            name: format!("direct-{number}"),
            targets: addresses.iter().map(|address| direct(*address)).collect(),
            random: ChaCha8Rng::seed_from_u64(seed * 1_000 + 500 + number as u64),
        };
        workers.spawn(worker.run(Instant::now() + TIME));
    }
    let mut history = LoadHistory::default();
    while let Some(done) = workers.join_next().await {
        history.absorb(done.map_err(ExperimentError::of)??);
    }
    Ok((history, replica_reads(fleet) - before))
}

fn direct(address: SocketAddr) -> CallerTarget {
    CallerTarget {
        address,
        user: "daisyseam".to_owned(),
        password: "upstream-password".to_owned(),
        service: SERVICE.to_owned(),
    }
}

struct DirectWorker {
    name: String,
    /// The primary first.
    targets: Vec<CallerTarget>,
    random: ChaCha8Rng,
}

impl DirectWorker {
    async fn run(mut self, until: Instant) -> Result<LoadHistory, ExperimentError> {
        let mut sessions = Vec::new();
        for target in &self.targets {
            let session = CallerSession::connect(target, None).await;
            sessions.push(session.map_err(ExperimentError::of)?);
        }
        let mut history = LoadHistory::default();
        let mut written = 0;
        let mut written_at: Option<Instant> = None;
        while Instant::now() < until {
            let sent = Instant::now();
            if self.random.random_ratio(1, 10) {
                written += 1;
                let text = format!(
                    "INSERT INTO ledger (id, session, seq, note) VALUES \
                     ('{0}-{written}', '{0}', {written}, 'weighed')",
                    self.name
                );
                sessions[0]
                    .batch(&text)
                    .await
                    .map_err(ExperimentError::of)?;
                written_at = Some(Instant::now());
            } else {
                let recent = written_at.is_some_and(|at| at.elapsed() < LAG_MAX);
                let place = match recent {
                    true => 0,
                    false => self.random.random_range(1..sessions.len()),
                };
                let text = format!(
                    "SELECT coalesce(max(seq), 0) FROM ledger WHERE session = '{}'",
                    self.name
                );
                let rows = sessions[place].query(&text, &[]).await;
                let rows = rows.map_err(ExperimentError::of)?;
                let seen = rows.first().and_then(|row| row.try_get::<_, i64>(0).ok());
                history.reads.push(crate::load::ReadRecord {
                    service: SERVICE.to_owned(),
                    organisation: String::new(),
                    sent,
                    answered: Instant::now(),
                    expected: written,
                    seen: seen.ok_or_else(|| "no_row".to_owned()),
                });
            }
            let pause = PAUSE.mul_f64(self.random.random_range(0.5..1.5));
            sleep(pause).await;
        }
        Ok(history)
    }
}
