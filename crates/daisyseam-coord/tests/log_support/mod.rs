//! Simulated cluster of log members with a network and disks, in one thread and virtual time.

use bytes::Bytes;
use daisyseam_coord::{
    Moment,
    log::{
        DurableLog,
        EntryKind,
        LogEntry,
        LogIndex,
        LogMessage,
        LogSettings,
        LogTerm,
        LogWrite,
        MemberChange,
        MemberTable,
        ReplicatedLog, //
    }, //
};
use daisyseam_model::InstanceId;
use proptest::prelude::*;
use rand::Rng;
use rand_chacha::{
    ChaCha8Rng,
    rand_core::SeedableRng, //
};
use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    net::SocketAddr,
    time::Duration, //
};

/// An event in the cluster; node indices are taken modulo the number of nodes.
#[derive(Clone, Copy, Debug)]
pub(crate) enum LogEvent {
    /// Time passes, and messages arrive, possibly late, twice or never.
    Pass(u64),
    /// Every member that considers itself leader proposes a command.
    Propose,
    Crash(usize),
    /// Crashes at the next write: before the sync for 0, after it for 1.
    CrashAtSync(usize, u8),
    Restart(usize),
    /// Restarts every member whose bit is set, at the same moment.
    RestartMany(u8),
    Isolate(usize),
    /// Cuts the connection between two members, but not to the others.
    CutPair(usize, usize),
    Reconnect,
    Compact(usize),
    Change(usize, u8),
    TransferLeadership,
}

pub(crate) fn log_events() -> impl Strategy<Value = LogEvent> {
    let node = 0_usize..6;
    prop_oneof![
        30 => (1_u64..40).prop_map(LogEvent::Pass),
        6 => (40_u64..700).prop_map(LogEvent::Pass),
        20 => Just(LogEvent::Propose),
        1 => node.clone().prop_map(LogEvent::Crash),
        3 => (node.clone(), 0_u8..2).prop_map(|(node, phase)| LogEvent::CrashAtSync(node, phase)),
        5 => node.clone().prop_map(LogEvent::Restart),
        3 => any::<u8>().prop_map(LogEvent::RestartMany),
        2 => node.clone().prop_map(LogEvent::Isolate),
        4 => (node.clone(), node.clone()).prop_map(|(node, other)| LogEvent::CutPair(node, other)),
        4 => Just(LogEvent::Reconnect),
        2 => node.clone().prop_map(LogEvent::Compact),
        3 => (node, 0_u8..3).prop_map(|(node, kind)| LogEvent::Change(node, kind)),
        1 => Just(LogEvent::TransferLeadership),
    ]
}

struct Node {
    name: InstanceId,
    rate: u64,
    disk: DurableLog,
    log: Option<ReplicatedLog>,
    crash: Option<u8>,
    /// Index and digest of each applied command.
    state: Vec<(u64, u64)>,
}

#[derive(Clone)]
struct Envelope {
    from: usize,
    to: usize,
    due: u64,
    message: LogMessage,
}

/// The cluster and the entries that were committed and acknowledged in it.
pub(crate) struct LogCluster {
    nodes: Vec<Node>,
    wire: Vec<Envelope>,
    /// Whether messages are delayed, duplicated and lost.
    faulty: bool,
    random: ChaCha8Rng,
    isolated: BTreeSet<usize>,
    cut_pairs: BTreeSet<(usize, usize)>,
    /// True time in microseconds.
    now: u64,
    leaders: BTreeMap<LogTerm, usize>,
    committed: BTreeMap<u64, u64>,
    acknowledged: u64,
    proposed: u64,
    seed: u64,
}

impl LogCluster {
    /// Creates voters and one spare; `drift` is the rate of each clock in parts per thousand.
    pub(crate) fn new(voters: usize, drift: &[u64], seed: u64) -> Self {
        let name = |number: usize| -> InstanceId {
            format!("member-{number}").parse().expect("a sound name")
        };
        let members = (0..voters).map(|number| (name(number), address(number)));
        let table = MemberTable::from_voters(members);
        let node = |number: usize| Node {
            name: name(number),
            rate: drift[number],
            disk: DurableLog::initial(if number < voters {
                table.clone()
            } else {
                MemberTable::default()
            }),
            log: None,
            crash: None,
            state: Vec::new(),
        };
        let mut cluster = Self {
            nodes: (0..=voters).map(node).collect(),
            wire: Vec::new(),
            faulty: false,
            random: ChaCha8Rng::seed_from_u64(seed),
            isolated: BTreeSet::new(),
            cut_pairs: BTreeSet::new(),
            now: 0,
            leaders: BTreeMap::new(),
            committed: BTreeMap::new(),
            acknowledged: 0,
            proposed: 0,
            seed: 0,
        };
        for number in 0..cluster.nodes.len() {
            cluster.restart(number);
        }
        cluster
    }

    pub(crate) fn leads(&self, node: usize) -> bool {
        self.nodes[node]
            .log
            .as_ref()
            .is_some_and(ReplicatedLog::is_leader)
    }

    pub(crate) fn term(&self, node: usize) -> LogTerm {
        self.nodes[node].log.as_ref().expect("it runs").term()
    }

    pub(crate) fn applied(&self, node: usize) -> &[(u64, u64)] {
        &self.nodes[node].state
    }

    /// Lets time pass on a reliable network until there is a leader.
    pub(crate) fn elect(&mut self) -> usize {
        self.pass(3_000);
        let leader = (0..self.nodes.len()).find(|node| self.leads(*node));
        leader.expect("a leader is elected within three seconds")
    }

    /// Lets time pass on a reliable network.
    pub(crate) fn pass(&mut self, millis: u64) {
        self.faulty = false;
        self.run(LogEvent::Pass(millis));
    }

    /// Delays, duplicates and loses messages from now on.
    pub(crate) fn enable_faults(&mut self) {
        self.faulty = true;
    }

    pub(crate) fn run(&mut self, event: LogEvent) {
        let count = self.nodes.len();
        match event {
            LogEvent::Pass(millis) => self.advance(millis),
            LogEvent::Propose => {
                for node in 0..count {
                    self.propose(node);
                }
            }
            LogEvent::Crash(node) => self.crash(node % count),
            LogEvent::CrashAtSync(node, phase) => self.nodes[node % count].crash = Some(phase),
            LogEvent::Restart(node) => self.restart(node % count),
            LogEvent::RestartMany(set) => {
                for node in (0..count).filter(|node| set >> node & 1 == 1) {
                    self.restart(node);
                }
            }
            LogEvent::Isolate(node) => {
                self.isolated.insert(node % count);
            }
            LogEvent::CutPair(node, other) => {
                self.cut_pairs.insert((node % count, other % count));
                self.cut_pairs.insert((other % count, node % count));
            }
            LogEvent::Reconnect => {
                self.isolated.clear();
                self.cut_pairs.clear();
            }
            LogEvent::Compact(node) => self.compact(node % count),
            LogEvent::Change(node, kind) => self.change(node % count, kind),
            LogEvent::TransferLeadership => {
                for node in 0..count {
                    self.with(node, |log, now| {
                        log.transfer_leadership(now);
                    });
                }
            }
        }
        self.check();
    }

    /// Restarts and reconnects all members, and checks that commits succeed with nothing lost.
    pub(crate) fn heal(&mut self) {
        self.run(LogEvent::Reconnect);
        for node in 0..self.nodes.len() {
            self.nodes[node].crash = None;
            self.restart(node);
        }
        let leader = self.elect();
        let before = self.committed.len();
        self.propose(leader);
        self.pass(500);
        assert!(
            self.committed.len() > before,
            "a repaired cluster must commit"
        );
        let last = self.committed.keys().next_back().copied().unwrap_or(0);
        assert!(last >= self.acknowledged, "an acknowledged entry is lost");
    }

    fn local_time(&self, node: usize) -> Moment {
        let micros = self.now * self.nodes[node].rate / 1_000;
        Moment::after_origin(Duration::from_micros(micros))
    }

    fn advance(&mut self, millis: u64) {
        for _ in 0..millis {
            self.now += 1_000;
            self.deliver();
            for node in 0..self.nodes.len() {
                self.with(node, |log, now| {
                    if now >= log.next_tick() {
                        log.tick(now);
                    }
                });
            }
            self.check_leases();
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.wire)
            .into_iter()
            .partition(|envelope| envelope.due <= now);
        self.wire = later;
        let due: Vec<Envelope> = due;
        for envelope in due {
            let cut = self.isolated.contains(&envelope.from)
                || self.isolated.contains(&envelope.to)
                || self.cut_pairs.contains(&(envelope.from, envelope.to));
            if !cut {
                let from = self.nodes[envelope.from].name.clone();
                self.with(envelope.to, |log, now| {
                    log.receive(now, &from, envelope.message)
                });
                self.check();
            }
        }
    }

    fn propose(&mut self, node: usize) {
        self.proposed += 1;
        let command = Bytes::copy_from_slice(&self.proposed.to_le_bytes());
        self.with(node, |log, now| {
            // A member that is not the leader refuses.
            let _ = log.propose(now, command);
        });
    }

    fn change(&mut self, other: usize, kind: u8) {
        let name = self.nodes[other].name.clone();
        let change = match kind {
            0 => MemberChange::AddLearner(name, address(other)),
            1 => MemberChange::Promote(name),
            _ => MemberChange::Remove(name),
        };
        for node in 0..self.nodes.len() {
            self.with(node, |log, now| {
                // Fewer than three voters would make the runs less varied.
                let few = log.members().voters.len() <= 3 && kind == 2;
                if !few {
                    // The leader refuses a change that is not applicable.
                    let _ = log.propose_change(now, &change);
                }
            });
        }
    }

    fn compact(&mut self, node: usize) {
        let bytes = encode(&self.nodes[node].state);
        let node = &mut self.nodes[node];
        if let Some(log) = &mut node.log {
            let snapshot = log.compact(bytes);
            node.disk
                .entries
                .retain(|entry| entry.index > snapshot.index);
            node.disk.snapshot = snapshot;
        }
    }

    fn crash(&mut self, node: usize) {
        self.nodes[node].log = None;
    }

    fn restart(&mut self, node: usize) {
        self.crash(node);
        self.seed += 1;
        let now = self.local_time(node);
        let disk = self.nodes[node].disk.clone();
        let random = ChaCha8Rng::seed_from_u64(self.seed);
        let settings = LogSettings {
            max_chunk_bytes: 64,
            max_in_flight: 16,
            ..LogSettings::default()
        };
        let name = self.nodes[node].name.clone();
        self.nodes[node].state.clear();
        let log = ReplicatedLog::recover(name, settings, disk, now, random);
        self.nodes[node].log = Some(log);
        self.flush(node);
    }

    fn with(&mut self, node: usize, act: impl FnOnce(&mut ReplicatedLog, Moment)) {
        let now = self.local_time(node);
        if let Some(log) = &mut self.nodes[node].log {
            act(log, now);
        }
        self.flush(node);
    }

    fn flush(&mut self, node: usize) {
        let now = self.local_time(node);
        loop {
            let Some(log) = &mut self.nodes[node].log else {
                return;
            };
            let output = log.take_output();
            if output.is_empty() {
                return;
            }
            self.send(node, output.before_sync);
            let phase = self.nodes[node].crash.filter(|_| !output.writes.is_empty());
            if phase.is_some() {
                self.nodes[node].crash = None;
            }
            if phase == Some(0) {
                return self.crash(node);
            }
            self.write(node, output.writes);
            if phase == Some(1) {
                return self.crash(node);
            }
            if let Some(log) = &mut self.nodes[node].log {
                log.synced(now);
            }
            self.send(node, output.after_sync);
            if let Some(snapshot) = output.restore {
                self.nodes[node].state = decode(&snapshot.bytes);
            }
            for entry in output.apply {
                self.apply(node, &entry);
            }
        }
    }

    fn send(&mut self, from: usize, messages: Vec<(InstanceId, LogMessage)>) {
        for (to, message) in messages {
            let to = self.nodes.iter().position(|node| node.name == to);
            let to = to.expect("a member");
            for _ in 0..self.copies() {
                let late = self.faulty && self.random.random_ratio(1, 20);
                let delay = self
                    .random
                    .random_range(0..if late { 300_000 } else { 5_000 });
                self.wire.push(Envelope {
                    from,
                    to,
                    due: self.now + delay,
                    message: message.clone(),
                });
            }
        }
    }

    fn copies(&mut self) -> usize {
        if !self.faulty {
            return 1;
        }
        match self.random.random_range(0..40) {
            0 | 1 => 0,
            2 => 2,
            _ => 1,
        }
    }

    fn write(&mut self, node: usize, writes: Vec<LogWrite>) {
        let disk = &mut self.nodes[node].disk;
        for write in writes {
            match write {
                LogWrite::Vote { term, voted_for } => {
                    assert!(term >= disk.term, "the durable term decreases");
                    assert!(
                        term > disk.term || disk.voted_for.is_none() || disk.voted_for == voted_for,
                        "a second vote is given in a term"
                    );
                    disk.term = term;
                    disk.voted_for = voted_for;
                }
                LogWrite::Entries(entries) => {
                    let first = entries[0].index;
                    disk.entries.retain(|entry| entry.index < first);
                    disk.entries.extend(entries);
                }
                LogWrite::Snapshot(snapshot) => {
                    disk.entries.clear();
                    disk.snapshot = snapshot;
                }
            }
        }
    }

    fn apply(&mut self, node: usize, entry: &LogEntry) {
        let index = entry.index.0;
        let digest = entry
            .payload
            .iter()
            .fold(entry.term.0 << 3, |digest, byte| {
                digest.wrapping_mul(31).wrapping_add(u64::from(*byte))
            });
        let known = *self.committed.entry(index).or_insert(digest);
        assert_eq!(
            known, digest,
            "different entries are committed at index {index}"
        );
        if entry.kind == EntryKind::Command {
            let state = &mut self.nodes[node].state;
            let last = state.last().map_or(0, |(index, _)| *index);
            assert!(index > last, "an entry is applied twice or out of order");
            state.push((index, digest));
        }
        if self.leads(node) {
            self.acknowledged = self.acknowledged.max(index);
        }
    }

    fn check(&mut self) {
        for node in 0..self.nodes.len() {
            if self.leads(node) {
                let term = self.term(node);
                let leader = *self.leaders.entry(term).or_insert(node);
                assert_eq!(leader, node, "term {} has two leaders", term.0);
            }
        }
        self.check_leases();
    }

    fn check_leases(&self) {
        let mut holders = 0;
        for node in 0..self.nodes.len() {
            let Some(log) = &self.nodes[node].log else {
                continue;
            };
            let now = self.local_time(node);
            holders += usize::from(log.has_lease(now));
            if let Ok(read_index) = log.read_index(now) {
                let newest = LogIndex(self.acknowledged);
                assert!(read_index >= newest, "a read misses an acknowledged entry");
            }
        }
        assert!(holders <= 1, "two leaders hold a lease at the same time");
    }
}

fn address(number: usize) -> SocketAddr {
    SocketAddr::from((
        [127, 0, 0, 1],
        7_000 + u16::try_from(number).expect("it fits"),
    ))
}

fn encode(state: &[(u64, u64)]) -> Bytes {
    let pairs = state.iter().flat_map(|(index, digest)| [*index, *digest]);
    pairs.flat_map(u64::to_le_bytes).collect()
}

fn decode(bytes: &[u8]) -> Vec<(u64, u64)> {
    let (words, _) = bytes.as_chunks::<8>();
    let words: Vec<u64> = words.iter().map(|word| u64::from_le_bytes(*word)).collect();
    words
        .chunks_exact(2)
        .map(|pair| (pair[0], pair[1]))
        .collect()
}
