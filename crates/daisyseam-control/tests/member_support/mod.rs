//! Simulation of control members that lose data folders and move, in one thread and virtual time.

use daisyseam_control::{
    ControlCore,
    CoreSettings,
    RequestId, //
};
use daisyseam_coord::{
    Moment,
    log::{
        DurableLog,
        EntryKind,
        LogEntry,
        LogMessage,
        LogSettings,
        LogWrite,
        MemberTable,
        ReplicatedLog, //
    }, //
};
use daisyseam_model::{
    DataCentreId,
    InstanceId, //
};
use daisyseam_wire::{
    Handshake,
    SpareNotice,
    SpareReply,
    control_message::Body, //
};
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

/// Voters at the first start.
pub(crate) const VOTERS: usize = 3;
/// Interval between notices of an instance that no leader contacts, in milliseconds.
const NOTICE_INTERVAL_MS: u64 = 500;

/// A step of a simulation.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Step {
    AdvanceTime(u64),
    /// A new entry sends a handshake to a machine.
    Handshake(usize),
    Crash(usize),
    /// A machine crashes at its next sync: 0 is before it, 1 after it.
    CrashAtSync(usize, u8),
    CrashAll,
    Restart(usize),
    Disconnect(usize),
    DisconnectPair(usize, usize),
    Reconnect,
    /// A machine loses its data folder; the process restarts at the same address.
    LoseDisk(usize),
    /// A machine is replaced by another one with a different address.
    Replace(usize),
    TransferLeadership(usize),
}

impl Step {
    pub(crate) fn random(random: &mut ChaCha8Rng, machines: usize) -> Self {
        let one = random.random_range(0..machines);
        let other = random.random_range(0..machines);
        match random.random_range(0..100) {
            0..40 => Self::AdvanceTime(random.random_range(1..60)),
            40..48 => Self::AdvanceTime(random.random_range(200..3_000)),
            48..70 => Self::Handshake(one),
            70..73 => Self::Crash(one),
            73..76 => Self::CrashAtSync(one, random.random_range(0..2)),
            76..77 => Self::CrashAll,
            77..85 => Self::Restart(one),
            85..87 => Self::Disconnect(one),
            87..89 => Self::DisconnectPair(one, other),
            89..93 => Self::Reconnect,
            93..96 => Self::LoseDisk(one),
            96..98 => Self::Replace(one),
            _ => Self::TransferLeadership(one),
        }
    }
}

/// A machine with its disk.
struct Machine {
    name: InstanceId,
    address: SocketAddr,
    disk: DurableLog,
    core: Option<ControlCore>,
    crash: Option<u8>,
    down: bool,
}

struct Envelope {
    due: u64,
    from: usize,
    to: usize,
    body: EnvelopeBody,
}

enum EnvelopeBody {
    /// Sender, recipient and message.
    Log(InstanceId, InstanceId, Box<LogMessage>),
    Notice(SpareNotice),
    /// Recipient and reply to its notice.
    Known(InstanceId, SpareReply),
}

#[derive(Clone)]
enum RequestOrigin {
    Entry,
    Spare(usize, InstanceId),
}

/// The machines, the network between them and what control has promised.
pub(crate) struct MemberSimulation {
    pub(crate) now: u64,
    machines: Vec<Machine>,
    in_flight: Vec<Envelope>,
    disconnected: BTreeSet<usize>,
    disconnected_pairs: BTreeSet<(usize, usize)>,
    random: ChaCha8Rng,
    requesters: BTreeMap<(usize, RequestId), RequestOrigin>,
    last_request: u64,
    last_id: u32,
    /// Whether a voter's data folder was lost and has not been replaced yet.
    disk_lost: bool,
    committed: BTreeMap<u64, u64>,
    incarnations: BTreeSet<u64>,
    acknowledged: u64,
    times: LogSettings,
    /// Number of voters that control aims for.
    target_voters: usize,
    /// One-way delay in milliseconds without loss or jitter; `None` for random faults.
    pub(crate) fixed_delay_ms: Option<u64>,
}

impl MemberSimulation {
    pub(crate) fn new(machines: usize, times: LogSettings, seed: u64) -> Self {
        Self::tolerating(0, machines, times, seed)
    }

    /// Starts machines that tolerate the loss of a number of data folders at once.
    pub(crate) fn tolerating(
        losses: usize,
        machines: usize,
        times: LogSettings,
        seed: u64,
    ) -> Self {
        let mut sim = Self {
            now: 0,
            machines: Vec::new(),
            in_flight: Vec::new(),
            disconnected: BTreeSet::new(),
            disconnected_pairs: BTreeSet::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
            requesters: BTreeMap::new(),
            last_request: 0,
            last_id: 0,
            disk_lost: false,
            committed: BTreeMap::new(),
            incarnations: BTreeSet::new(),
            acknowledged: 0,
            times,
            target_voters: VOTERS.max(2 * losses + 1),
            fixed_delay_ms: None,
        };
        for number in 0..machines {
            let address = sim.next_address();
            let name = sim.next_name();
            sim.machines.push(Machine {
                name,
                address,
                disk: DurableLog::default(),
                core: None,
                crash: None,
                down: number >= VOTERS,
            });
        }
        let voters = sim.machines[..VOTERS].iter();
        let voters = voters.map(|machine| (machine.name.clone(), machine.address));
        let table = MemberTable::from_voters(voters.collect::<Vec<_>>());
        for number in 0..machines {
            if number < VOTERS {
                sim.machines[number].disk = DurableLog::initial(table.clone());
            }
            sim.start(number);
        }
        sim
    }

    pub(crate) fn run(&mut self, step: Step) {
        match step {
            Step::AdvanceTime(millis) => self.advance(millis),
            Step::Handshake(number) => self.handshake(number),
            Step::Crash(number) => self.machines[number].core = None,
            Step::CrashAtSync(number, phase) => self.machines[number].crash = Some(phase),
            Step::CrashAll => {
                for number in 0..self.machines.len() {
                    self.machines[number].core = None;
                }
                for number in 0..self.machines.len() {
                    self.start(number);
                }
            }
            Step::Restart(number) => self.start(number),
            Step::Disconnect(number) => drop(self.disconnected.insert(number)),
            Step::DisconnectPair(one, other) => {
                self.disconnected_pairs.insert((one, other));
                self.disconnected_pairs.insert((other, one));
            }
            Step::Reconnect => {
                self.disconnected.clear();
                self.disconnected_pairs.clear();
            }
            Step::LoseDisk(number) => self.lose_disk(number, false),
            Step::Replace(number) => self.lose_disk(number, true),
            Step::TransferLeadership(number) => {
                let now = self.moment();
                if let Some(core) = &mut self.machines[number].core {
                    core.transfer_leadership(now);
                }
                self.flush(number);
            }
        }
    }

    /// Reconnects and restarts all machines, and checks that control recovers all its voters.
    pub(crate) fn heal(&mut self) {
        self.run(Step::Reconnect);
        for number in 0..self.machines.len() {
            self.machines[number].crash = None;
            self.start(number);
        }
        for _ in 0..200 {
            self.advance(100);
            if self.has_all_voters() && self.is_spread_over_regions() {
                break;
            }
        }
        assert!(self.is_spread_over_regions(), "two voters share a region");
        assert!(
            self.has_all_voters(),
            "voters are missing: {}",
            self.describe()
        );
        let before = self.incarnations.len();
        for _ in 0..20 {
            for number in 0..self.machines.len() {
                self.handshake(number);
            }
            self.advance(200);
        }
        assert!(
            self.incarnations.len() > before,
            "control decides nothing after the faults have ended"
        );
    }

    fn describe(&self) -> String {
        let describe = |machine: &Machine| {
            let Some(core) = &machine.core else {
                return format!("{}: down", machine.name);
            };
            let log = core.log();
            format!(
                "{}: term {}, last {}, commit {}, {:?}, {:?}",
                machine.name,
                log.term().0,
                log.last_index().0,
                log.commit().0,
                log.leader(),
                log.members(),
            )
        };
        let machines: Vec<String> = self.machines.iter().map(describe).collect();
        machines.join("\n")
    }

    pub(crate) fn leader(&self) -> Option<usize> {
        let now = self.moment();
        let leads = |machine: &Machine| {
            let core = machine.core.as_ref();
            core.is_some_and(|core| core.log().has_lease(now))
        };
        self.machines.iter().position(leads)
    }

    pub(crate) fn name(&self, number: usize) -> String {
        self.machines[number].name.to_string()
    }

    /// Returns the number of handshakes that were answered.
    pub(crate) fn decision_count(&self) -> usize {
        self.incarnations.len()
    }

    /// Returns the committed voters according to the leader.
    pub(crate) fn voters(&self) -> Vec<String> {
        let leader = self.leader().and_then(|leader| {
            let log = self.machines[leader].core.as_ref()?.log();
            (log.members_index() <= log.commit()).then_some(log)
        });
        let voters = leader.map(|log| log.members().voters.keys().map(ToString::to_string));
        voters.into_iter().flatten().collect()
    }

    /// Returns whether there are as many voters as intended and all still have their data folders.
    pub(crate) fn has_all_voters(&self) -> bool {
        let voters = self.voters();
        let there = |voter: &String| self.machines.iter().any(|one| one.name.as_str() == voter);
        voters.len() == self.target_voters && voters.iter().all(there)
    }

    /// Returns whether no region has more voters than an even distribution requires.
    pub(crate) fn is_spread_over_regions(&self) -> bool {
        let voters = self.voters();
        let numbers = (0..self.machines.len()).filter(|number| {
            let name = self.machines[*number].name.to_string();
            voters.contains(&name)
        });
        let mut counts = BTreeMap::<DataCentreId, usize>::new();
        for number in numbers {
            *counts.entry(data_centre(number)).or_default() += 1;
        }
        counts.values().sum::<usize>() == voters.len()
            && counts
                .values()
                .all(|count| *count <= voters.len().div_ceil(VOTERS))
    }

    pub(crate) fn advance(&mut self, millis: u64) {
        for _ in 0..millis {
            self.now += 1;
            self.deliver();
            for number in 0..self.machines.len() {
                let now = self.moment();
                if let Some(core) = &mut self.machines[number].core
                    && now >= core.next_tick()
                {
                    core.tick(now);
                }
                self.flush(number);
                if (self.now + number as u64 * 37).is_multiple_of(NOTICE_INTERVAL_MS) {
                    self.notice(number);
                }
            }
            self.check_invariants();
        }
    }

    /// Stops all machines at once, removes some data folders, and starts all again.
    pub(crate) fn lose_power(&mut self, without_folders: &[usize]) {
        for machine in &mut self.machines {
            machine.core = None;
        }
        self.in_flight.clear();
        for number in without_folders {
            self.machines[*number].name = self.next_name();
            self.machines[*number].disk = DurableLog::default();
        }
        for number in 0..self.machines.len() {
            self.start(number);
        }
    }

    /// Returns the machines that are voters according to the leader.
    pub(crate) fn voting_machines(&self) -> Vec<usize> {
        let voters = self.voters();
        let votes = |number: &usize| voters.contains(&self.name(*number));
        (0..self.machines.len()).filter(votes).collect()
    }

    /// Loses a data folder, unless a voter that lost its own has not been replaced yet.
    fn lose_disk(&mut self, number: usize, moves: bool) {
        if self.disk_lost && self.has_all_voters() {
            self.disk_lost = false;
        }
        let name = self.machines[number].name.clone();
        let counts = |machine: &Machine| {
            let members = match &machine.core {
                Some(core) => core.log().members().clone(),
                None => MemberTable::default(),
            };
            members.address(&name).is_some() || machine.core.is_none()
        };
        let voter = self.machines.iter().any(counts);
        if voter && self.disk_lost {
            return;
        }
        self.disk_lost |= voter;
        self.machines[number].name = self.next_name();
        if moves {
            self.machines[number].address = self.next_address();
        }
        let machine = &mut self.machines[number];
        machine.disk = DurableLog::default();
        machine.core = None;
        self.start(number);
    }

    fn start(&mut self, number: usize) {
        let now = self.moment();
        let random = ChaCha8Rng::seed_from_u64(self.random.random());
        let machine = &mut self.machines[number];
        machine.down = false;
        let name = machine.name.clone();
        let disk = machine.disk.clone();
        let log = ReplicatedLog::recover(name.clone(), self.times.clone(), disk, now, random);
        let settings = CoreSettings {
            snapshot_entries: 24,
            repair_delay: Duration::from_millis(1_500),
            min_voters: self.target_voters,
            data_centre: Some(data_centre(number)),
            ..CoreSettings::new(name, crate::support::cluster())
        };
        machine.core = Some(ControlCore::new(settings, log));
        self.flush(number);
    }

    fn handshake(&mut self, number: usize) {
        self.last_id += 1;
        let handshake = Handshake {
            instance: format!("entry-{}", self.last_id),
            data_centre: "khomas-1".to_owned(),
            peer_address: "127.0.0.1:7400".to_owned(),
            ..Handshake::default()
        };
        self.request(number, RequestOrigin::Entry, Body::Handshake(handshake));
    }

    fn request(&mut self, number: usize, requester: RequestOrigin, body: Body) {
        let now = self.moment();
        self.last_request += 1;
        let request = RequestId(self.last_request);
        self.requesters.insert((number, request), requester);
        if let Some(core) = &mut self.machines[number].core {
            core.request(now, self.now, request, body);
        }
        self.flush(number);
    }

    fn notice(&mut self, number: usize) {
        let machine = &self.machines[number];
        let Some(core) = &machine.core else {
            return;
        };
        if core.is_member() && core.log().leader().is_some() {
            return;
        }
        let notice = SpareNotice {
            instance: machine.name.to_string(),
            address: machine.address.to_string(),
            member: core.is_member(),
            data_centre: data_centre(number).to_string(),
        };
        for other in 0..self.machines.len() {
            self.send(number, other, EnvelopeBody::Notice(notice.clone()));
        }
    }

    fn flush(&mut self, number: usize) {
        let now = self.moment();
        loop {
            let Some(core) = &mut self.machines[number].core else {
                return;
            };
            let output = core.take_log_output();
            if output.is_empty() {
                break;
            }
            self.send_all(number, output.before_sync);
            let machine = &mut self.machines[number];
            let phase = match output.writes.is_empty() {
                true => None,
                false => machine.crash.take(),
            };
            if phase == Some(0) {
                machine.core = None;
                return;
            }
            write(&mut machine.disk, output.writes);
            if phase == Some(1) {
                machine.core = None;
                return;
            }
            for entry in &output.apply {
                self.record_committed(entry);
            }
            if let Some(core) = &mut self.machines[number].core {
                core.synced(now);
                core.apply(now, output.restore, output.apply);
            }
            self.send_all(number, output.after_sync);
        }
        let machine = &mut self.machines[number];
        let Some(core) = &mut machine.core else {
            return;
        };
        if let Some(snapshot) = core.take_snapshot() {
            let disk = &mut machine.disk;
            disk.entries.retain(|entry| entry.index > snapshot.index);
            disk.snapshot = snapshot;
        }
        let commit = core.log().commit().0;
        for (request, body) in core.take_output().replies {
            self.handle_reply(number, commit, request, body);
        }
    }

    fn handle_reply(&mut self, number: usize, commit: u64, request: RequestId, body: Body) {
        match (self.requesters.remove(&(number, request)), body) {
            (Some(RequestOrigin::Entry), Body::Welcome(welcome)) => {
                self.acknowledged = self.acknowledged.max(commit);
                let new = self.incarnations.insert(welcome.incarnation);
                assert!(
                    new,
                    "incarnation {} was assigned twice",
                    welcome.incarnation
                );
            }
            (Some(RequestOrigin::Spare(to, name)), Body::SpareKnown(reply)) => {
                self.send(number, to, EnvelopeBody::Known(name, reply));
            }
            _ => {}
        }
    }

    fn send_all(&mut self, from: usize, messages: Vec<(InstanceId, LogMessage)>) {
        let members = match &self.machines[from].core {
            Some(core) => core.log().members().clone(),
            None => return,
        };
        let name = self.machines[from].name.clone();
        for (to, message) in messages {
            // As links do: the address comes from the member table, the name from the message.
            let address = members.address(&to);
            let known = |machine: &Machine| match address {
                Some(address) => machine.address == address,
                None => machine.name == to,
            };
            if let Some(number) = self.machines.iter().position(known) {
                let body = EnvelopeBody::Log(name.clone(), to, Box::new(message));
                self.send(from, number, body);
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, body: EnvelopeBody) {
        let delay = match (self.fixed_delay_ms, self.random.random_range(0..100)) {
            (Some(delay), _) => delay,
            (None, 0..2) => return,
            (None, 2..6) => self.random.random_range(20..400),
            (None, _) => self.random.random_range(1..12),
        };
        let due = self.now + delay;
        self.in_flight.push(Envelope {
            due,
            from,
            to,
            body,
        });
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, later): (Vec<Envelope>, Vec<Envelope>) = std::mem::take(&mut self.in_flight)
            .into_iter()
            .partition(|envelope| envelope.due <= now);
        self.in_flight = later;
        for envelope in due {
            let pair = (envelope.from, envelope.to);
            let disconnected = self.disconnected.contains(&envelope.from)
                || self.disconnected.contains(&envelope.to);
            if envelope.from != envelope.to
                && !disconnected
                && !self.disconnected_pairs.contains(&pair)
            {
                self.handle_message(envelope.from, envelope.to, envelope.body);
            }
        }
    }

    fn handle_message(&mut self, from: usize, to: usize, body: EnvelopeBody) {
        let now = self.moment();
        let random = ChaCha8Rng::seed_from_u64(self.random.random());
        let machine = &mut self.machines[to];
        let Some(core) = &mut machine.core else {
            return;
        };
        match body {
            EnvelopeBody::Log(sender, name, message) => {
                if name == machine.name {
                    if matches!(*message, LogMessage::AppendResponse(_)) {
                        core.set_member_data_centre(sender.clone(), data_centre(from));
                    }
                    core.receive(now, &sender, *message);
                }
            }
            EnvelopeBody::Notice(notice) => {
                let name = notice.instance.parse().expect("a sound name");
                return self.request(to, RequestOrigin::Spare(from, name), Body::Spare(notice));
            }
            EnvelopeBody::Known(name, reply) => {
                if reply.removed && name == machine.name {
                    let fresh = format!("m-{}-{}", self.now, self.last_id);
                    self.last_id += 1;
                    machine.name = fresh.parse().expect("a sound name");
                    machine.disk = DurableLog::default();
                    *core = core.recreate_as(machine.name.clone(), now, random);
                }
            }
        }
        self.flush(to);
    }

    fn record_committed(&mut self, entry: &LogEntry) {
        let kind = match entry.kind {
            EntryKind::Blank => 0,
            EntryKind::Command => 1,
            EntryKind::Members => 2,
        };
        let start = entry.term.0 << 3 | kind;
        let digest = entry.payload.iter().fold(start, |digest, byte| {
            digest.wrapping_mul(31).wrapping_add(u64::from(*byte))
        });
        let known = *self.committed.entry(entry.index.0).or_insert(digest);
        assert_eq!(
            known, digest,
            "two different entries were committed at index {}",
            entry.index.0
        );
    }

    fn check_invariants(&self) {
        let now = self.moment();
        let mut holders = 0;
        for machine in &self.machines {
            let Some(core) = &machine.core else {
                continue;
            };
            holders += usize::from(core.log().has_lease(now));
            if let Ok(point) = core.log().read_index(now) {
                assert!(
                    point.0 >= self.acknowledged,
                    "a read index is before an acknowledged decision"
                );
            }
        }
        assert!(holders <= 1, "two members hold the leader lease");
    }

    fn moment(&self) -> Moment {
        Moment::from_millis(self.now)
    }

    fn next_name(&mut self) -> InstanceId {
        self.last_id += 1;
        format!("m-{}", self.last_id).parse().expect("a sound name")
    }

    fn next_address(&mut self) -> SocketAddr {
        self.last_id += 1;
        let port = u16::try_from(1_000 + self.last_id % 60_000).expect("it fits");
        SocketAddr::from(([127, 0, 0, 1], port))
    }
}

fn write(disk: &mut DurableLog, writes: Vec<LogWrite>) {
    for write in writes {
        match write {
            LogWrite::Vote { term, voted_for } => {
                let kept = term > disk.term || disk.voted_for.is_none();
                assert!(
                    kept || disk.voted_for == voted_for,
                    "two votes were given in one term"
                );
                (disk.term, disk.voted_for) = (term, voted_for);
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

/// Returns the data centre of a machine; machines are distributed over three in turn.
fn data_centre(number: usize) -> DataCentreId {
    let name = format!("khomas-{}", number % VOTERS);
    name.parse().expect("a sound name")
}
