//! A model of data centres with one database each and many instances that route reads among them,
//! in steps of one millisecond.

use daisyseam_coord::{
    Moment,
    read_route::{
        ReadCandidate,
        ReadShares, //
    },
    route::RouteDistance, //
};
use daisyseam_model::{
    GroupId,
    UpstreamId,
    document::ReadCosts, //
};
use rand::{
    Rng,
    SeedableRng, //
};
use rand_chacha::ChaCha8Rng;
use std::{
    collections::{
        BTreeMap,
        VecDeque, //
    },
    time::Duration, //
};

/// Concurrent statements of a database.
const SLOTS: usize = 5;

/// Time for which half of a reported wait is forgotten, in milliseconds.
const WAIT_HALF_LIFE_MS: f64 = 500.0;

/// What the model is run with.
#[derive(Clone, Debug)]
pub(crate) struct ModelSettings {
    /// Instances in each data centre.
    pub(crate) instances: usize,
    /// One-way time between two data centres, in milliseconds.
    pub(crate) way_ms: u64,
    /// Distance of two data centres.
    pub(crate) distance: RouteDistance,
    /// Time until an instance knows the wait that an answer carries, besides the way.
    pub(crate) report_ms: u64,
    /// Demand for reads of each data centre over time in ms, as a share of one database's capacity.
    pub(crate) demand: fn(data_centre: usize, at_ms: u64) -> f64,
    /// Demand of each database for work that cannot leave it, in the same unit.
    pub(crate) fixed: fn(data_centre: usize, at_ms: u64) -> f64,
    /// Mean time that a statement takes, in milliseconds.
    pub(crate) service_ms: u64,
    /// Database that is the primary.
    pub(crate) primary: Option<usize>,
    /// Decision parameters; `None` routes every read to its own data centre.
    pub(crate) costs: Option<ReadCosts>,
    /// Time that a read may take, in milliseconds.
    pub(crate) target_ms: u64,
    /// Length of the run, in milliseconds.
    pub(crate) length_ms: u64,
}

/// What the model has seen.
#[derive(Debug, Default)]
pub(crate) struct ModelResult {
    /// Reads.
    pub(crate) reads: u64,
    /// Reads that took longer than the target.
    pub(crate) late: u64,
    /// Reads sent to another data centre.
    pub(crate) left: u64,
    /// Fixed work, and how much of it took longer than the target.
    pub(crate) fixed: u64,
    pub(crate) fixed_late: u64,
    /// Share of the reads that left, by data centre and interval of 250 ms.
    pub(crate) shares: Vec<Vec<f64>>,
    /// Longest wait at each database, in milliseconds.
    pub(crate) max_wait_ms: Vec<u64>,
}

/// Length of the intervals of [`ModelResult::shares`], in milliseconds.
pub(crate) const INTERVAL_MS: u64 = 250;

/// Number of these intervals that swings are averaged over, as few reads vary by chance.
const SWING_INTERVALS: usize = 2;

struct Instance {
    shares: ReadShares,
    /// Last reported wait and its time, by database.
    waits: Vec<(f64, u64)>,
    in_flight: Vec<usize>,
    choices: Vec<u64>,
}

#[derive(Clone, Copy)]
struct Call {
    /// Data centre and instance of the caller; `None` for fixed work.
    caller: Option<(usize, usize)>,
    sent_at: u64,
}

#[derive(Default)]
struct Database {
    queue: VecDeque<Call>,
    running: usize,
}

enum Event {
    Arrive(usize, Call),
    Finish(usize, Call),
    Answer(usize, Call),
    Report(usize, usize, usize, u64),
}

/// Runs the model.
pub(crate) fn run(settings: &ModelSettings, data_centres: usize, seed: u64) -> ModelResult {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let group = GroupId::new("bookings").expect("a valid name");
    let names: Vec<UpstreamId> = (0..data_centres)
        .map(|index| UpstreamId::new(&format!("copy-{index}")).expect("a valid name"))
        .collect();
    let mut instances: Vec<Vec<Instance>> = (0..data_centres)
        .map(|_| {
            let new = || Instance {
                shares: ReadShares::default(),
                waits: vec![(0.0, 0); data_centres],
                in_flight: vec![0; data_centres],
                choices: vec![0; data_centres],
            };
            (0..settings.instances).map(|_| new()).collect()
        })
        .collect();
    let mut databases: Vec<Database> = (0..data_centres).map(|_| Database::default()).collect();
    let mut events: BTreeMap<u64, Vec<Event>> = BTreeMap::new();
    let mut result = ModelResult {
        shares: vec![Vec::new(); data_centres],
        max_wait_ms: vec![0; data_centres],
        ..ModelResult::default()
    };
    let mut interval = vec![(0_u64, 0_u64); data_centres];
    let capacity_per_ms = SLOTS as f64 / settings.service_ms as f64;
    for now in 0..settings.length_ms {
        for home in 0..data_centres {
            let arrivals = poisson(&mut random, (settings.demand)(home, now) * capacity_per_ms);
            for _ in 0..arrivals {
                let index = random.random_range(0..settings.instances);
                let instance = &mut instances[home][index];
                let target = match &settings.costs {
                    None => home,
                    Some(costs) => instance.choose(now, costs, settings, &group, &names, home),
                };
                instance.in_flight[target] += 1;
                instance.choices[target] = now;
                result.reads += 1;
                interval[home].0 += 1;
                if target != home {
                    result.left += 1;
                    interval[home].1 += 1;
                }
                let call = Call {
                    caller: Some((home, index)),
                    sent_at: now,
                };
                let way = way(settings, home, target);
                events
                    .entry(now + way)
                    .or_default()
                    .push(Event::Arrive(target, call));
            }
            let arrivals = poisson(&mut random, (settings.fixed)(home, now) * capacity_per_ms);
            for _ in 0..arrivals {
                let call = Call {
                    caller: None,
                    sent_at: now,
                };
                events
                    .entry(now)
                    .or_default()
                    .push(Event::Arrive(home, call));
            }
        }
        while let Some(due) = events.remove(&now) {
            for event in due {
                match event {
                    Event::Arrive(target, call) => databases[target].queue.push_back(call),
                    Event::Finish(target, call) => {
                        databases[target].running -= 1;
                        let wait = databases[target].wait_ms(settings.service_ms);
                        result.max_wait_ms[target] = result.max_wait_ms[target].max(wait);
                        let Some((home, index)) = call.caller else {
                            result.fixed += 1;
                            result.fixed_late += u64::from(now - call.sent_at > settings.target_ms);
                            continue;
                        };
                        let answered = now + way(settings, home, target);
                        events
                            .entry(answered)
                            .or_default()
                            .push(Event::Answer(target, call));
                        let report = Event::Report(home, index, target, wait);
                        events
                            .entry(answered + settings.report_ms)
                            .or_default()
                            .push(report);
                    }
                    Event::Answer(target, call) => {
                        let (home, index) = call.caller.expect("reads have a caller");
                        instances[home][index].in_flight[target] -= 1;
                        result.late += u64::from(now - call.sent_at > settings.target_ms);
                    }
                    Event::Report(home, index, target, wait) => {
                        instances[home][index].waits[target] = (wait as f64, now);
                    }
                }
            }
            for (target, database) in databases.iter_mut().enumerate() {
                while database.running < SLOTS
                    && let Some(call) = database.queue.pop_front()
                {
                    database.running += 1;
                    let finish = now
                        + random
                            .random_range(settings.service_ms / 2..=settings.service_ms * 3 / 2);
                    events
                        .entry(finish)
                        .or_default()
                        .push(Event::Finish(target, call));
                }
            }
        }
        if (now + 1) % INTERVAL_MS == 0 {
            for (home, (reads, left)) in interval.iter_mut().enumerate() {
                result.shares[home].push(*left as f64 / (*reads).max(1) as f64);
                (*reads, *left) = (0, 0);
            }
        }
    }
    result
}

impl Instance {
    fn choose(
        &mut self,
        now: u64,
        costs: &ReadCosts,
        settings: &ModelSettings,
        group: &GroupId,
        names: &[UpstreamId],
        home: usize,
    ) -> usize {
        let candidates: Vec<_> = names
            .iter()
            .enumerate()
            .map(|(index, upstream)| {
                let (wait, at) = self.waits[index];
                let halvings = (now - at) as f64 / WAIT_HALF_LIFE_MS;
                ReadCandidate {
                    upstream,
                    primary: settings.primary == Some(index),
                    distance: match index == home {
                        true => RouteDistance::SameDataCentre,
                        false => settings.distance,
                    },
                    full: false,
                    wait: Duration::from_secs_f64(wait * 0.5_f64.powf(halvings) / 1_000.0),
                    load: (self.in_flight[index], self.choices[index]),
                }
            })
            .collect();
        let chosen = self
            .shares
            .choose(Moment::from_millis(now), costs, group, &candidates);
        chosen.expect("there are candidates")
    }
}

impl Database {
    /// Returns the wait that the holder expects, as the pool of an engine computes it.
    fn wait_ms(&self, service_ms: u64) -> u64 {
        self.queue.len() as u64 * service_ms / SLOTS as u64
    }
}

fn way(settings: &ModelSettings, home: usize, target: usize) -> u64 {
    match home == target {
        true => 0,
        false => settings.way_ms,
    }
}

/// Returns a number of arrivals with a mean below 1 or a few, by counting exponential gaps.
fn poisson(random: &mut ChaCha8Rng, mean: f64) -> u32 {
    let (limit, mut product, mut count) = ((-mean).exp(), random.random::<f64>(), 0);
    while product > limit {
        product *= random.random::<f64>();
        count += 1;
    }
    count
}

impl ModelResult {
    /// Returns how often the share that leaves a data centre, averaged over half a second, turned back
    /// by at least `size`.
    pub(crate) fn swings(&self, data_centre: usize, size: f64) -> usize {
        let chunks = self.shares[data_centre].chunks(SWING_INTERVALS);
        let averages = chunks.map(|shares| shares.iter().sum::<f64>() / shares.len() as f64);
        let (mut extreme, mut rising, mut swings) = (0.0_f64, true, 0);
        for average in averages {
            let ahead = match rising {
                true => average - extreme,
                false => extreme - average,
            };
            if ahead >= 0.0 {
                extreme = average;
            } else if ahead <= -size {
                extreme = average;
                rising = !rising;
                swings += 1;
            }
        }
        swings
    }
}
