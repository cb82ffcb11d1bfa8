//! Primaries are lost again and again under writes.

use crate::{
    demo::{
        DemoLoad,
        make_tables,
        summarize, //
    },
    experiment::{
        Experiment,
        ExperimentError,
        ExperimentOutcome,
        MeasureTable,
        quantile, //
    },
    fleet::{
        FleetError,
        FleetPlan,
        TestFleet, //
    },
    load::{
        LoadHistory,
        WriteOutcome, //
    }, //
};
use daisyseam_model::{
    GroupId,
    UpstreamId, //
};
use rand::{
    Rng,
    SeedableRng, //
};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;
use tokio::time::{
    Instant,
    sleep, //
};

/// Primaries that are lost in one run.
const LOSSES: usize = 20;
/// Bounds of the calm before each loss, in milliseconds.
const CALM_MS: std::ops::Range<u64> = 300..900;
/// Calm after each loss, so that every gap has writes on both sides.
const AFTERMATH: Duration = Duration::from_millis(600);
/// Time for the fleet to recover.
const RECOVER_TIMEOUT: Duration = Duration::from_secs(60);
/// Mean pause of each caller.
const CALLER_PAUSE: Duration = Duration::from_millis(30);

/// The experiment.
pub struct Failover;

impl Experiment for Failover {
    const NAME: &'static str = "failover";

    async fn run(seed: u64) -> Result<ExperimentOutcome, ExperimentError> {
        let mut plan = FleetPlan::shellrest();
        plan.seed = seed;
        let ready = TestFleet::start_ready(plan, Instant::now() + RECOVER_TIMEOUT);
        let mut fleet = ready.await.map_err(ExperimentError::of)?;
        make_tables(&fleet).await.map_err(ExperimentError::of)?;
        let load = DemoLoad::start(&fleet, CALLER_PAUSE);
        let losses = lose_primaries(&mut fleet, seed).await;
        let losses = losses.map_err(ExperimentError::of)?;
        let history = load.stop().await;
        let summary = summarize(&fleet, &history).await;
        let summary = summary.map_err(ExperimentError::of)?;
        Ok(ExperimentOutcome {
            violations: summary.finding.violations(),
            measures: measures(&history, &losses, &summary.finding),
            baseline: MeasureTable::new(),
        })
    }
}

/// A primary that was lost.
struct PrimaryLoss {
    service: String,
    at: Instant,
    /// When another was primary in every view.
    replaced: Instant,
}

async fn lose_primaries(fleet: &mut TestFleet, seed: u64) -> Result<Vec<PrimaryLoss>, FleetError> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let services: Vec<(String, GroupId)> = fleet
        .document()
        .services
        .iter()
        .map(|(service, entry)| (service.to_string(), entry.group.clone()))
        .collect();
    let mut losses = Vec::new();
    for round in 0..LOSSES {
        sleep(Duration::from_millis(random.random_range(CALM_MS))).await;
        let (service, group) = &services[round % services.len()];
        let late = || FleetError::Late(format!("{group} has no primary"));
        let lost = fleet.primary(group).ok_or_else(late)?;
        let place = fleet
            .databases
            .iter()
            .position(|node| *node.upstream() == lost);
        let place = place.ok_or_else(late)?;
        let at = Instant::now();
        // One is killed, the next stops answering and comes back as if nothing had been.
        let killed = random.random_bool(0.5);
        if killed {
            fleet.databases[place].kill();
        } else {
            set_stalled(fleet, place, true);
        }
        wait_replaced(fleet, group, &lost).await?;
        let replaced = Instant::now();
        sleep(AFTERMATH).await;
        if killed {
            fleet.start_database(place)?;
        } else {
            set_stalled(fleet, place, false);
        }
        fleet.wait_ready(Instant::now() + RECOVER_TIMEOUT).await?;
        losses.push(PrimaryLoss {
            service: service.clone(),
            at,
            replaced,
        });
    }
    sleep(AFTERMATH).await;
    fleet.wait_active(Instant::now() + RECOVER_TIMEOUT).await?;
    Ok(losses)
}

fn set_stalled(fleet: &TestFleet, place: usize, stalled: bool) {
    if let Some(database) = fleet.databases[place].database() {
        database.options().set_stalled(stalled);
    }
}

async fn wait_replaced(
    fleet: &TestFleet,
    group: &GroupId,
    lost: &UpstreamId,
) -> Result<(), FleetError> {
    let deadline = Instant::now() + RECOVER_TIMEOUT;
    let replaced = fleet.wait_view("another primary", deadline, |view| {
        let state = view.groups.get(group);
        let active = state.and_then(|state| state.primary.active());
        active.is_some_and(|active| active != lost)
    });
    replaced.await
}

fn measures(
    history: &LoadHistory,
    losses: &[PrimaryLoss],
    finding: &crate::load::HistoryFinding,
) -> MeasureTable {
    let mut gaps: Vec<f64> = losses
        .iter()
        .filter_map(|loss| history.gap_around(&loss.service, loss.at))
        .map(|gap| gap.as_secs_f64() * 1e3)
        .collect();
    let (in_flight, unknown) = in_flight(history, losses);
    let mut table = MeasureTable::new();
    #[expect(clippy::cast_precision_loss, reason = "counts of one run")]
    let mut add = |name: &str, value: Option<f64>, count: u64| {
        table.insert(name.to_owned(), value.unwrap_or(count as f64));
    };
    add("gap_p50_ms", quantile(&mut gaps, 0.5), 0);
    add("gap_p99_ms", quantile(&mut gaps, 0.99), 0);
    add("gap_max_ms", quantile(&mut gaps, 1.0), 0);
    add("primaries_lost", None, losses.len() as u64);
    add("writes_acknowledged", None, finding.acknowledged);
    add("lost_acknowledged", None, finding.lost_acknowledged);
    add("ran_twice", None, finding.ran_twice);
    add("false_not_run", None, finding.false_not_run);
    add("stale_reads", None, finding.stale_reads);
    add("writes_in_flight", None, in_flight);
    #[expect(clippy::cast_precision_loss, reason = "counts of one run")]
    let share = unknown as f64 / in_flight.max(1) as f64;
    add("unknown_share", Some(share), 0);
    table
}

/// Counts the writes that were under way at a loss, and those of them whose outcome nobody told.
fn in_flight(history: &LoadHistory, losses: &[PrimaryLoss]) -> (u64, u64) {
    let mut counts = (0, 0);
    for loss in losses {
        for write in &history.writes {
            let meets = write.service == loss.service
                && write.sent <= loss.replaced
                && write.answered >= loss.at;
            if meets {
                counts.0 += 1;
                counts.1 += u64::from(matches!(write.outcome, WriteOutcome::Unknown(_)));
            }
        }
    }
    counts
}
