//! The demo: a small fleet under load loses a primary and a data centre, and nothing breaks.

use crate::{
    fleet::{
        FleetError,
        FleetPlan,
        TestFleet,
        example_key,
        next_document, //
    },
    load::{
        CallerSession,
        CallerTarget,
        HistoryFinding,
        LedgerTable,
        LoadHistory,
        LoadPlan,
        LoadWorker,
        WorkerKind, //
    }, //
};
use daisyseam_model::{
    DataCentreId,
    GroupId, //
};
use std::{
    collections::BTreeMap,
    sync::Arc,
    time::Duration, //
};
use tokio::{
    sync::watch,
    task::JoinSet,
    time::{
        Instant,
        sleep,
        sleep_until, //
    }, //
};

/// Time for the fleet to become ready, at the start and after each change.
const READY_TIMEOUT: Duration = Duration::from_secs(60);
/// Time that a data centre has to come to rest after it was taken out.
const REST_TIME: Duration = Duration::from_secs(2);
/// Mean pause between the requests of one caller.
const CALLER_PAUSE: Duration = Duration::from_millis(60);
/// Organisation that makes the tables.
const TABLE_MAKER: &str = "swakop-shells";

/// How long each part of the demo lasts.
#[derive(Clone, Copy, Debug)]
pub struct DemoPace {
    /// Load before the first fault, and after the last.
    pub calm: Duration,
    /// Load between two faults.
    pub between: Duration,
}

impl Default for DemoPace {
    fn default() -> Self {
        Self {
            calm: Duration::from_secs(3),
            between: Duration::from_secs(4),
        }
    }
}

/// What the demo showed.
#[derive(Clone, Debug, Default)]
pub struct DemoSummary {
    /// Statements and transactions that were sent.
    pub requests: u64,
    /// Those that were answered as asked.
    pub answers: u64,
    /// The others, by SQLSTATE.
    pub refusals: BTreeMap<String, u64>,
    /// Share of session reads that replicas served.
    pub replica_read_share: f64,
    /// Time from the last write acknowledged by the old primary to the first by the new one.
    pub failover_gap: Option<Duration>,
    /// When the last new work started in the data centre that was out, after it was taken out.
    pub last_new_work: Duration,
    /// What the history shows.
    pub finding: HistoryFinding,
}

impl DemoSummary {
    /// Returns how many invariants broke.
    pub fn violations(&self) -> u64 {
        self.finding.violations() + u64::from(self.last_new_work > REST_TIME)
    }

    /// Writes the table.
    pub fn table(&self) -> String {
        let mut lines = vec![
            format!("requests            {:>8}", self.requests),
            format!("answers             {:>8}", self.answers),
        ];
        for (code, count) in &self.refusals {
            lines.push(format!("refused {code:<12}{count:>8}"));
        }
        let gap = match self.failover_gap {
            Some(gap) => format!("{} ms", gap.as_millis()),
            None => "none seen".to_owned(),
        };
        lines.extend([
            format!(
                "replica reads       {:>7.1}%",
                self.replica_read_share * 100.0
            ),
            format!("failover gap        {gap:>8}"),
            format!(
                "last new work out   {:>5} ms",
                self.last_new_work.as_millis()
            ),
            format!("writes acknowledged {:>8}", self.finding.acknowledged),
            format!("outcome unknown     {:>8}", self.finding.unknown),
            format!("lost                {:>8}", self.finding.lost_acknowledged),
            format!("ran twice           {:>8}", self.finding.ran_twice),
            format!("false not run       {:>8}", self.finding.false_not_run),
            format!("stale reads         {:>8}", self.finding.stale_reads),
            format!("violations          {:>8}", self.violations()),
        ]);
        lines.join("\n")
    }
}

/// Runs the demo on a plan; returns the fleet as well, still running.
///
/// # Errors
///
/// When the fleet does not get where it should.
pub async fn run_demo(
    plan: FleetPlan,
    pace: DemoPace,
    progress: impl Fn(&str),
) -> Result<(DemoSummary, TestFleet), FleetError> {
    progress("starting 3 control instances, 6 entries and 9 databases");
    let mut fleet = TestFleet::start_ready(plan, ready_deadline()).await?;
    progress("the document is in force and every service has a primary");
    make_tables(&fleet).await?;
    let load = DemoLoad::start(&fleet, CALLER_PAUSE);
    progress(&format!("{} callers are at work", load.workers.len()));
    sleep(pace.calm).await;

    let (service, group) = first_service(&fleet);
    let primary = fleet
        .primary(&group)
        .ok_or_else(|| FleetError::Late(format!("no primary of {group}")))?;
    let lost = fleet
        .databases
        .iter()
        .position(|node| *node.upstream() == primary)
        .ok_or_else(|| FleetError::Late(format!("no database {primary}")))?;
    let stopped = Instant::now();
    fleet.databases[lost].kill();
    progress(&format!("stopped {primary}, the primary of {service}"));
    sleep(pace.between).await;
    fleet.wait_active(ready_deadline()).await?;
    progress(&format!(
        "{service} has a primary again, the old one is started"
    ));
    fleet.start_database(lost)?;
    sleep(pace.between).await;

    let out = fleet.databases[lost].data_centre().clone();
    let (last_new_work, text) = take_out(&fleet, &out, pace, &progress).await?;
    let text = next_document(&text, 2, None);
    fleet.submit(&text, 2, "back", ready_deadline()).await?;
    progress(&format!("{out} is back in service"));
    sleep(pace.calm).await;
    fleet.wait_active(ready_deadline()).await?;

    let history = load.stop().await;
    progress("the load has stopped; comparing what was acknowledged with what is there");
    let mut summary = summarize(&fleet, &history).await?;
    summary.failover_gap = history.gap_around(&service, stopped);
    summary.last_new_work = last_new_work;
    Ok((summary, fleet))
}

fn ready_deadline() -> Instant {
    Instant::now() + READY_TIMEOUT
}

/// Makes the table of every service.
///
/// # Errors
///
/// When a service does not take it.
pub async fn make_tables(fleet: &TestFleet) -> Result<(), FleetError> {
    for service in fleet.document().services.keys() {
        let target = CallerTarget {
            address: fleet.entries[0].caller_address(),
            user: TABLE_MAKER.to_owned(),
            password: example_key(TABLE_MAKER),
            service: service.to_string(),
        };
        for statement in LedgerTable::CREATE {
            let made = async {
                let mut session = CallerSession::connect(&target, None).await?;
                session.batch(statement).await
            };
            let made = made.await;
            made.map_err(|error| FleetError::Late(format!("the table of {service}: {error:?}")))?;
        }
    }
    Ok(())
}

/// Callers at work on every service of a fleet.
pub struct DemoLoad {
    workers: JoinSet<LoadHistory>,
    stop: Arc<watch::Sender<bool>>,
    acknowledged: watch::Sender<u64>,
}

impl DemoLoad {
    /// Starts one caller for each organisation and service that it may use.
    pub fn start(fleet: &TestFleet, pause: Duration) -> Self {
        let entries: Vec<_> = fleet
            .entries
            .iter()
            .map(|entry| entry.caller_address())
            .collect();
        let stop = Arc::new(watch::Sender::new(false));
        let acknowledged = watch::Sender::new(0);
        let mut workers = JoinSet::new();
        let kinds = [WorkerKind::Keeper, WorkerKind::Owner, WorkerKind::Vet];
        for (organisation, entry) in &fleet.document().organisations {
            for service in fleet.document().services.keys() {
                if !entry.services.is_empty() && !entry.services.contains(service) {
                    continue;
                }
                let number = workers.len();
                let plan = LoadPlan {
                    kind: kinds[number % kinds.len()],
                    name: format!("caller-{number}"),
                    organisation: organisation.to_string(),
                    key: example_key(organisation.as_str()),
                    service: service.to_string(),
                    entries: entries.clone(),
                    pause,
                    seed: number as u64,
                    acknowledged: acknowledged.clone(),
                };
                workers.spawn(LoadWorker::new(plan).run(Arc::clone(&stop)));
            }
        }
        Self {
            workers,
            stop,
            acknowledged,
        }
    }

    /// Waits until this many more writes have been acknowledged.
    pub async fn wait_acknowledged(&self, more: u64) {
        let mut count = self.acknowledged.subscribe();
        let wanted = *count.borrow() + more;
        // The sender lives in `self`, so waiting cannot fail.
        let _ = count.wait_for(|count| *count >= wanted).await;
    }

    /// Lets every caller finish what it does and returns what they did.
    pub async fn stop(self) -> LoadHistory {
        self.stop.send_replace(true);
        let mut history = LoadHistory::default();
        for worker in self.workers.join_all().await {
            history.absorb(worker);
        }
        history
    }
}

fn first_service(fleet: &TestFleet) -> (String, GroupId) {
    let (service, entry) = fleet
        .document()
        .services
        .first_key_value()
        .expect("a document has services");
    (service.to_string(), entry.group.clone())
}

/// Takes a data centre out; returns how long new work went on there, and the document.
async fn take_out(
    fleet: &TestFleet,
    out: &DataCentreId,
    pace: DemoPace,
    progress: &impl Fn(&str),
) -> Result<(Duration, String), FleetError> {
    let text = next_document(fleet.document_text(), 1, Some(out));
    fleet.submit(&text, 1, "out", ready_deadline()).await?;
    let since = Instant::now();
    progress(&format!("{out} is taken out of service"));
    sleep_until(since + REST_TIME + pace.between).await;
    fleet.wait_active(ready_deadline()).await?;
    let last = fleet
        .databases
        .iter()
        .filter(|node| node.data_centre() == out)
        .filter_map(|node| node.database()?.counters().last())
        .max();
    let last = last.map_or(Duration::ZERO, |last| last.saturating_duration_since(since));
    progress(&format!(
        "the last new work there started {} ms later",
        last.as_millis()
    ));
    Ok((last, text))
}

/// Compares a history with what the final primaries hold.
///
/// # Errors
///
/// When a primary cannot be asked.
pub async fn summarize(
    fleet: &TestFleet,
    history: &LoadHistory,
) -> Result<DemoSummary, FleetError> {
    let held = held_ids(fleet).await?;
    let finding = history.check(&held);
    let refusals = history.refusals();
    let requests = (history.writes.len() + history.reads.len()) as u64;
    let refused_connections: u64 = history.refused_connections.values().sum();
    let refused: u64 = refusals.values().sum::<u64>() - refused_connections;
    let reads = history
        .reads
        .iter()
        .filter(|read| read.seen.is_ok())
        .count();
    let replica_reads: u64 = fleet
        .databases
        .iter()
        .filter_map(|node| Some(node.database()?.counters().replica_reads()))
        .sum();
    #[expect(clippy::cast_precision_loss, reason = "counts of a short run")]
    let replica_read_share = (replica_reads as f64 / reads.max(1) as f64).min(1.0);
    Ok(DemoSummary {
        requests,
        answers: requests - refused,
        refusals,
        replica_read_share,
        failover_gap: None,
        last_new_work: Duration::ZERO,
        finding,
    })
}

/// Asks every group's present primary, not through the fleet, for what it holds.
async fn held_ids(fleet: &TestFleet) -> Result<BTreeMap<String, Vec<String>>, FleetError> {
    let mut held = BTreeMap::new();
    for (service, entry) in &fleet.document().services {
        let upstream = fleet.primary(&entry.group);
        let node = upstream.and_then(|upstream| fleet.database(&upstream));
        let database = node.and_then(|node| node.database());
        let late = || FleetError::Late(format!("{service} has no primary"));
        let target = CallerTarget {
            address: database.ok_or_else(late)?.address(),
            user: "check".to_owned(),
            password: "check".to_owned(),
            service: service.to_string(),
        };
        let asked = async {
            let mut session = CallerSession::connect(&target, None).await?;
            session.query(LedgerTable::IDS, &[]).await
        };
        let rows = asked
            .await
            .map_err(|error| FleetError::Late(error.to_string()))?;
        let ids = rows.iter().map(|row| row.get(0)).collect();
        held.insert(service.to_string(), ids);
    }
    Ok(held)
}
