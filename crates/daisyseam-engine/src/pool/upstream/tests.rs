//! A model of one contended primary in virtual time, with the load that was measured: one
//! organisation sends 6.5 times its usual rate for 6.4 s, and the primary is asked for 45/40 of
//! what it carries. The shares of the kinds of requests on the primary are assumed: half of them
//! are of the most urgent kind.

use super::UpstreamPool;
use crate::{
    ConnectionLost,
    DatabaseCall,
    DatabaseConnection,
    DatabaseReply,
    pool::{
        claim::{
            Claim,
            ClaimRequest,
            Grant, //
        },
        shares::ConnectionBudget, //
    },
    urgency::{
        QueueRule,
        Urgency, //
    },
    values::SessionValues, //
};
use daisyseam_model::{
    OrganisationId,
    UpstreamView, //
};
use parking_lot::Mutex;
use rand::{
    Rng,
    SeedableRng, //
};
use rand_chacha::ChaCha8Rng;
use std::{
    sync::{
        Arc,
        atomic::{
            AtomicUsize,
            Ordering, //
        }, //
    },
    time::Duration, //
};
use tokio::{
    sync::Semaphore,
    time::{
        Instant,
        sleep,
        sleep_until,
        timeout_at, //
    }, //
};

/// Statements that the database runs at once, and those that it queues before it refuses.
const SLOTS: usize = 5;
const DATABASE_QUEUE: usize = 6;

/// Bounds of the time that a statement runs, uniformly distributed.
const MIN_RUN_MS: u64 = 10;
const MAX_RUN_MS: u64 = 70;

/// Kinds of requests: priority, target in milliseconds, share of the requests in percent.
const KINDS: [(u32, u64, u32); 3] = [(0, 800, 50), (1, 1_000, 25), (2, 1_200, 25)];

/// Organisations; the first is the busy one.
const ORGANISATIONS: usize = 10;

/// Factor by which the busy organisation exceeds its usual rate.
const BURST_FACTOR: f64 = 6.5;

/// Load during the burst, as a part of what the database carries.
const BURST_LOAD: f64 = 45.0 / 40.0;

/// The burst begins after a quiet time.
const BURST_START: Duration = Duration::from_secs(2);
const BURST_END: Duration = Duration::from_millis(8_400);
const END: Duration = Duration::from_secs(11);

/// Number of times that a caller sends a request, and its wait where no time is given.
const TRIES: u32 = 3;
const RETRY_WAIT: Duration = Duration::from_millis(30);

/// Never used: the model takes permits and runs statements itself.
struct NoConnection;

impl DatabaseConnection for NoConnection {
    async fn send(&mut self, _call: DatabaseCall<'_>) -> Result<(), ConnectionLost> {
        unreachable!()
    }

    async fn receive(&mut self) -> Result<DatabaseReply, ConnectionLost> {
        unreachable!()
    }

    fn is_stale(&mut self) -> bool {
        unreachable!()
    }
}

/// What a caller got for a request of the burst.
#[derive(Clone, Copy, Debug)]
struct Outcome {
    organisation: usize,
    kind: usize,
    /// Whether it was answered within the target of its first try.
    in_time: bool,
}

/// The model.
struct Model {
    pool: Arc<UpstreamPool<NoConnection>>,
    rule: QueueRule,
    slots: Semaphore,
    in_database: AtomicUsize,
    outcomes: Mutex<Vec<Outcome>>,
    tries: AtomicUsize,
    /// Tries refused after more than a quarter of the target.
    late_refusals: AtomicUsize,
    /// Statements sent after the target of their try.
    sent_late: AtomicUsize,
    claims: AtomicUsize,
}

#[derive(Clone, Debug)]
struct ModelRequest {
    organisation: usize,
    name: OrganisationId,
    kind: usize,
    run: Duration,
    in_burst: bool,
}

impl Model {
    fn new(rule: QueueRule) -> Self {
        let view = UpstreamView {
            group: "orders".parse().unwrap(),
            data_centre: "north".parse().unwrap(),
            address: "127.0.0.1:1".parse().unwrap(),
            admin_address: "127.0.0.1:2".parse().unwrap(),
            holder: None,
            leaving: false,
            born_ms: 0,
            voter: true,
        };
        let budget = ConnectionBudget {
            share: 30,
            max_open: 30,
            is_held: true,
        };
        Self {
            pool: Arc::new(UpstreamPool::new(&view, budget)),
            rule,
            slots: Semaphore::new(SLOTS),
            in_database: AtomicUsize::new(0),
            outcomes: Mutex::default(),
            tries: AtomicUsize::new(0),
            late_refusals: AtomicUsize::new(0),
            sent_late: AtomicUsize::new(0),
            claims: AtomicUsize::new(0),
        }
    }

    async fn request(&self, request: ModelRequest) {
        let target = Duration::from_millis(KINDS[request.kind].1);
        let started_at = Instant::now();
        let mut answered = false;
        for _ in 0..TRIES {
            match self.attempt(&request, target).await {
                Ok(()) => {
                    answered = true;
                    break;
                }
                Err(retry_after) => sleep(retry_after.unwrap_or(RETRY_WAIT)).await,
            }
        }
        if request.in_burst {
            self.outcomes.lock().push(Outcome {
                organisation: request.organisation,
                kind: request.kind,
                in_time: answered && started_at.elapsed() <= target,
            });
        }
    }

    async fn attempt(
        &self,
        request: &ModelRequest,
        target: Duration,
    ) -> Result<(), Option<Duration>> {
        self.tries.fetch_add(1, Ordering::Relaxed);
        let now = Instant::now();
        let until = match self.rule {
            QueueRule::Turns => now + target / 4,
            QueueRule::Urgency => now + target,
        };
        let number = self.claims.fetch_add(1, Ordering::Relaxed);
        let claim = self.pool.claim(ClaimRequest {
            organisation: Some(&request.name),
            values: &SessionValues::default(),
            number: number.try_into().unwrap(),
            deadline: until,
            target: now + target,
            urgency: Urgency::of_priority(KINDS[request.kind].0),
            rule: self.rule,
        });
        let granted = match claim {
            Claim::Granted(grant) => Ok(grant),
            Claim::Rejected(refusal) => Err(refusal.retry_after),
            Claim::Wait { granted, until, .. } => match timeout_at(until, granted).await {
                Ok(Ok(Ok(grant))) => Ok(grant),
                Ok(Ok(Err(refusal))) => Err(refusal.retry_after),
                Ok(Err(_)) => unreachable!(),
                Err(_) => Err(None),
            },
        };
        let waited = now.elapsed();
        let grant = granted.inspect_err(|_| {
            if waited > target / 4 + Duration::from_millis(2) {
                self.late_refusals.fetch_add(1, Ordering::Relaxed);
            }
        })?;
        if waited > target {
            self.sent_late.fetch_add(1, Ordering::Relaxed);
        }
        let Grant::Permit(mut permit) = grant else {
            unreachable!()
        };
        let in_database = self.in_database.fetch_add(1, Ordering::Relaxed);
        let is_refused = in_database >= SLOTS + DATABASE_QUEUE;
        if is_refused {
            permit.record_overload();
        } else {
            let _slot = self.slots.acquire().await.unwrap();
            sleep(request.run).await;
        }
        self.in_database.fetch_sub(1, Ordering::Relaxed);
        permit.record_reply();
        drop(permit);
        match is_refused {
            true => Err(None),
            false => Ok(()),
        }
    }

    /// Returns the share of the requests of the burst that were answered in time.
    fn share(&self, is_counted: impl Fn(&Outcome) -> bool) -> f64 {
        let outcomes = self.outcomes.lock();
        let counted: Vec<_> = outcomes.iter().filter(|one| is_counted(one)).collect();
        let in_time = counted.iter().filter(|one| one.in_time).count();
        in_time as f64 / counted.len() as f64
    }

    fn summary(&self) -> String {
        format!(
            "kinds {:.3} {:.3} {:.3}, others by kind {:.3} {:.3} {:.3}, others {:.3}, busy {:.3}, tries {}, refused late {}, sent \
             late {}",
            self.share(|one| one.kind == 0),
            self.share(|one| one.kind == 1),
            self.share(|one| one.kind == 2),
            self.share(|one| one.organisation > 0 && one.kind == 0),
            self.share(|one| one.organisation > 0 && one.kind == 1),
            self.share(|one| one.organisation > 0 && one.kind == 2),
            self.share(|one| one.organisation > 0),
            self.share(|one| one.organisation == 0),
            self.tries.load(Ordering::Relaxed),
            self.late_refusals.load(Ordering::Relaxed),
            self.sent_late.load(Ordering::Relaxed),
        )
    }
}

/// Draws the time to the next request at a rate per second.
fn next_gap(random: &mut impl Rng, rate: f64) -> Duration {
    let uniform: f64 = random.random_range(f64::EPSILON..1.0);
    Duration::from_secs_f64(-uniform.ln() / rate)
}

fn draw_kind(random: &mut impl Rng) -> usize {
    let drawn = random.random_range(0..100);
    let mut below = 0;
    let ends = KINDS.map(|(_, _, percent)| {
        below += percent;
        below
    });
    ends.iter().position(|end| drawn < *end).unwrap()
}

/// Runs the model with a busy organisation that sends `burst_factor` times its usual rate.
async fn run(rule: QueueRule, seed: u64, burst_factor: f64) -> Arc<Model> {
    let model = Arc::new(Model::new(rule));
    let start = Instant::now();
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mean_run = (MIN_RUN_MS + MAX_RUN_MS) as f64 / 2_000.0;
    let organisations = ORGANISATIONS as f64 - 1.0 + burst_factor;
    let usual_load = SLOTS as f64 * BURST_LOAD / organisations;
    let mut senders = Vec::new();
    for organisation in 0..ORGANISATIONS {
        let model = Arc::clone(&model);
        let mut random = ChaCha8Rng::seed_from_u64(random.random());
        senders.push(tokio::spawn(async move {
            let name: OrganisationId = format!("org-{organisation}").parse().unwrap();
            let mut requests = Vec::new();
            let mut at = start;
            loop {
                let in_burst = (start + BURST_START..start + BURST_END).contains(&at);
                let factor = match in_burst && organisation == 0 {
                    true => burst_factor,
                    false => 1.0,
                };
                at += next_gap(&mut random, factor * usual_load / mean_run);
                if at > start + END {
                    break;
                }
                sleep_until(at).await;
                let request = ModelRequest {
                    organisation,
                    name: name.clone(),
                    kind: draw_kind(&mut random),
                    run: Duration::from_millis(random.random_range(MIN_RUN_MS..=MAX_RUN_MS)),
                    in_burst: (start + BURST_START..start + BURST_END).contains(&at),
                };
                let model = Arc::clone(&model);
                requests.push(tokio::spawn(async move { model.request(request).await }));
            }
            for request in requests {
                request.await.unwrap();
            }
        }));
    }
    for sender in senders {
        sender.await.unwrap();
    }
    model
}

/// The most urgent requests were refused as often as all others, and the organisations that share
/// the primary with a busy one paid for it.
#[test_case::test_case(1)]
#[test_case::test_case(2)]
#[test_case::test_case(3)]
#[test_case::test_case(4)]
#[test_case::test_case(5)]
#[tokio::test(start_paused = true)]
async fn a_busy_organisation_delays_neither_urgent_requests_nor_others(seed: u64) {
    let model = run(QueueRule::Urgency, seed, BURST_FACTOR).await;
    let summary = model.summary();
    assert!(model.share(|one| one.kind == 0) >= 0.95, "{summary}");
    assert!(model.share(|one| one.organisation > 0) >= 0.99, "{summary}");
    assert_eq!(model.sent_late.load(Ordering::Relaxed), 0, "{summary}");
}

/// Without a busy organisation, the least urgent requests must give way, but not starve.
#[test_case::test_case(1)]
#[test_case::test_case(2)]
#[test_case::test_case(3)]
#[tokio::test(start_paused = true)]
async fn the_least_urgent_requests_give_way_but_do_not_starve(seed: u64) {
    let model = run(QueueRule::Urgency, seed, 1.0).await;
    let summary = model.summary();
    assert!(model.share(|one| one.kind == 0) >= 0.95, "{summary}");
    assert!(model.share(|one| one.kind == 2) >= 0.1, "{summary}");
    assert_eq!(model.sent_late.load(Ordering::Relaxed), 0, "{summary}");
}
