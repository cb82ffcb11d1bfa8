//! What it costs to keep idle entry instances in the fleet, and how that grows with their number.

use crate::{
    experiment::{
        Experiment,
        ExperimentError,
        ExperimentOutcome,
        MeasureTable, //
    },
    fleet::{
        CONTROL_THREAD,
        ENTRY_THREAD,
        FleetPlan,
        TestFleet, //
    },
    process::{
        resident_bytes,
        thread_time, //
    }, //
};
use std::time::Duration;
use tokio::time::{
    Instant,
    sleep, //
};

/// Numbers of entry instances, each in a fleet of its own.
const INSTANCE_COUNTS: [usize; 4] = [10, 50, 100, 200];
/// Time for a fleet to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(60);
/// Time for a ready fleet to come to rest before it is measured.
const REST_TIME: Duration = Duration::from_secs(3);
/// Time over which each fleet is measured.
const MEASURE_TIME: Duration = Duration::from_secs(10);
/// Bytes in a kilobyte, as `/proc` counts.
const KILOBYTE: f64 = 1_024.0;

/// The experiment.
pub struct ControlCost;

/// What one fleet costs.
struct FleetCost {
    instances: f64,
    /// Bytes a second through control's ports, both ways.
    bytes: f64,
    /// Processor time of all entries, as a share of one core.
    entry_cpu: f64,
    /// Processor time of all control instances, as a share of one core.
    control_cpu: f64,
    /// Memory of the process, in kilobytes.
    resident: f64,
    /// Views that came into force meanwhile.
    views: f64,
}

impl Experiment for ControlCost {
    const NAME: &'static str = "control-cost";

    async fn run(seed: u64) -> Result<ExperimentOutcome, ExperimentError> {
        let mut costs = Vec::new();
        for instances in INSTANCE_COUNTS {
            costs.push(measure(instances, seed).await?);
        }
        Ok(ExperimentOutcome {
            violations: 0,
            measures: table(&costs),
            baseline: MeasureTable::new(),
        })
    }
}

async fn measure(instances: usize, seed: u64) -> Result<FleetCost, ExperimentError> {
    let mut plan = FleetPlan::shellrest().without_delays();
    plan.entries = instances;
    plan.seed = seed;
    let deadline = Instant::now() + READY_TIMEOUT;
    let fleet = TestFleet::start_ready(plan, deadline).await;
    let fleet = fleet.map_err(ExperimentError::of)?;
    sleep(REST_TIME).await;
    let start = Instant::now();
    let view = fleet.newest_view().number.0;
    let (bytes, entry, control) = (carried(&fleet), time(ENTRY_THREAD)?, time(CONTROL_THREAD)?);
    sleep(MEASURE_TIME).await;
    let seconds = start.elapsed().as_secs_f64();
    let entry_time = time(ENTRY_THREAD)? - entry;
    let control_time = time(CONTROL_THREAD)? - control;
    let resident = resident_bytes().ok_or_else(no_figures)?;
    #[expect(clippy::cast_precision_loss, reason = "counts here are far below 2^53")]
    let cost = FleetCost {
        instances: instances as f64,
        bytes: (carried(&fleet) - bytes) as f64 / seconds,
        entry_cpu: entry_time.as_secs_f64() / seconds,
        control_cpu: control_time.as_secs_f64() / seconds,
        resident: resident as f64 / KILOBYTE,
        views: (fleet.newest_view().number.0 - view) as f64,
    };
    Ok(cost)
}

/// Returns the bytes that went through control's ports so far.
fn carried(fleet: &TestFleet) -> u64 {
    fleet.controls.iter().map(|node| node.carried_bytes()).sum()
}

fn time(thread: &str) -> Result<Duration, ExperimentError> {
    thread_time(thread).ok_or_else(no_figures)
}

fn no_figures() -> ExperimentError {
    ExperimentError::Failed("the system gives no figures of this process".to_owned())
}

fn table(costs: &[FleetCost]) -> MeasureTable {
    let mut table = MeasureTable::new();
    let mut add = |name: &str, value: fn(&FleetCost) -> f64| {
        for cost in costs {
            let each = value(cost) / cost.instances;
            table.insert(format!("{name}_at_{}", cost.instances), each);
        }
        table.insert(format!("{name}_slope"), slope(costs, value));
    };
    add("bytes_per_second_per_instance", |cost| cost.bytes);
    add("cpu_share_per_instance", |cost| cost.entry_cpu);
    add("control_cpu_share_per_instance", |cost| cost.control_cpu);
    add("rss_kb_per_instance", |cost| cost.resident);
    for cost in costs {
        table.insert(format!("views_at_{}", cost.instances), cost.views);
    }
    table
}

/// Returns the slope of the least-squares line through the fleets.
fn slope(costs: &[FleetCost], value: fn(&FleetCost) -> f64) -> f64 {
    let count = costs.iter().map(|_| 1.0).sum::<f64>();
    let mean = |value: &dyn Fn(&FleetCost) -> f64| costs.iter().map(value).sum::<f64>() / count;
    let (mean_x, mean_y) = (mean(&|cost| cost.instances), mean(&value));
    let covariance = mean(&|cost| (cost.instances - mean_x) * (value(cost) - mean_y));
    covariance / mean(&|cost| (cost.instances - mean_x).powi(2))
}
