//! Uneven, moving demand within rates, one organisation far over its own, and lost instances.

use super::{
    DeploymentShape,
    shape::{
        equal_organisations,
        plan,
        start,
        target, //
    },
    traffic::{
        Arrival,
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
        MeasureTable, //
    },
    fleet::EntryNode, //
};
use rand::{
    Rng,
    SeedableRng, //
};
use rand_chacha::ChaCha8Rng;
use std::{
    collections::BinaryHeap,
    time::Duration, //
};
use tokio::{
    task::JoinSet,
    time::{
        Instant,
        sleep_until, //
    }, //
};

/// Organisations.
const ORGANISATIONS: usize = 8;
/// Statements a second of each.
const RATE: f64 = 100.0;
/// Statements at once of each.
const BURST: f64 = 50.0;
/// Part of its rate that an organisation within its rate sends.
const USUAL_PART: f64 = 0.9;
/// What the other one sends, as a multiple of its rate.
const FLOOD_FACTOR: f64 = 5.0;
/// Time after which demand moves to another instance, wholly.
const MOVE_TIME: Duration = Duration::from_secs(3);
/// Longest wait for a token.
const QUEUE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time before anything is counted.
const WARM_UP: Duration = Duration::from_secs(4);
/// Time of the traffic.
const TIME: Duration = Duration::from_secs(27);
/// Instance that is lost, and when; it comes back a while later.
const LOST_ENTRY: usize = 1;
const LOST_AFTER: Duration = Duration::from_secs(10);
const BACK_AFTER: Duration = Duration::from_secs(18);

/// Runs the experiment once.
pub(super) async fn run(
    shape: DeploymentShape,
    seed: u64,
) -> Result<ExperimentOutcome, ExperimentError> {
    let organisations = equal_organisations(ORGANISATIONS, RATE, BURST);
    let mut fleet = start(plan(shape, &organisations, QUEUE_TIMEOUT, seed)).await?;
    let addresses: Vec<_> = fleet
        .entries
        .iter()
        .map(EntryNode::caller_address)
        .collect();
    let first = addresses
        .iter()
        .map(|address| target(*address, &organisations[0].name));
    prepare(&first.collect::<Vec<_>>())
        .await
        .map_err(ExperimentError::of)?;
    let start = Instant::now() + WARM_UP;
    let mut crowds = JoinSet::new();
    let mut offered = Vec::new();
    for (place, organisation) in organisations.iter().enumerate() {
        let arrivals = arrivals(seed, place, addresses.len());
        offered.push(arrivals.clone());
        let crowd = CallerPool {
            targets: addresses
                .iter()
                .map(|address| target(*address, &organisation.name))
                .collect(),
            connections: 60,
            patience: if place == 0 { 20 } else { 1_000 },
            statement: READ_STATEMENT,
        };
        crowds.spawn(async move { (place, crowd.send(start, arrivals).await) });
    }
    sleep_until(start + LOST_AFTER).await;
    fleet.entries[LOST_ENTRY].kill();
    sleep_until(start + BACK_AFTER).await;
    fleet
        .start_entry(LOST_ENTRY)
        .await
        .map_err(ExperimentError::of)?;
    let mut records = vec![Vec::new(); ORGANISATIONS];
    while let Some(sent) = crowds.join_next().await {
        let (place, sent) = sent.map_err(ExperimentError::of)?;
        records[place] = sent;
    }
    let excess: u64 = records.iter().map(|records| excess(records)).sum();
    Ok(ExperimentOutcome {
        violations: excess,
        measures: measures(&records, excess),
        baseline: baseline(&offered, addresses.len()),
    })
}

/// Draws what an organisation sends: within rate and burst for all but the first.
fn arrivals(seed: u64, place: usize, entries: usize) -> Vec<Arrival> {
    let mut random = ChaCha8Rng::seed_from_u64(seed * 1_000 + place as u64);
    let moves = TIME.as_secs_f64() / MOVE_TIME.as_secs_f64();
    let busy: Vec<usize> = (0..=moves as usize)
        .map(|_| random.random_range(0..entries))
        .collect();
    let factor = if place == 0 { FLOOD_FACTOR } else { USUAL_PART };
    let at_entry = |after: Duration, _: &mut ChaCha8Rng| {
        let entry = busy[(after.as_secs_f64() / MOVE_TIME.as_secs_f64()) as usize];
        // Callers know that this instance is gone.
        let lost = entry == LOST_ENTRY && (LOST_AFTER..BACK_AFTER).contains(&after);
        if lost { (entry + 1) % entries } else { entry }
    };
    let mut arrivals = draw_arrivals(&mut random, RATE * factor, TIME, at_entry);
    if place > 0 {
        let mut bucket = IdealBucket::full();
        arrivals.retain(|arrival| bucket.take(arrival.after.as_secs_f64()));
    }
    arrivals
}

fn measures(records: &[Vec<CallRecord>], excess: u64) -> MeasureTable {
    let within = records[1..].iter().flatten();
    let offered = within.clone().count() as f64;
    let refused = within
        .clone()
        .filter(|record| record.is_over_rate())
        .count() as f64;
    let unserved = within.filter(|record| !record.is_served()).count() as f64;
    let flooder = records[0].iter().filter(|record| record.is_served());
    let ideal = RATE * TIME.as_secs_f64() + BURST;
    let pairs = [
        ("excess", excess as f64),
        ("refused_within_rate_share", refused / offered),
        ("unserved_within_rate_share", unserved / offered),
        ("flooder_served_of_ideal", flooder.count() as f64 / ideal),
        ("offered_within_rate", offered),
    ];
    table(pairs)
}

/// Works out what an even static split would have done with the same requests: each instance has
/// an even part of rate and burst, and a request waits for a token as long as it may.
fn baseline(offered: &[Vec<Arrival>], entries: usize) -> MeasureTable {
    let (mut refused, mut count) = (0_u64, 0_u64);
    for arrivals in &offered[1..] {
        let mut buckets: Vec<StaticBucket> = vec![StaticBucket::new(entries); entries];
        for arrival in arrivals {
            count += 1;
            let at = arrival.after.as_secs_f64();
            refused += u64::from(!buckets[arrival.entry].admit(at));
        }
    }
    table([
        ("excess", 0.0),
        ("refused_within_rate_share", refused as f64 / count as f64),
    ])
}

fn table<const N: usize>(pairs: [(&str, f64); N]) -> MeasureTable {
    pairs
        .into_iter()
        .map(|(name, value)| (name.to_owned(), value))
        .collect()
}

/// Counts the answers that one bucket of the whole rate and burst would not have allowed.
///
/// A request took its token at some moment between being sent and being answered. The requests
/// are given the ideal bucket's tokens, the one that was answered first before the others; one
/// that would get its token only after its answer was over the rate.
fn excess(records: &[CallRecord]) -> u64 {
    let Some(origin) = records.iter().map(|record| record.sent).min() else {
        return 0;
    };
    let since = |moment: Instant| (moment - origin).as_secs_f64();
    let served = records.iter().filter(|record| record.is_served());
    let mut waiting: Vec<(f64, f64)> = served
        .map(|record| (since(record.sent), since(record.answered)))
        .collect();
    waiting.sort_by(|left, right| right.0.total_cmp(&left.0));
    let mut bucket = IdealBucket::full();
    let mut open: BinaryHeap<std::cmp::Reverse<OrderedTime>> = BinaryHeap::new();
    let mut now = 0.0;
    let mut over = 0;
    loop {
        while let Some((sent, answered)) = waiting.pop_if(|(sent, _)| *sent <= now) {
            debug_assert!(sent <= answered);
            open.push(std::cmp::Reverse(OrderedTime(answered)));
        }
        let Some(std::cmp::Reverse(OrderedTime(answered))) = open.pop() else {
            match waiting.last() {
                Some((sent, _)) => now = *sent,
                None => return over,
            }
            continue;
        };
        let ready = bucket.ready_at(now);
        let next = waiting.last().map_or(f64::INFINITY, |(sent, _)| *sent);
        if ready > next {
            // Another that is answered earlier may be sent before the token is there.
            open.push(std::cmp::Reverse(OrderedTime(answered)));
            now = next;
            continue;
        }
        now = now.max(ready);
        if now > answered {
            over += 1;
        }
        bucket.take(now);
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct OrderedTime(f64);

impl Eq for OrderedTime {}

impl PartialOrd for OrderedTime {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for OrderedTime {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.0.total_cmp(&other.0)
    }
}

/// One bucket of the whole rate and burst.
struct IdealBucket {
    tokens: f64,
    at: f64,
}

impl IdealBucket {
    fn full() -> Self {
        Self {
            tokens: BURST,
            at: 0.0,
        }
    }

    fn fill(&mut self, now: f64) {
        let passed = (now - self.at).max(0.0);
        self.tokens = (self.tokens + passed * RATE).min(BURST);
        self.at = self.at.max(now);
    }

    fn ready_at(&mut self, now: f64) -> f64 {
        self.fill(now);
        now + ((1.0 - self.tokens) / RATE).max(0.0)
    }

    fn take(&mut self, now: f64) -> bool {
        self.fill(now);
        // The sum of many additions may fall short of one by its rounding.
        let enough = self.tokens >= 1.0 - 1e-6;
        if enough {
            self.tokens -= 1.0;
        }
        enough
    }
}

/// An even part of rate and burst; requests wait in line up to their deadline.
#[derive(Clone, Debug)]
struct StaticBucket {
    rate: f64,
    burst: f64,
    /// Tokens, less those that requests in line have been promised.
    tokens: f64,
    at: f64,
}

impl StaticBucket {
    fn new(entries: usize) -> Self {
        let burst = (BURST / entries as f64).max(1.0);
        Self {
            rate: RATE / entries as f64,
            burst,
            tokens: burst,
            at: 0.0,
        }
    }

    fn admit(&mut self, now: f64) -> bool {
        self.tokens = (self.tokens + (now - self.at) * self.rate).min(self.burst);
        self.at = now;
        let wait = (1.0 - self.tokens) / self.rate;
        let in_time = wait <= QUEUE_TIMEOUT.as_secs_f64();
        if in_time {
            self.tokens -= 1.0;
        }
        in_time
    }
}
