//! What an entry instance on one worker thread costs against a direct connection and a byte relay.

use crate::{
    experiment::{
        Experiment,
        ExperimentError,
        ExperimentOutcome,
        MeasureTable,
        quantile, //
    },
    fleet::{
        ENTRY_THREAD,
        FleetPlan,
        TestFleet,
        example_key, //
    },
    idle::open_idle,
    load::{
        CallerSession,
        CallerTarget, //
    },
    process::{
        resident_bytes,
        thread_time, //
    },
    relay::{
        ByteRelay,
        RELAY_THREAD, //
    }, //
};
use std::{
    net::SocketAddr,
    time::Duration, //
};
use tokio::{
    task::JoinSet,
    time::Instant, //
};

/// Statements whose latency is taken, one after another.
const LATENCY_STATEMENTS: usize = 3_000;
/// Statements before them that are not counted.
const WARM_UP_STATEMENTS: usize = 300;
/// Connections that send as fast as they can.
const BUSY_CONNECTIONS: usize = 16;
/// Time for which they do.
const BUSY_TIME: Duration = Duration::from_secs(4);
/// Rounds of every measurement, taken in turn so that the machine's mood falls on all alike.
const ROUNDS: usize = 3;
/// Idle connections whose memory is taken.
const IDLE_CONNECTIONS: usize = 5_000;
/// Time for the fleet to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// The statement.
const STATEMENT: &str = "SELECT id, grams FROM weighing WHERE id = 7";
/// Organisation that sends.
const ORGANISATION: &str = "swakop-shells";
/// A small fleet whose organisation may send more than anything here can.
const DOCUMENT: &str = r#"
number = 1
cluster = "overhead"

[limits]
connections_per_instance = 20000

[[region]]
name = "khomas"

[[data_centre]]
name = "khomas-1"
region = "khomas"

[[group]]
name = "care-logs-db"
databases = 2
slots = 16

[[service]]
name = "care-logs"
group = "care-logs-db"

[[organisation]]
name = "swakop-shells"
rate = 10000000
burst = 10000000

[[organisation.key]]
hash = "sha256:HASH"
"#;

/// The experiment.
pub struct Overhead;

impl Experiment for Overhead {
    const NAME: &'static str = "overhead";

    async fn run(seed: u64) -> Result<ExperimentOutcome, ExperimentError> {
        let hash = sha256_hex(&example_key(ORGANISATION));
        let mut plan = FleetPlan::new(&DOCUMENT.replace("HASH", &hash)).without_delays();
        plan.entries = 1;
        plan.controls = 1;
        plan.connections = 100;
        plan.database_threads = 3;
        plan.seed = seed;
        let deadline = Instant::now() + READY_TIMEOUT;
        let fleet = TestFleet::start_ready(plan, deadline).await;
        let fleet = fleet.map_err(ExperimentError::of)?;
        measure(&fleet).await
    }
}

struct Targets {
    direct: CallerTarget,
    relay: CallerTarget,
    entry: CallerTarget,
}

async fn measure(fleet: &TestFleet) -> Result<ExperimentOutcome, ExperimentError> {
    let missing = || ExperimentError::Failed("a part of the fleet is not there".to_owned());
    // Reads go to the replica, so that is what they are compared with.
    let group = fleet.databases[0].group();
    let primary = fleet.primary(group).ok_or_else(missing)?;
    let replica = fleet
        .databases
        .iter()
        .find(|node| *node.upstream() != primary);
    let database = replica
        .and_then(|node| node.database())
        .ok_or_else(missing)?;
    let relay = ByteRelay::start(database.address()).map_err(ExperimentError::of)?;
    let entry = fleet.entries[0].direct_address().ok_or_else(missing)?;
    let targets = Targets {
        direct: target(database.address()),
        relay: target(relay.address()),
        entry: target(entry),
    };
    fill(&targets.entry).await?;
    wait_filled(&targets.direct).await?;
    let mut latencies = [Vec::new(), Vec::new(), Vec::new()];
    let mut rates = [Vec::new(), Vec::new(), Vec::new()];
    let mut core_rates = [Vec::new(), Vec::new()];
    for _ in 0..ROUNDS {
        let all = [&targets.direct, &targets.relay, &targets.entry];
        for (place, target) in all.iter().enumerate() {
            latencies[place].push(latency_p50(target).await?);
        }
        for (place, target) in all.iter().enumerate() {
            let thread = [None, Some(RELAY_THREAD), Some(ENTRY_THREAD)][place];
            let before = thread.and_then(thread_time);
            let (count, elapsed) = busy(target).await?;
            let after = thread.and_then(thread_time);
            rates[place].push(count / elapsed.as_secs_f64());
            if let (Some(before), Some(after)) = (before, after) {
                core_rates[place - 1].push(count / (after - before).as_secs_f64());
            }
        }
    }
    let [direct, relay_p50, entry_p50] = latencies.map(middle);
    let [direct_rate, relay_rate, entry_rate] = rates.map(middle);
    let [relay_core, entry_core] = core_rates.map(middle);
    let idle = idle_bytes(&targets.entry).await?;
    let relay_idle = idle_bytes(&targets.relay).await;
    let measures = [
        ("added_p50_us", (entry_p50 - direct) * 1e6),
        ("p50_us", entry_p50 * 1e6),
        ("statements_per_second", entry_rate),
        ("statements_per_core_second", entry_core),
        ("ratio_to_relay", entry_rate / relay_rate),
        ("idle_connection_bytes", idle),
    ];
    let mut baseline = vec![
        ("added_p50_us", (relay_p50 - direct) * 1e6),
        ("p50_us", relay_p50 * 1e6),
        ("statements_per_second", relay_rate),
        ("statements_per_core_second", relay_core),
        ("ratio_to_relay", 1.0),
        ("direct_p50_us", direct * 1e6),
        ("direct_statements_per_second", direct_rate),
    ];
    // The database behind the relay admits fewer connections than are opened, so this may fail.
    if let Ok(relay_idle) = relay_idle {
        baseline.push(("idle_connection_bytes", relay_idle));
    }
    Ok(ExperimentOutcome {
        violations: 0,
        measures: table(measures),
        baseline: table(baseline),
    })
}

fn table(values: impl IntoIterator<Item = (&'static str, f64)>) -> MeasureTable {
    values
        .into_iter()
        .map(|(name, value)| (name.to_owned(), value))
        .collect()
}

fn middle(mut samples: Vec<f64>) -> f64 {
    quantile(&mut samples, 0.5).unwrap_or(f64::NAN)
}

fn target(address: SocketAddr) -> CallerTarget {
    CallerTarget {
        address,
        user: ORGANISATION.to_owned(),
        password: example_key(ORGANISATION),
        service: "care-logs".to_owned(),
    }
}

async fn fill(target: &CallerTarget) -> Result<(), ExperimentError> {
    let mut session = connect(target).await?;
    let statements = [
        "CREATE TABLE weighing (id BIGINT PRIMARY KEY, grams INT)",
        "INSERT INTO weighing (id, grams) VALUES (7, 13500)",
    ];
    for statement in statements {
        session
            .batch(statement)
            .await
            .map_err(ExperimentError::of)?;
    }
    Ok(())
}

/// Waits until the replica has what was written.
async fn wait_filled(target: &CallerTarget) -> Result<(), ExperimentError> {
    let mut session = connect(target).await?;
    let deadline = Instant::now() + READY_TIMEOUT;
    while session.batch(STATEMENT).await.is_err() {
        if Instant::now() >= deadline {
            return Err(ExperimentError::Failed(
                "the replica stays behind".to_owned(),
            ));
        }
    }
    Ok(())
}

async fn connect(target: &CallerTarget) -> Result<CallerSession, ExperimentError> {
    let session = CallerSession::connect(target, None).await;
    session.map_err(ExperimentError::of)
}

async fn latency_p50(target: &CallerTarget) -> Result<f64, ExperimentError> {
    let mut session = connect(target).await?;
    let mut samples = Vec::with_capacity(LATENCY_STATEMENTS);
    for number in 0..WARM_UP_STATEMENTS + LATENCY_STATEMENTS {
        let start = Instant::now();
        session
            .batch(STATEMENT)
            .await
            .map_err(ExperimentError::of)?;
        if number >= WARM_UP_STATEMENTS {
            samples.push(start.elapsed().as_secs_f64());
        }
    }
    Ok(middle(samples))
}

/// Sends as fast as possible and returns how many statements were answered in what time.
async fn busy(target: &CallerTarget) -> Result<(f64, Duration), ExperimentError> {
    let mut sessions = Vec::new();
    for _ in 0..BUSY_CONNECTIONS {
        sessions.push(connect(target).await?);
    }
    let start = Instant::now();
    let mut senders = JoinSet::new();
    for session in sessions {
        senders.spawn(send_for(session, start + BUSY_TIME));
    }
    let mut count = 0_u32;
    while let Some(sent) = senders.join_next().await {
        count += sent.map_err(ExperimentError::of)??;
    }
    Ok((f64::from(count), start.elapsed()))
}

async fn send_for(mut session: CallerSession, until: Instant) -> Result<u32, ExperimentError> {
    let mut count = 0;
    while Instant::now() < until {
        session
            .batch(STATEMENT)
            .await
            .map_err(ExperimentError::of)?;
        count += 1;
    }
    Ok(count)
}

/// Returns the memory that an idle connection takes, its bare client socket included.
async fn idle_bytes(target: &CallerTarget) -> Result<f64, ExperimentError> {
    let before = resident_bytes();
    let mut sockets = Vec::with_capacity(IDLE_CONNECTIONS);
    for _ in 0..IDLE_CONNECTIONS {
        sockets.push(open_idle(target).await.map_err(ExperimentError::of)?);
    }
    let after = resident_bytes();
    let (Some(before), Some(after)) = (before, after) else {
        return Err(ExperimentError::Failed("no memory figures".to_owned()));
    };
    #[expect(clippy::cast_precision_loss, reason = "memory is far below 2^53 bytes")]
    let grown = after.saturating_sub(before) as f64;
    #[expect(clippy::cast_precision_loss, reason = "a few thousand")]
    let connections = sockets.len() as f64;
    Ok(grown / connections)
}

fn sha256_hex(text: &str) -> String {
    use sha2::{
        Digest,
        Sha256, //
    };
    hex::encode(Sha256::digest(text.as_bytes()))
}
