//! Simulated databases that acknowledge commits by themselves, with the platform's promotion of
//! primaries.

use super::{
    GROUP,
    RequestOrigin,
    Simulation, //
    clients::ClientLedger,
};
use daisyseam_control::{
    AdminCall,
    DatabaseCall, //
};
use daisyseam_coord::promotion::{
    CallOutcome,
    FenceOutcome, //
};
use daisyseam_model::{
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
    AnnounceRequest,
    HealthReport,
    UpstreamReport,
    control_message::Body, //
};
use std::collections::{
    BTreeMap,
    BTreeSet, //
};

/// Time between two announcements, in milliseconds.
const ANNOUNCE_INTERVAL: u64 = 1_200;
/// Time after which a primary that reaches one with a higher term steps down, in milliseconds.
const STEP_DOWN_DELAY: u64 = 1_000;
/// Time without an answer after which an entry reports a database as unreachable, in milliseconds.
const UNREACHABLE_AFTER: u64 = 300;

/// One process of a database, with its log.
#[derive(Clone, Debug)]
pub(crate) struct DatabaseCopy {
    pub(crate) name: String,
    pub(crate) log: Vec<(u64, u64)>,
    /// Highest known term. For a primary, this is the term that it leads.
    pub(crate) term: u64,
    /// Highest term that it led or replicated from.
    applied_term: u64,
    /// Term of the fence that stopped it, or 0.
    fenced_term: u64,
    pub(crate) leads: bool,
    pub(crate) up: bool,
    down_since: u64,
    up_at: Option<u64>,
    born: u64,
    sequence: u64,
    announce_at: u64,
    /// Time from its start until it announces itself, in milliseconds.
    pub(crate) announce_delay: u64,
    pub(crate) leaving: bool,
    pub(crate) gone: bool,
    /// Whether it and control cannot reach each other.
    pub(crate) disconnected: bool,
    /// Whether entries cannot reach it.
    pub(crate) hidden_from_entries: bool,
    /// Whether it is disconnected from the other databases.
    pub(crate) isolated: bool,
    /// Whether its answers to control are lost.
    pub(crate) drops_answers: bool,
    pub(crate) data_centre: &'static str,
    /// Side of a cut that it is on; control is on side 0.
    pub(crate) side: u8,
    side_since: u64,
    pub(crate) address: u16,
    /// Number of commits that it receives in a millisecond.
    pace: usize,
    /// Whether a primary reports its log end in its own term before it has written in that term.
    pub(crate) reports_own_term: bool,
    takes_over_at: Option<u64>,
    superseded_since: Option<u64>,
}

impl DatabaseCopy {
    pub(super) fn end(&self) -> LogPosition {
        let written = self.log.last().map_or(0, |(term, _)| *term);
        LogPosition {
            term: Term(match self.reports_own_term && self.leads {
                true => self.term,
                false => written,
            }),
            position: Position(self.log.len() as u64),
        }
    }

    fn state(&self) -> UpstreamState {
        UpstreamState {
            promised: Term(self.term.max(self.fenced_term)),
            end: self.end(),
            role: match (self.leads, self.fenced_term) {
                (true, _) => UpstreamRole::Primary,
                (false, 0) => UpstreamRole::Replica,
                (false, _) => UpstreamRole::Detached,
            },
        }
    }

    pub(super) fn born(&self) -> u64 {
        self.born
    }

    /// Returns whether it and another database reach each other.
    fn reaches(&self, other: &DatabaseCopy) -> bool {
        !self.isolated && !other.isolated && self.side == other.side
    }

    pub(crate) fn announce_now(&mut self) {
        self.announce_at = 0;
    }

    fn fence(&mut self, term: u64, raises: bool) -> bool {
        if term <= self.term {
            return false;
        }
        self.leads = false;
        self.fenced_term = term;
        if raises {
            self.term = term;
        }
        true
    }
}

/// How the platform handles promotion calls.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum PlatformState {
    /// It answers, and acts within some hundred milliseconds.
    Prompt,
    /// It reads them, acts this number of milliseconds later, and does not answer.
    Slow(u64),
    /// It does not receive them.
    Down,
}

/// A group of databases and all acknowledged writes.
pub(crate) struct DirectGroup {
    pub(crate) copies: Vec<DatabaseCopy>,
    /// Whether a fence raises the term that a database knows.
    pub(crate) raises: bool,
    written: u64,
    pub(crate) acknowledged: BTreeSet<u64>,
    /// Primary of each term.
    term_leaders: BTreeMap<u64, String>,
    /// Database that was promoted under each term of the view.
    promoted: BTreeMap<u64, String>,
    pub(crate) promotions: usize,
    fence: u64,
    pub(crate) platform: PlatformState,
    /// Promotions that the platform has not acted on: when it does, the copy, and its start time.
    orders: Vec<(u64, usize, u64)>,
    /// Copy whose log was wiped and has not been restored. At most one log may be missing.
    wiped: Option<usize>,
    /// What clients were told, if that is not what the databases acknowledge.
    pub(crate) clients: Option<ClientLedger>,
    /// Number of replicas that must have a commit before a database acknowledges it.
    pub(crate) replicas: usize,
}

impl DirectGroup {
    pub(crate) fn new(count: usize, raises: bool) -> Self {
        let copy = |number: usize| DatabaseCopy {
            name: format!("copy-{number}"),
            log: vec![(3, 0)],
            term: 3,
            applied_term: 3,
            fenced_term: 0,
            leads: number == 0,
            up: true,
            down_since: 0,
            up_at: None,
            born: 1 + number as u64,
            sequence: 0,
            announce_at: 50 * number as u64,
            announce_delay: 0,
            leaving: false,
            gone: false,
            disconnected: false,
            hidden_from_entries: false,
            isolated: false,
            drops_answers: false,
            data_centre: "khomas-1",
            side: 0,
            side_since: 0,
            address: 6_000 + u16::try_from(number).expect("it fits"),
            pace: 3,
            reports_own_term: false,
            takes_over_at: None,
            superseded_since: None,
        };
        Self {
            copies: (0..count).map(copy).collect(),
            raises,
            written: 0,
            acknowledged: BTreeSet::new(),
            term_leaders: BTreeMap::from([(3, "copy-0".to_owned())]),
            promoted: BTreeMap::new(),
            promotions: 0,
            fence: 0,
            platform: PlatformState::Prompt,
            orders: Vec::new(),
            wiped: None,
            clients: None,
            replicas: 1,
        }
    }

    /// Starts a new database on one side of a cut, which receives the log from its primary.
    pub(crate) fn join(&mut self, now: u64, side: u8, disconnected: bool) -> usize {
        let number = self.copies.len();
        let mut copy = self.copies[0].clone();
        copy.name = format!("copy-{number}");
        copy.address = 6_000 + u16::try_from(number).expect("it fits");
        (copy.side, copy.side_since, copy.disconnected) = (side, now, disconnected);
        copy.log.clear();
        self.copies.push(copy);
        self.begin_process(now, number);
        number
    }

    /// Ends a database, whose log is lost. Does nothing while another log is missing.
    pub(crate) fn depart(&mut self, now: u64, number: usize) -> bool {
        if self.wiped.is_some() || !self.copies[number].up {
            return false;
        }
        self.wiped = Some(number);
        let copy = &mut self.copies[number];
        (copy.up, copy.up_at, copy.gone, copy.leads) = (false, None, true, false);
        (copy.down_since, copy.announce_at) = (now, now);
        copy.log.clear();
        true
    }

    /// Checks that a commit of which a client hears is not missing at a later primary.
    pub(super) fn check_told(&self, primary: &str, at: LogPosition, write: u64) {
        let (term, name) = self.term_leaders.last_key_value().expect("a primary");
        let leader = self.copies.iter().find(|copy| copy.name == *name);
        let log = leader.map_or(&[][..], |copy| &copy.log);
        let kept = *term <= at.term.0 || log.iter().any(|(_, number)| *number == write);
        assert!(
            kept,
            "a client hears of commit {write} at {primary}, which {name} lacks"
        );
    }

    /// Checks that the newest primary has each commit of which a client has heard.
    pub(crate) fn check_all_told(&self) {
        let name = self.term_leaders.values().next_back().expect("a primary");
        let leader = self.copies.iter().find(|copy| copy.name == *name);
        let log: BTreeSet<_> = leader
            .expect("it")
            .log
            .iter()
            .map(|(_, write)| *write)
            .collect();
        let clients = self.clients.as_ref().expect("clients");
        let lost = clients.told.difference(&log).count();
        assert_eq!(lost, 0, "{name} lacks commits of which clients have heard");
    }

    /// Ends a database, and starts a new one with its log at its address.
    pub(crate) fn succeed(&mut self, now: u64, number: usize) -> usize {
        let successor = self.copies.len();
        let former = &mut self.copies[number];
        let mut copy = former.clone();
        (former.up, former.up_at, former.gone) = (false, None, true);
        (former.down_since, former.announce_at, former.leads) = (now, now, false);
        copy.name = format!("copy-{successor}");
        self.copies.push(copy);
        self.begin_process(now, successor);
        successor
    }

    fn begin_process(&mut self, now: u64, number: usize) {
        let copy = &mut self.copies[number];
        (copy.up, copy.up_at, copy.leads, copy.gone) = (true, None, false, false);
        (copy.term, copy.applied_term, copy.fenced_term) = (0, 0, 0);
        (copy.hidden_from_entries, copy.isolated, copy.drops_answers) = (false, false, false);
        (copy.born, copy.sequence, copy.announce_at, copy.pace) = (now, 0, now, 10_000);
        (copy.leaving, copy.takes_over_at, copy.superseded_since) = (false, None, None);
    }

    /// Moves databases to one side of a cut.
    pub(crate) fn cut(
        &mut self,
        now: u64,
        side: u8,
        mut is_cut: impl FnMut(&DatabaseCopy) -> bool,
    ) {
        for copy in self.copies.iter_mut().filter(|copy| is_cut(copy)) {
            (copy.side, copy.side_since) = (side, now);
        }
    }

    fn position(&self, name: &str) -> Option<usize> {
        self.copies.iter().position(|copy| copy.name == name)
    }

    /// Crashes a copy, which restarts with its log.
    pub(crate) fn crash(&mut self, now: u64, number: usize, millis: u64) {
        let copy = &mut self.copies[number];
        if copy.up {
            (copy.up, copy.down_since) = (false, now);
            copy.up_at = Some(now + millis);
        }
    }

    /// Crashes a copy, which restarts with an empty log. Does nothing while another one is wiped.
    pub(crate) fn wipe(&mut self, now: u64, number: usize, millis: u64, gone: bool) -> bool {
        if self.wiped.is_some() || !self.copies[number].up {
            return false;
        }
        self.wiped = Some(number);
        self.crash(now, number, millis);
        let copy = &mut self.copies[number];
        copy.gone = gone;
        copy.leads = false;
        (copy.term, copy.applied_term) = (0, 0);
        copy.log.clear();
        true
    }

    fn latest(&self) -> u64 {
        self.term_leaders.keys().next_back().copied().unwrap_or(0)
    }

    /// Runs one step of starts, promotions, replication, acknowledgements and step-downs.
    pub(crate) fn advance(&mut self, now: u64) {
        self.start(now);
        self.obey(now);
        self.lead(now);
        for number in 0..self.copies.len() {
            self.replicate(number);
        }
        self.acknowledge();
        self.step_down(now);
    }

    fn start(&mut self, now: u64) {
        let latest = self.latest();
        for copy in &mut self.copies {
            if !copy.up && copy.up_at.is_some_and(|at| now >= at) {
                copy.up = true;
                copy.up_at = None;
                copy.born = now;
                copy.fenced_term = 0;
                copy.sequence = 0;
                copy.announce_at = now + copy.announce_delay;
                copy.leads &= copy.term >= latest;
                copy.takes_over_at = None;
                (copy.gone, copy.leaving) = (false, false);
            }
        }
    }

    /// Lets the platform act on the promotions that are due, unless the process has ended.
    fn obey(&mut self, now: u64) {
        let orders = std::mem::take(&mut self.orders);
        for (due, number, born) in orders {
            let copy = &mut self.copies[number];
            if due > now {
                self.orders.push((due, number, born));
            } else if copy.up && copy.born == born && copy.takes_over_at.is_none() {
                copy.takes_over_at = Some(now);
            }
        }
    }

    /// Returns the copies with a promotion that has not taken effect.
    pub(crate) fn ordered(&self) -> Vec<String> {
        let ordered = self.orders.iter().map(|(_, number, _)| *number);
        ordered
            .map(|number| self.copies[number].name.clone())
            .collect()
    }

    fn lead(&mut self, now: u64) {
        let latest = self.latest();
        for number in 0..self.copies.len() {
            let copy = &self.copies[number];
            if !copy.up || copy.takes_over_at.is_none_or(|at| now < at) {
                continue;
            }
            if copy.leads && copy.term == latest {
                self.copies[number].takes_over_at = None;
                continue;
            }
            let log = &copy.log;
            let has = |write: &&u64| log.iter().any(|(_, number)| number == *write);
            let clients = self.clients.as_ref();
            let promised = clients.map_or(&self.acknowledged, |clients| &clients.told);
            let lost: Vec<_> = promised.iter().filter(|write| !has(write)).collect();
            assert!(
                lost.is_empty(),
                "{} leads without {} commits from {:?} on at {now}",
                copy.name,
                lost.len(),
                lost.first()
            );
            let term = copy.term.max(latest) + 1;
            if let Some(clients) = &mut self.clients {
                clients.missing += self.acknowledged.iter().filter(|write| !has(write)).count();
            }
            let copy = &mut self.copies[number];
            (copy.leads, copy.fenced_term, copy.takes_over_at) = (true, 0, None);
            (copy.term, copy.applied_term) = (term, term);
            let name = copy.name.clone();
            let former = self.term_leaders.insert(term, name);
            assert!(former.is_none(), "term {term} has two primaries");
        }
    }

    fn replicate(&mut self, number: usize) {
        let copy = &self.copies[number];
        if !copy.up || copy.leads || copy.fenced_term != 0 || copy.isolated {
            return;
        }
        let least = copy.applied_term;
        let sources = self.copies.iter().enumerate();
        let sources = sources.filter(|(_, other)| other.up && other.leads && other.reaches(copy));
        let source = sources.filter(|(_, copy)| copy.term >= least);
        let Some((source, _)) = source.max_by_key(|(_, copy)| copy.term) else {
            return;
        };
        let own = &copy.log;
        let other = &self.copies[source].log;
        // Write numbers are unique, so logs that agree at one position agree up to it.
        let agrees = |length: &usize| *length == 0 || own.get(length - 1) == other.get(length - 1);
        let common = own.len().min(other.len());
        let common = (0..=common).rev().find(agrees).unwrap_or(0);
        let next: Vec<_> = other.iter().skip(common).take(copy.pace).copied().collect();
        let term = self.copies[source].term;
        let copy = &mut self.copies[number];
        copy.term = copy.term.max(term);
        copy.applied_term = term;
        copy.log.truncate(common);
        copy.log.extend(next);
    }

    fn acknowledge(&mut self) {
        // With a later primary in effect, clients of an earlier one have given up waiting.
        let latest = self.latest();
        let in_effect = |copy: &DatabaseCopy| copy.term == latest || self.clients.is_some();
        let leads = |copy: &&DatabaseCopy| copy.up && copy.leads && in_effect(copy);
        for primary in self.copies.iter().filter(leads) {
            for (index, (term, write)) in primary.log.iter().enumerate().rev() {
                let own = *term == primary.term && *write != 0;
                if !own || self.acknowledged.contains(write) {
                    break;
                }
                let has = |copy: &&DatabaseCopy| {
                    copy.name != primary.name
                        && copy.up
                        && !copy.leads
                        && copy.fenced_term == 0
                        && copy.reaches(primary)
                        && copy.log.get(index) == Some(&(*term, *write))
                };
                if self.copies.iter().filter(has).count() >= self.replicas {
                    self.acknowledged.insert(*write);
                }
            }
        }
    }

    fn step_down(&mut self, now: u64) {
        let leading = self.copies.iter();
        let leading = leading.filter(|copy| copy.up && copy.leads && !copy.isolated);
        let leading: Vec<_> = leading.map(|copy| (copy.side, copy.term)).collect();
        for copy in &mut self.copies {
            let reached = leading.iter().filter(|(side, _)| *side == copy.side);
            let latest = reached.map(|(_, term)| *term).max().unwrap_or(0);
            if !copy.leads || !copy.up || copy.isolated || copy.term >= latest {
                copy.superseded_since = None;
                continue;
            }
            let since = *copy.superseded_since.get_or_insert(now);
            if now >= since + STEP_DOWN_DELAY {
                copy.leads = false;
                copy.announce_at = now;
            }
        }
    }

    /// Writes to the database that an entry considers the primary.
    pub(crate) fn write(&mut self, now: u64, entry: (usize, u8), replicas: usize, name: &str) {
        let Some(number) = self.position(name) else {
            return;
        };
        let (entry, side) = entry;
        let copy = &mut self.copies[number];
        if copy.up && copy.leads && !copy.hidden_from_entries && copy.side == side {
            self.written += 1;
            copy.log.push((copy.term, self.written));
            if let Some(clients) = &mut self.clients {
                clients.begin(now, (entry, replicas), copy, self.written);
            }
        }
    }

    pub(crate) fn call(
        &mut self,
        now: u64,
        call: &DatabaseCall,
        disconnected: bool,
        drops_fences: bool,
    ) -> CallOutcome {
        let Some(number) = self.position(call.upstream.as_str()) else {
            return CallOutcome::Lost;
        };
        if let AdminCall::Promote(promote) = &call.call {
            if self.platform == PlatformState::Down {
                return CallOutcome::Lost;
            }
            self.promote(now, number, promote.term.0, call.fence);
            if self.platform != PlatformState::Prompt {
                return CallOutcome::Lost;
            }
            if !self.copies[number].up {
                return CallOutcome::Refused;
            }
        }
        if !disconnected && self.is_succeeded(number) {
            // The database that listens at its address now is not the one that was called.
            return CallOutcome::Replaced;
        }
        let raises = self.raises;
        let copy = &mut self.copies[number];
        if !copy.up || copy.disconnected || disconnected || copy.side != 0 {
            return CallOutcome::Lost;
        }
        let led = copy.leads.then_some(Term(copy.term));
        let taken = match &call.call {
            AdminCall::Fence(_) if drops_fences => return CallOutcome::Lost,
            AdminCall::Fence(term) => copy.fence(term.0, raises),
            AdminCall::Follow(_) => {
                copy.fenced_term = 0;
                true
            }
            AdminCall::State | AdminCall::Await(_) | AdminCall::Promote(_) => true,
        };
        let state = copy.state();
        match (copy.drops_answers, taken, &call.call) {
            (true, _, _) => CallOutcome::Lost,
            (false, true, AdminCall::Fence(_)) => CallOutcome::Fenced(FenceOutcome { state, led }),
            (false, true, _) => CallOutcome::State(state),
            (false, false, _) => CallOutcome::Refused,
        }
    }

    /// Returns whether control reaches another database at the address of one that has ended.
    fn is_succeeded(&self, number: usize) -> bool {
        let former = &self.copies[number];
        let reached = |copy: &DatabaseCopy| copy.up && !copy.disconnected && copy.side == 0;
        let mut others = self.copies.iter();
        !former.up && others.any(|copy| copy.address == former.address && reached(copy))
    }

    fn promote(&mut self, now: u64, number: usize, term: u64, fence: u64) {
        assert!(fence >= self.fence, "a former leader promotes a database");
        self.fence = fence;
        self.promotions += 1;
        let copy = &mut self.copies[number];
        let promoted = self
            .promoted
            .entry(term)
            .or_insert_with(|| copy.name.clone());
        assert_eq!(
            *promoted, copy.name,
            "two databases are promoted under term {term}"
        );
        let takes_over_at = now + 300 + (term * 97 + now) % 500;
        if let PlatformState::Slow(delay) = self.platform {
            if copy.up {
                self.orders.push((takes_over_at + delay, number, copy.born));
            }
        } else if copy.up && copy.takes_over_at.is_none() {
            copy.takes_over_at = Some(takes_over_at);
        }
    }

    /// Notes the ends of logs that an entry on one side of a cut sees.
    pub(super) fn note_ends(&self, side: u8, ends: &mut BTreeMap<String, LogPosition>) {
        let seen = |copy: &&DatabaseCopy| copy.up && !copy.hidden_from_entries && copy.side == side;
        for copy in self.copies.iter().filter(seen) {
            let known = ends.entry(copy.name.clone()).or_default();
            *known = copy.end().max(*known);
        }
    }

    /// Returns the health reports of an entry on all databases, with the ends of logs to report.
    pub(super) fn health(
        &self,
        now: u64,
        side: u8,
        ends: Option<&BTreeMap<String, LogPosition>>,
    ) -> Vec<HealthReport> {
        let report = |copy: &DatabaseCopy| {
            let end = ends.and_then(|ends| ends.get(&copy.name).copied());
            let end = end.unwrap_or_default();
            let silent_ms = match copy.up {
                true if copy.side == side => 0,
                true => now - copy.side_since,
                false => now - copy.down_since,
            };
            HealthReport {
                upstream: copy.name.clone(),
                reachable: !copy.hidden_from_entries && silent_ms < UNREACHABLE_AFTER,
                silent_ms,
                term: end.term.0,
                position: end.position.0,
                ..HealthReport::default()
            }
        };
        self.copies.iter().map(report).collect()
    }

    fn report(copy: &DatabaseCopy) -> UpstreamReport {
        let address = format!("127.0.0.1:{}", copy.address);
        UpstreamReport {
            upstream: copy.name.clone(),
            group: GROUP.to_owned(),
            data_centre: copy.data_centre.to_owned(),
            admin_address: address.clone(),
            address,
            primary: copy.leads,
            leaving: copy.leaving,
            born_ms: copy.born,
            sequence: copy.sequence,
            ..UpstreamReport::default()
        }
    }

    /// Returns the announcements that are due.
    fn announcements(&mut self, now: u64) -> Vec<AnnounceRequest> {
        let mut requests = Vec::new();
        for copy in &mut self.copies {
            if copy.disconnected
                || copy.side != 0
                || now < copy.announce_at
                || !copy.up && !copy.gone
            {
                continue;
            }
            copy.announce_at = now + ANNOUNCE_INTERVAL;
            copy.sequence += 1;
            requests.push(AnnounceRequest {
                report: Some(Self::report(copy)),
                gone: copy.gone,
            });
        }
        requests
    }

    pub(crate) fn heal(&mut self) {
        self.platform = PlatformState::Prompt;
        for copy in &mut self.copies {
            (copy.disconnected, copy.hidden_from_entries, copy.isolated) = (false, false, false);
            (copy.drops_answers, copy.leaving, copy.side) = (false, false, 0);
            if let Some(at) = &mut copy.up_at {
                *at = 0;
            }
        }
    }
}

impl Simulation {
    /// Returns the primary by the newest view of the leader.
    pub(crate) fn active(&self) -> Option<String> {
        let leader = self.leader()?;
        let view = self.core(leader).fleet().view();
        let active = view.groups.get(GROUP)?.primary.active();
        active.map(ToString::to_string)
    }

    /// Prints the state of the databases and entries after a timeout.
    pub(super) fn describe_direct(&self) {
        let Some(group) = &self.direct else {
            return;
        };
        for copy in &group.copies {
            println!(
                "{}: {:?}, up {}, born {}, leaving {}, gone {}",
                copy.name,
                copy.state(),
                copy.up,
                copy.born,
                copy.leaving,
                copy.gone
            );
        }
        println!("wiped {:?}, promotions {}", group.wiped, group.promotions);
        if let Some(leader) = self.leader() {
            let fleet = self.core(leader).fleet();
            for (name, upstream) in &fleet.view().upstreams {
                println!(
                    "{name}: {upstream:?}, settled {}",
                    fleet.has_caught_up(name)
                );
            }
            println!("{:?}", fleet.view().groups);
            println!("{:?}", fleet.view().instances);
        }
        for entry in &self.entries {
            println!(
                "{}: view {:?}, {:?}, incarnation {}, lease until {} of {}, joined {}, asks {}",
                entry.name,
                entry.view.number,
                entry.view.groups,
                entry.incarnation,
                entry.lease_until,
                self.now,
                entry.joined,
                entry.asks
            );
        }
    }

    /// Advances the databases, their announcements and the writes to them.
    pub(super) fn advance_direct(&mut self) {
        let now = self.now;
        let Some(group) = &mut self.direct else {
            return;
        };
        group.advance(now);
        let requests = group.announcements(now);
        for request in requests {
            for member in 0..self.members.len() {
                self.ask(
                    member,
                    RequestOrigin::Reader,
                    Body::Announce(request.clone()),
                );
            }
        }
        self.note_settled();
        self.tell_clients();
        if self.writes && now.is_multiple_of(7) {
            self.write_direct();
        }
    }

    fn note_settled(&mut self) {
        let leader = self.leader();
        let core = leader.and_then(|leader| self.members[leader].core.as_ref());
        let (Some(core), Some(group)) = (core, &mut self.direct) else {
            return;
        };
        if let Some(number) = group.wiped {
            let copy = &group.copies[number];
            let name = copy.name.parse().expect("a sound name");
            let fleet = core.fleet();
            let known = fleet.view().upstreams.get(&name);
            if !copy.up && copy.up_at.is_none() && known.is_none() {
                group.wiped = None;
                return;
            }
            let present = known.is_some_and(|known| known.born_ms == copy.born);
            if copy.up && present && fleet.has_caught_up(&name) {
                group.wiped = None;
            }
        }
    }

    fn write_direct(&mut self) {
        let now = self.now;
        let Some(group) = &mut self.direct else {
            return;
        };
        for (number, entry) in self.entries.iter().enumerate() {
            let view = entry.view.groups.get(GROUP);
            let primary = view.map(|view| &view.primary);
            if let Some(PrimaryState::Active(primary)) = primary
                && now < entry.lease_until
                && (!entry.disconnected || group.clients.is_some())
            {
                let replicas = entry.replicas();
                group.write(now, (number, entry.side), replicas, primary.as_str());
            }
        }
    }
}
