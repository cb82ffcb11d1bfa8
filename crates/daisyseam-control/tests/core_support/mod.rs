//! Simulates control members, entries, databases and operators in one thread with virtual time.

pub(crate) mod clients;
pub(crate) mod direct;
pub(crate) mod told;
pub(crate) mod usage;

use self::{
    direct::DirectGroup,
    usage::UsageSimulation, //
};
use daisyseam_control::{
    AdminCall,
    ControlCore,
    ControlTuning,
    CoreSettings,
    DatabaseCall,
    RequestId,
    UsageCall, //
};
use daisyseam_coord::{
    Moment,
    log::{
        DurableLog,
        LogMessage,
        LogWrite,
        MemberTable,
        ReplicatedLog, //
    },
    promotion::CallOutcome,
    usage::ReportOutcome, //
};
use daisyseam_model::{
    FleetView,
    GroupId,
    GroupView,
    InstanceId,
    LogPosition,
    Position,
    PrimaryState,
    Term,
    announce::{
        UpstreamRole,
        UpstreamState, //
    }, //
};
use daisyseam_wire::{
    GroupReport,
    Handshake,
    Heartbeat,
    ShowRequest,
    SpareNotice,
    SubmitReply,
    SubmitRequest,
    UpstreamReport,
    control_message::Body, //
};
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

/// Time between two heartbeats of an entry, in milliseconds.
const HEARTBEAT_INTERVAL: u64 = 200;
/// Time without an answer after which an entry or operator tries another member, in milliseconds.
const RETRY_TIMEOUT: u64 = 500;

pub(crate) const GROUP: &str = "bookings-db";

pub(crate) fn document(number: u64) -> String {
    let text = crate::support::DOCUMENT.replace("number = 1", &format!("number = {number}"));
    let second = "[[data_centre]]\nname = \"khomas-2\"\nregion = \"khomas\"\n\n[[group]]";
    text.replacen("[[group]]", second, 1)
}

/// A control member with its disk.
struct Member {
    name: InstanceId,
    core: Option<ControlCore>,
    disk: DurableLog,
    spare: bool,
}

/// An entry that renews its lease by heartbeats.
pub(crate) struct Entry {
    name: String,
    pub(crate) view: FleetView,
    text: String,
    pub(crate) lease_until: u64,
    pub(crate) incarnation: u64,
    pub(crate) disconnected: bool,
    /// Side of a cut that it is on; control is on side 0.
    pub(crate) side: u8,
    pub(crate) leaving: bool,
    asks: usize,
    sequence: u64,
    asked_at: u64,
    awaits_reply: bool,
    joined: bool,
    process: u64,
    /// Highest ends of the databases' logs that it has seen.
    seen_ends: BTreeMap<String, LogPosition>,
}

/// A database that consists of its state only.
pub(crate) struct Database {
    pub(crate) name: String,
    /// Whether it acknowledges commits by itself and announces itself to control.
    pub(crate) direct: bool,
    pub(crate) data_centre: &'static str,
    pub(crate) state: UpstreamState,
    pub(crate) disconnected: bool,
    pub(crate) leaving: bool,
}

/// An operator with one submission.
struct Operator {
    request: SubmitRequest,
    asks: usize,
    asked_at: u64,
    answer: Option<SubmitReply>,
    lost_replies: usize,
}

#[derive(Clone, Copy, Debug)]
enum RequestOrigin {
    /// Index of the entry, its process, and when it sent the request.
    Entry(usize, u64, u64),
    Operator(usize),
    Reader,
    Spare,
}

pub(crate) struct Simulation {
    pub(crate) now: u64,
    members: Vec<Member>,
    pub(crate) disconnected_members: BTreeSet<usize>,
    in_flight: Vec<(u64, usize, usize, LogMessage)>,
    calls: Vec<(u64, usize, DatabaseCall)>,
    replies: Vec<(u64, RequestOrigin, usize, Body)>,
    report_answers: Vec<(u64, usize, UsageCall, ReportOutcome)>,
    requesters: BTreeMap<(usize, RequestId), RequestOrigin>,
    last_request: u64,
    pub(crate) entries: Vec<Entry>,
    pub(crate) databases: Vec<Database>,
    operators: Vec<Operator>,
    pub(crate) read: Option<Body>,
    /// Whether replicas receive no new writes.
    pub(crate) replication_stalled: bool,
    /// Number of promotion calls to databases.
    pub(crate) promotions: usize,
    /// Databases that acknowledge commits by themselves, which replace the others.
    pub(crate) direct: Option<DirectGroup>,
    /// Whether entries write to them continuously.
    pub(crate) writes: bool,
    /// Whether fencing calls to databases are lost.
    pub(crate) drops_fences: bool,
    /// One-way network delay, in milliseconds.
    pub(crate) one_way_ms: u64,
    pub(crate) tuning: ControlTuning,
    /// Usage reports, if they are enabled.
    pub(crate) usage: Option<UsageSimulation>,
    seed: u64,
}

impl Simulation {
    pub(crate) fn new(voters: usize, spares: usize, entries: usize) -> Self {
        let name = |number: usize| -> InstanceId {
            format!("control-{number}").parse().expect("a sound name")
        };
        let table =
            MemberTable::from_voters((0..voters).map(|number| (name(number), address(number))));
        let member = |number: usize| Member {
            name: name(number),
            core: None,
            disk: DurableLog::initial(match number < voters {
                true => table.clone(),
                false => MemberTable::default(),
            }),
            spare: number >= voters,
        };
        let database = |number: usize| Database {
            name: format!("bookings-{number}"),
            direct: false,
            data_centre: "khomas-1",
            state: UpstreamState {
                promised: Term(1),
                end: LogPosition {
                    term: Term(1),
                    position: Position(10),
                },
                role: match number {
                    0 => UpstreamRole::Primary,
                    _ => UpstreamRole::Replica,
                },
            },
            disconnected: false,
            leaving: false,
        };
        let mut sim = Self {
            now: 0,
            members: (0..voters + spares).map(member).collect(),
            disconnected_members: BTreeSet::new(),
            in_flight: Vec::new(),
            calls: Vec::new(),
            replies: Vec::new(),
            report_answers: Vec::new(),
            requesters: BTreeMap::new(),
            last_request: 0,
            entries: (0..entries).map(entry).collect(),
            databases: (0..3).map(database).collect(),
            operators: Vec::new(),
            read: None,
            replication_stalled: false,
            promotions: 0,
            direct: None,
            writes: false,
            drops_fences: false,
            one_way_ms: 1,
            tuning: ControlTuning::default(),
            usage: None,
            seed: 0,
        };
        for number in 0..sim.members.len() {
            sim.start(number);
        }
        sim
    }

    /// Enables usage reports, and restarts all members.
    pub(crate) fn enable_usage(&mut self) {
        self.usage = Some(UsageSimulation::default());
        for number in 0..self.members.len() {
            self.stop(number);
            self.start(number);
        }
    }

    /// Starts or restarts a member from its disk.
    pub(crate) fn start(&mut self, number: usize) {
        self.seed += 1;
        let now = self.moment();
        let member = &mut self.members[number];
        let random = ChaCha8Rng::seed_from_u64(self.seed);
        let disk = member.disk.clone();
        let name = member.name.clone();
        let log = ReplicatedLog::recover(name.clone(), self.tuning.log.clone(), disk, now, random);
        let settings = CoreSettings {
            snapshot_entries: 32,
            repair_delay: Duration::from_secs(2),
            lease: self.tuning.lease,
            promotion: self.tuning.promotion,
            usage: self.usage.as_ref().map(|_| UsageSimulation::settings()),
            ..CoreSettings::new(name, crate::support::cluster())
        };
        member.core = Some(ControlCore::new(settings, log));
        self.flush(number);
    }

    /// Restarts the only member, and sends it a request once it leads but before it applies its log.
    pub(crate) fn ask_before_it_applies(&mut self, body: Body) -> Body {
        assert_eq!(self.members.len(), 1, "the only member is a majority");
        let member = &self.members[0];
        let (name, disk) = (member.name.clone(), member.disk.clone());
        let random = ChaCha8Rng::seed_from_u64(self.seed);
        let settings = self.tuning.log.clone();
        let log = ReplicatedLog::recover(name.clone(), settings, disk, self.moment(), random);
        let settings = CoreSettings::new(name, crate::support::cluster());
        let mut core = ControlCore::new(settings, log);
        let now = Moment::from_millis(self.now + 2_000);
        core.tick(now);
        for _ in 0..3 {
            drop(core.take_log_output());
            core.synced(now);
        }
        assert!(core.log().has_lease(now) && core.log().commit() > core.log().snapshot_index());
        core.request(now, self.now, RequestId(1), body);
        let (_, answer) = core.take_output().replies.remove(0);
        answer
    }

    /// Sends a change to the only member, and a question once the change is committed and before it
    /// is applied. Returns the answers to the question before and after the change is applied.
    pub(crate) fn ask_before_a_change_is_applied(
        &mut self,
        change: Body,
        question: Body,
    ) -> (Option<Body>, Option<Body>) {
        const CHANGE: RequestId = RequestId(u64::MAX - 1);
        const QUESTION: RequestId = RequestId(u64::MAX);
        let (now, unix_ms) = (self.moment(), self.now);
        let core = self.members[0].core.as_mut().expect("it runs");
        core.request(now, unix_ms, CHANGE, change);
        drop(core.take_log_output());
        core.synced(now);
        core.request(now, unix_ms, QUESTION, question);
        let answer = |core: &mut ControlCore| {
            let mut replies = core.take_output().replies.into_iter();
            let (_, body) = replies.find(|(request, _)| *request == QUESTION)?;
            Some(body)
        };
        let before = answer(core);
        let output = core.take_log_output();
        core.apply(now, output.restore, output.apply);
        (before, answer(core))
    }

    pub(crate) fn runs(&self, number: usize) -> bool {
        self.members[number].core.is_some()
    }

    pub(crate) fn stop(&mut self, number: usize) {
        self.members[number].core = None;
    }

    /// Restarts an entry as a new process.
    pub(crate) fn restart_entry(&mut self, number: usize) {
        let disconnected = self.entries[number].disconnected;
        let process = self.entries[number].process + 1;
        self.entries[number] = Entry {
            disconnected,
            process,
            ..entry(number)
        };
    }

    pub(crate) fn leader(&self) -> Option<usize> {
        let now = self.moment();
        let leads = |member: &Member| {
            let core = member.core.as_ref();
            core.is_some_and(|core| core.log().has_lease(now))
        };
        self.members.iter().position(leads)
    }

    pub(crate) fn core(&self, number: usize) -> &ControlCore {
        self.members[number].core.as_ref().expect("it runs")
    }

    /// Submits a document. The first `lost_replies` replies are lost.
    pub(crate) fn submit(&mut self, id: &str, replaces: u64, lost_replies: usize) -> usize {
        self.operators.push(Operator {
            request: SubmitRequest {
                id: id.to_owned(),
                replaces,
                text: document(replaces + 1),
                operator: "amalia".to_owned(),
            },
            asks: self.operators.len(),
            asked_at: 0,
            answer: None,
            lost_replies,
        });
        self.operators.len() - 1
    }

    pub(crate) fn answer(&self, operator: usize) -> Option<&SubmitReply> {
        self.operators[operator].answer.as_ref()
    }

    pub(crate) fn read(&mut self, member: usize, linearizable: bool) -> Body {
        let show = ShowRequest {
            number: 0,
            linearizable,
        };
        self.request(member, Body::Show(show), 5);
        self.read.clone().expect("a member that runs answers")
    }

    /// Sends a request, advances the time by `millis`, and returns the answer if there is one.
    pub(crate) fn request(&mut self, member: usize, body: Body, millis: u64) -> Option<Body> {
        self.read = None;
        self.ask(member, RequestOrigin::Reader, body);
        self.advance(millis);
        self.read.clone()
    }

    /// Sends a request to the leader, and retries until a leader answers.
    pub(crate) fn order(&mut self, body: Body) -> Body {
        for _ in 0..100 {
            self.advance_until("there is a leader", |sim| sim.leader().is_some());
            let leader = self.leader().expect("a leader");
            match self.request(leader, body.clone(), 10 + 40 * self.one_way_ms) {
                None | Some(Body::NotLeader(_)) => self.advance(50),
                Some(answer) => return answer,
            }
        }
        panic!("no leader answers");
    }

    pub(crate) fn advance(&mut self, millis: u64) {
        for _ in 0..millis {
            self.now += 1;
            self.deliver();
            self.replicate();
            self.advance_direct();
            for number in 0..self.members.len() {
                let now = self.moment();
                if let Some(core) = &mut self.members[number].core
                    && now >= core.next_tick()
                {
                    core.tick(now);
                }
                self.flush(number);
            }
            if self.now.is_multiple_of(HEARTBEAT_INTERVAL) {
                self.notice_spares();
            }
            for number in 0..self.entries.len() {
                self.run_entry(number);
            }
            for number in 0..self.operators.len() {
                self.run_operator(number);
            }
            self.check();
        }
    }

    /// Advances the time until a condition holds.
    pub(crate) fn advance_until(&mut self, what: &str, holds: impl Fn(&Self) -> bool) {
        for _ in 0..30_000 {
            if holds(self) {
                return;
            }
            self.advance(1);
        }
        self.describe_direct();
        panic!("{what}: not reached within 30 seconds");
    }

    /// Returns the primary that an entry would write to now.
    pub(crate) fn primary(&self, entry: usize) -> Option<String> {
        let entry = &self.entries[entry];
        let group = entry.view.groups.get(GROUP)?;
        let active = group
            .primary
            .active()
            .filter(|_| self.now < entry.lease_until);
        active.map(ToString::to_string)
    }

    /// Returns the term of the group in the leader's view.
    pub(crate) fn group_term(&self) -> u64 {
        let leader = self.leader().expect("a leader");
        self.core(leader).fleet().view().groups[GROUP].term.0
    }

    /// Returns whether every database has a holder in the view of an entry.
    pub(crate) fn all_held(&self, entry: usize) -> bool {
        let upstreams = &self.entries[entry].view.upstreams;
        upstreams.len() == 3 && upstreams.values().all(|upstream| upstream.holder.is_some())
    }

    fn moment(&self) -> Moment {
        Moment::from_millis(self.now)
    }

    fn ask(&mut self, member: usize, requester: RequestOrigin, body: Body) {
        if self.disconnected_members.contains(&member)
            && !matches!(requester, RequestOrigin::Reader)
        {
            return;
        }
        let now = self.moment();
        self.last_request += 1;
        let request = RequestId(self.last_request);
        self.requesters.insert((member, request), requester);
        if let Some(core) = &mut self.members[member].core {
            core.request(now, self.now, request, body);
        }
        self.flush(member);
    }

    fn flush(&mut self, number: usize) {
        let now = self.moment();
        loop {
            let member = &mut self.members[number];
            let Some(core) = &mut member.core else {
                return;
            };
            let output = core.take_log_output();
            if output.is_empty() {
                break;
            }
            persist(&mut member.disk, output.writes);
            core.synced(now);
            core.apply(now, output.restore, output.apply);
            for (to, message) in output.before_sync.into_iter().chain(output.after_sync) {
                let to = self.members.iter().position(|member| member.name == to);
                let to = to.expect("a member");
                self.in_flight
                    .push((self.now + self.one_way_ms, number, to, message));
            }
        }
        let member = &mut self.members[number];
        let Some(core) = &mut member.core else {
            return;
        };
        if let Some(snapshot) = core.take_snapshot() {
            member
                .disk
                .entries
                .retain(|entry| entry.index > snapshot.index);
            member.disk.snapshot = snapshot;
        }
        let output = core.take_output();
        let may_report = output.reports.is_empty() || core.log().has_lease(now);
        assert!(may_report, "a usage report without the leader lease");
        for (request, body) in output.replies {
            if let Some(requester) = self.requesters.remove(&(number, request)) {
                self.replies
                    .push((self.now + 2 * self.one_way_ms - 1, requester, number, body));
            }
        }
        for call in output.calls {
            self.calls
                .push((self.now + 2 * self.one_way_ms, number, call));
        }
        for call in output.reports {
            let usage = self.usage.as_mut().expect("reports are enabled");
            let outcome = usage.receive(self.now, number, &call);
            let due = self.now + 2 * self.one_way_ms;
            self.report_answers.push((due, number, call, outcome));
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let in_flight = std::mem::take(&mut self.in_flight);
        for (due, from, to, message) in in_flight {
            if due > now {
                self.in_flight.push((due, from, to, message));
            } else if !self.disconnected_members.contains(&from)
                && !self.disconnected_members.contains(&to)
            {
                let name = self.members[from].name.clone();
                let moment = self.moment();
                if let Some(core) = &mut self.members[to].core {
                    core.receive(moment, &name, message);
                }
                self.flush(to);
            }
        }
        let calls = std::mem::take(&mut self.calls);
        for (due, member, call) in calls {
            if due > now {
                self.calls.push((due, member, call));
                continue;
            }
            let answer = self.call(member, &call);
            let moment = self.moment();
            if let Some(core) = &mut self.members[member].core {
                let named = (call.kind, call.term);
                core.handle_call_answer(moment, &call.group, &call.upstream, named, &answer);
            }
            self.flush(member);
        }
        let answers = std::mem::take(&mut self.report_answers);
        for (due, member, call, outcome) in answers {
            if due > now {
                self.report_answers.push((due, member, call, outcome));
                continue;
            }
            let moment = self.moment();
            if let Some(core) = &mut self.members[member].core {
                core.handle_report_outcome(moment, call.window, call.fence, outcome);
            }
            self.flush(member);
        }
        let replies = std::mem::take(&mut self.replies);
        for (due, requester, member, body) in replies {
            if due > now {
                self.replies.push((due, requester, member, body));
            } else {
                self.reply(requester, member, body);
            }
        }
    }

    fn replicate(&mut self) {
        let leads = |database: &&Database| {
            database.state.role == UpstreamRole::Primary && !database.disconnected
        };
        let primary = self
            .databases
            .iter()
            .filter(leads)
            .max_by_key(|database| database.state.promised);
        let Some(state) = primary
            .map(|primary| primary.state.clone())
            .filter(|_| !self.replication_stalled)
        else {
            return;
        };
        for database in self
            .databases
            .iter_mut()
            .filter(|database| !database.disconnected)
        {
            if database.state.role == UpstreamRole::Replica
                && database.state.promised == state.promised
            {
                database.state.end = state.end;
            }
        }
    }

    fn call(&mut self, member: usize, call: &DatabaseCall) -> CallOutcome {
        self.promotions += usize::from(matches!(call.call, AdminCall::Promote(_)));
        if let Some(group) = &mut self.direct {
            let disconnected = self.disconnected_members.contains(&member);
            return group.call(self.now, call, disconnected, self.drops_fences);
        }
        let database = self.databases.iter_mut();
        let mut database = database.filter(|database| database.name == call.upstream.as_str());
        let Some(database) = database.next() else {
            // The database was announced but does not exist.
            return CallOutcome::Lost;
        };
        if database.disconnected || self.disconnected_members.contains(&member) {
            return CallOutcome::Lost;
        }
        let state = &mut database.state;
        let (term, role) = match &call.call {
            AdminCall::State | AdminCall::Await(_) => return CallOutcome::State(state.clone()),
            AdminCall::Fence(term) => (*term, UpstreamRole::Detached),
            AdminCall::Promote(promote) => (promote.term, UpstreamRole::Primary),
            AdminCall::Follow(follow) => (follow.term, UpstreamRole::Replica),
        };
        if term < state.promised {
            return CallOutcome::Refused;
        }
        state.role = role;
        state.promised = term;
        if role == UpstreamRole::Primary {
            state.end.term = term;
        }
        CallOutcome::State(state.clone())
    }

    fn reply(&mut self, requester: RequestOrigin, member: usize, body: Body) {
        let disconnected = self.disconnected_members.contains(&member);
        match requester {
            RequestOrigin::Reader => self.read = Some(body),
            RequestOrigin::Operator(number) if !disconnected => self.answer_operator(number, body),
            // The connection of a former process is closed, so its answer is lost.
            RequestOrigin::Entry(number, process, sent)
                if !disconnected
                    && !self.entries[number].disconnected
                    && self.entries[number].process == process =>
            {
                self.answer_entry(number, sent, body);
            }
            RequestOrigin::Operator(_) | RequestOrigin::Entry(..) | RequestOrigin::Spare => {}
        }
    }

    fn answer_operator(&mut self, number: usize, body: Body) {
        let operator = &mut self.operators[number];
        match body {
            Body::Submitted(reply) if !reply.busy => {
                if operator.lost_replies > 0 {
                    operator.lost_replies -= 1;
                } else if operator.answer.is_none() {
                    operator.answer = Some(reply);
                }
            }
            _ => {}
        }
    }

    fn run_operator(&mut self, number: usize) {
        let count = self.members.len();
        let operator = &mut self.operators[number];
        if operator.answer.is_some() || self.now < operator.asked_at + RETRY_TIMEOUT {
            return;
        }
        operator.asked_at = self.now;
        operator.asks += 1;
        let member = operator.asks % count;
        let body = Body::Submit(operator.request.clone());
        self.ask(member, RequestOrigin::Operator(number), body);
    }

    fn answer_entry(&mut self, number: usize, sent: u64, body: Body) {
        let count = self.members.len();
        let entry = &mut self.entries[number];
        entry.awaits_reply = false;
        match body {
            Body::Welcome(welcome) => {
                assert!(
                    welcome.incarnation >= entry.incarnation,
                    "an incarnation went backwards"
                );
                entry.incarnation = welcome.incarnation;
                entry.joined = true;
            }
            Body::HeartbeatReply(reply) => {
                if let (Some(usage), Some(window)) = (&mut self.usage, &reply.usage) {
                    usage.handle_window(number, window);
                }
                if let Some(update) = reply.encoded_update() {
                    let update = update.decoded().expect("an update");
                    let applied = update.apply(&entry.view, &entry.text);
                    let (view, text) = applied.expect("the update fits");
                    assert!(
                        view.number > entry.view.number,
                        "the view number went backwards"
                    );
                    assert!(
                        view.document_number >= entry.view.document_number,
                        "the document number went backwards"
                    );
                    (entry.view, entry.text) = (view, text);
                }
                if reply.lease_ms > 0 {
                    entry.lease_until = entry.lease_until.max(sent + reply.lease_ms);
                }
            }
            _ => {
                entry.asks = (entry.asks + 1) % count;
                entry.joined = false;
            }
        }
    }

    fn run_entry(&mut self, number: usize) {
        let count = self.members.len();
        let reports: Vec<UpstreamReport> = match number {
            0 if self.direct.is_none() => self
                .databases
                .iter()
                .filter(|database| !database.disconnected && !database.direct)
                .map(report)
                .collect(),
            _ => Vec::new(),
        };
        let now = self.now;
        let side = self.entries[number].side;
        let entry = &mut self.entries[number];
        let fenced = entry.view.groups.values();
        let is_fenced = fenced
            .clone()
            .any(|group| group.primary == PrimaryState::Fenced);
        let health = self.direct.as_ref().map(|group| {
            group.note_ends(side, &mut entry.seen_ends);
            group.health(now, side, is_fenced.then_some(&entry.seen_ends))
        });
        if entry.awaits_reply && now >= entry.asked_at + RETRY_TIMEOUT {
            entry.awaits_reply = false;
            entry.joined = false;
            entry.asks = (entry.asks + 1) % count;
        }
        if entry.awaits_reply
            || now < entry.asked_at + if entry.joined { HEARTBEAT_INTERVAL } else { 20 }
        {
            return;
        }
        entry.asked_at = now;
        entry.awaits_reply = true;
        if entry.disconnected {
            return;
        }
        let body = if entry.joined {
            entry.sequence += 1;
            let usage = self.usage.as_ref();
            let usage = usage.map(|usage| usage.report(number, now, entry.process));
            let (unix_ms, usage) = usage.unwrap_or_default();
            Body::Heartbeat(Heartbeat {
                sequence: entry.sequence,
                incarnation: entry.incarnation,
                view: entry.view.number.0,
                leaving: entry.leaving,
                upstreams: reports,
                groups: group_reports(&entry.view),
                health: health.unwrap_or_default(),
                instance: entry.name.clone(),
                usage,
                unix_ms,
                ..Heartbeat::default()
            })
        } else {
            Body::Handshake(Handshake {
                instance: entry.name.clone(),
                incarnation: entry.incarnation,
                data_centre: "khomas-1".to_owned(),
                peer_address: "127.0.0.1:7400".to_owned(),
                view: entry.view.number.0,
            })
        };
        let member = entry.asks;
        let process = entry.process;
        self.ask(member, RequestOrigin::Entry(number, process, now), body);
    }

    fn notice_spares(&mut self) {
        for number in 0..self.members.len() {
            let member = &self.members[number];
            if !member.spare || member.core.is_none() || self.disconnected_members.contains(&number)
            {
                continue;
            }
            let notice = SpareNotice {
                instance: member.name.to_string(),
                address: address(number).to_string(),
                member: false,
                data_centre: String::new(),
            };
            for other in 0..self.members.len() {
                self.ask(other, RequestOrigin::Spare, Body::Spare(notice.clone()));
            }
        }
    }

    /// Checks that there is at most one leader lease, one holder per database, and one primary.
    fn check(&self) {
        let now = self.moment();
        let running = self
            .members
            .iter()
            .filter_map(|member| member.core.as_ref());
        let leases = running.filter(|core| core.log().has_lease(now)).count();
        assert!(leases <= 1, "two members hold the leader lease");
        let mut holders: BTreeMap<&str, &str> = BTreeMap::new();
        let mut primaries: BTreeSet<&str> = BTreeSet::new();
        for entry in self
            .entries
            .iter()
            .filter(|entry| self.now < entry.lease_until)
        {
            for (name, upstream) in &entry.view.upstreams {
                let own = upstream
                    .holder
                    .as_ref()
                    .is_some_and(|holder| holder.as_str() == entry.name);
                if own {
                    let other = holders.insert(name.as_str(), &entry.name);
                    assert!(
                        other.is_none(),
                        "{name} is held by {other:?} and {}",
                        entry.name
                    );
                }
            }
            let group = entry.view.groups.get(GROUP);
            if let Some(PrimaryState::Active(primary)) = group.map(|group| &group.primary) {
                primaries.insert(primary.as_str());
            }
        }
        assert!(
            primaries.len() <= 1,
            "entries act on two primaries: {primaries:?}"
        );
    }
}

fn entry(number: usize) -> Entry {
    Entry {
        name: format!("entry-{number}"),
        view: FleetView::default(),
        text: String::new(),
        lease_until: 0,
        incarnation: 0,
        disconnected: false,
        side: 0,
        leaving: false,
        asks: 0,
        sequence: 0,
        asked_at: 0,
        awaits_reply: false,
        joined: false,
        process: 0,
        seen_ends: BTreeMap::new(),
    }
}

fn group_reports(view: &FleetView) -> Vec<GroupReport> {
    let draining = view.groups.iter();
    let draining = draining.filter(|(_, group)| matches!(group.primary, PrimaryState::Draining(_)));
    let report = |(name, group): (&GroupId, &GroupView)| GroupReport {
        group: name.to_string(),
        term: group.term.0,
        open_transactions: 0,
    };
    draining.map(report).collect()
}

/// Returns the announcement of a database.
pub(crate) fn report(database: &Database) -> UpstreamReport {
    let address = "127.0.0.1:5432".to_owned();
    UpstreamReport {
        upstream: database.name.clone(),
        group: GROUP.to_owned(),
        data_centre: database.data_centre.to_owned(),
        admin_address: address.clone(),
        address,
        term: database.state.end.term.0,
        position: database.state.end.position.0,
        primary: database.state.role == UpstreamRole::Primary,
        leaving: database.leaving,
        age_ms: 0,
        born_ms: 0,
        sequence: 0,
    }
}

fn address(number: usize) -> SocketAddr {
    SocketAddr::from((
        [127, 0, 0, 1],
        7_000 + u16::try_from(number).expect("it fits"),
    ))
}

fn persist(disk: &mut DurableLog, writes: Vec<LogWrite>) {
    for write in writes {
        match write {
            LogWrite::Vote { term, voted_for } => {
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
