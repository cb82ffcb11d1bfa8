//! Eight organisations, one of which sends five times its rate.

use super::{
    DeploymentShape,
    shape::{
        RatedOrganisation,
        equal_organisations,
        plan,
        start,
        target, //
    },
    traffic::{
        CallRecord,
        CallerPool,
        READ_STATEMENT,
        draw_arrivals,
        prepare, //
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
        TestFleet, //
    }, //
};
use rand::{
    Rng,
    SeedableRng, //
};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;
use tokio::{
    task::JoinSet,
    time::Instant, //
};

/// Organisations.
const ORGANISATIONS: usize = 8;
/// Statements a second of each.
const RATE: f64 = 150.0;
/// Statements at once of each.
const BURST: f64 = 150.0;
/// Part of its rate that a well-behaved organisation sends.
const USUAL_PART: f64 = 0.85;
/// What the other one sends, as a multiple of its rate.
const FLOOD_FACTOR: f64 = 5.0;
/// Time that a database takes for a statement.
const SERVICE_TIME: Duration = Duration::from_millis(10);
/// Longest wait for a token or a slot.
const QUEUE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time before anything is counted.
const WARM_UP: Duration = Duration::from_secs(4);
/// Time of each phase.
const PHASE: Duration = Duration::from_secs(10);

/// Runs the experiment once.
pub(super) async fn run(
    shape: DeploymentShape,
    seed: u64,
) -> Result<ExperimentOutcome, ExperimentError> {
    let organisations = equal_organisations(ORGANISATIONS, RATE, BURST);
    let measures = {
        let callers: Vec<&str> = organisations.iter().map(|one| one.name.as_str()).collect();
        measure(shape, seed, &organisations, &callers).await?
    };
    // One organisation for all is one flow without a rate of note: first come, first served.
    let everybody = equal_organisations(1, 1e6, 1e6);
    let callers = vec![everybody[0].name.as_str(); ORGANISATIONS];
    let baseline = measure(shape, seed, &everybody, &callers).await?;
    Ok(ExperimentOutcome {
        violations: 0,
        measures,
        baseline,
    })
}

async fn measure(
    shape: DeploymentShape,
    seed: u64,
    organisations: &[RatedOrganisation],
    callers: &[&str],
) -> Result<MeasureTable, ExperimentError> {
    let mut plan = plan(shape, organisations, QUEUE_TIMEOUT, seed);
    plan.service_time = SERVICE_TIME;
    let fleet = start(plan).await?;
    let targets: Vec<_> = fleet
        .entries
        .iter()
        .map(EntryNode::caller_address)
        .collect();
    let first = targets.iter().map(|address| target(*address, callers[0]));
    prepare(&first.collect::<Vec<_>>())
        .await
        .map_err(ExperimentError::of)?;
    phase(&fleet, callers, seed, WARM_UP, USUAL_PART).await?;
    let calm = phase(&fleet, callers, seed + 1, PHASE, USUAL_PART).await?;
    let flood = phase(&fleet, callers, seed + 2, PHASE, FLOOD_FACTOR).await?;
    let calm_p99 = worst_p99(&calm[1..]);
    let flood_p99 = worst_p99(&flood[1..]);
    let shares = flood[1..].iter().map(|records| served_share(records));
    let worst = shares.fold(1.0, f64::min);
    let served = flood[0].iter().filter(|record| record.is_served()).count();
    let flooder = served as f64 / (RATE * PHASE.as_secs_f64());
    let measures = [
        // The flooding organisation's fair share is its rate.
        ("worst_served_share", worst.min(flooder)),
        ("well_behaved_served_share", worst),
        ("flooder_served_of_rate", flooder),
        ("worst_p99_ms", flood_p99),
        ("calm_p99_ms", calm_p99),
        ("p99_ratio", flood_p99 / calm_p99),
    ];
    Ok(measures
        .into_iter()
        .map(|(name, value)| (name.to_owned(), value))
        .collect())
}

/// Sends for a time, the first organisation at a multiple of its rate, and returns the records of
/// each.
async fn phase(
    fleet: &TestFleet,
    callers: &[&str],
    seed: u64,
    time: Duration,
    first_factor: f64,
) -> Result<Vec<Vec<CallRecord>>, ExperimentError> {
    let start = Instant::now() + Duration::from_millis(500);
    let mut crowds = JoinSet::new();
    for (place, organisation) in callers.iter().enumerate() {
        let factor = if place == 0 { first_factor } else { USUAL_PART };
        let mut random = ChaCha8Rng::seed_from_u64(seed * 1_000 + place as u64);
        let entries = fleet.entries.len();
        let arrivals = draw_arrivals(&mut random, RATE * factor, time, |_, random| {
            random.random_range(0..entries)
        });
        let flooding = factor > 1.0;
        let targets = fleet.entries.iter().map(EntryNode::caller_address);
        let crowd = CallerPool {
            targets: targets
                .map(|address| target(address, organisation))
                .collect(),
            connections: if flooding { 40 } else { 12 },
            patience: if flooding { 20 } else { 1_000 },
            statement: READ_STATEMENT,
        };
        crowds.spawn(async move { (place, crowd.send(start, arrivals).await) });
    }
    let mut records = vec![Vec::new(); callers.len()];
    while let Some(sent) = crowds.join_next().await {
        let (place, sent) = sent.map_err(ExperimentError::of)?;
        records[place] = sent;
    }
    Ok(records)
}

fn served_share(records: &[CallRecord]) -> f64 {
    let served = records.iter().filter(|record| record.is_served()).count();
    served as f64 / records.len().max(1) as f64
}

/// Returns the highest 99th percentile of all organisations, in milliseconds; what was not served
/// counts with the time until that was said.
fn worst_p99(records: &[Vec<CallRecord>]) -> f64 {
    let percentiles = records.iter().map(|records| {
        let mut latencies: Vec<f64> = records.iter().map(CallRecord::latency_ms).collect();
        quantile(&mut latencies, 0.99).unwrap_or(f64::NAN)
    });
    percentiles.fold(0.0, f64::max)
}
