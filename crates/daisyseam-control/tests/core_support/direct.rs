//! Databases that acknowledge commits by themselves, with the platform's way to name a primary.

use super::{
    GROUP,
    RequestOrigin,
    World, //
};
use daisyseam_control::{
    AdminCall,
    DatabaseCall, //
};
use daisyseam_coord::promotion::CallOutcome;
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
const ANNOUNCE_EVERY: u64 = 1_200;
/// Time after which a primary that can reach a later one steps down, in milliseconds.
const STEP_DOWN_AFTER: u64 = 1_000;
/// Time without an answer after which an entry calls a database unreachable, in milliseconds.
const UNREACHABLE_AFTER: u64 = 300;

/// One process of a database, with its log.
#[derive(Clone, Debug)]
pub(crate) struct Copy {
    pub(crate) name: String,
    pub(crate) log: Vec<(u64, u64)>,
    /// Newest term that it knows; the one that it leads, of a primary.
    pub(crate) term: u64,
    /// Newest term that it led or followed.
    seen: u64,
    held: u64,
    pub(crate) leads: bool,
    pub(crate) up: bool,
    down_since: u64,
    up_at: Option<u64>,
    born: u64,
    sequence: u64,
    announce_at: u64,
    pub(crate) leaving: bool,
    gone: bool,
    /// Control cannot reach it, nor it control.
    pub(crate) cut: bool,
    /// Entries cannot reach it.
    pub(crate) hidden: bool,
    /// It gets nothing from other databases.
    pub(crate) isolated: bool,
    /// Its answers to control are lost.
    pub(crate) deaf: bool,
    pub(crate) data_centre: &'static str,
    /// Whether it names its end in its own term as soon as it leads.
    pub(crate) early: bool,
    named_at: Option<u64>,
    sees_later_since: Option<u64>,
}

impl Copy {
    fn end(&self) -> LogPosition {
        let written = self.log.last().map_or(0, |(term, _)| *term);
        LogPosition {
            term: Term(match self.early && self.leads {
                true => self.term,
                false => written,
            }),
            position: Position(self.log.len() as u64),
        }
    }

    fn state(&self) -> UpstreamState {
        UpstreamState {
            promised: Term(self.term.max(self.held)),
            end: self.end(),
            role: match (self.leads, self.held) {
                (true, _) => UpstreamRole::Primary,
                (false, 0) => UpstreamRole::Replica,
                (false, _) => UpstreamRole::Detached,
            },
        }
    }

    pub(crate) fn announce_now(&mut self) {
        self.announce_at = 0;
    }

    fn fence(&mut self, term: u64, raises: bool) -> bool {
        if term <= self.term {
            return false;
        }
        if self.leads {
            self.leads = false;
        } else {
            self.held = term;
        }
        if raises {
            self.term = term;
        }
        true
    }
}

/// The group and everything that was acknowledged.
pub(crate) struct DirectGroup {
    pub(crate) copies: Vec<Copy>,
    /// Whether stops count as terms that a database knows.
    pub(crate) raises: bool,
    written: u64,
    pub(crate) acknowledged: BTreeSet<u64>,
    /// Who led each term.
    led: BTreeMap<u64, String>,
    /// Who was named under each term of the view.
    named: BTreeMap<u64, String>,
    pub(crate) promotes: usize,
    fence: u64,
    /// A wiped log that has not been replaced; only one may be missing.
    wiped: Option<usize>,
}

impl DirectGroup {
    pub(crate) fn new(count: usize, raises: bool) -> Self {
        let copy = |number: usize| Copy {
            name: format!("copy-{number}"),
            log: vec![(3, 0)],
            term: 3,
            seen: 3,
            held: 0,
            leads: number == 0,
            up: true,
            down_since: 0,
            up_at: None,
            born: 1 + number as u64,
            sequence: 0,
            announce_at: 50 * number as u64,
            leaving: false,
            gone: false,
            cut: false,
            hidden: false,
            isolated: false,
            deaf: false,
            data_centre: "khomas-1",
            early: false,
            named_at: None,
            sees_later_since: None,
        };
        Self {
            copies: (0..count).map(copy).collect(),
            raises,
            written: 0,
            acknowledged: BTreeSet::new(),
            led: BTreeMap::from([(3, "copy-0".to_owned())]),
            named: BTreeMap::new(),
            promotes: 0,
            fence: 0,
            wiped: None,
        }
    }

    fn position(&self, name: &str) -> Option<usize> {
        self.copies.iter().position(|copy| copy.name == name)
    }

    /// Crashes a copy; it comes back with its log.
    pub(crate) fn crash(&mut self, now: u64, number: usize, millis: u64) {
        let copy = &mut self.copies[number];
        if copy.up {
            (copy.up, copy.down_since) = (false, now);
            copy.up_at = Some(now + millis);
        }
    }

    /// Crashes a copy, which comes back empty; one at a time.
    pub(crate) fn wipe(&mut self, now: u64, number: usize, millis: u64, gone: bool) -> bool {
        if self.wiped.is_some() || !self.copies[number].up {
            return false;
        }
        self.wiped = Some(number);
        self.crash(now, number, millis);
        let copy = &mut self.copies[number];
        copy.gone = gone;
        copy.leads = false;
        (copy.term, copy.seen) = (0, 0);
        copy.log.clear();
        true
    }

    fn latest(&self) -> u64 {
        self.led.keys().next_back().copied().unwrap_or(0)
    }

    /// Lets databases start, lead, replicate, acknowledge and step down.
    pub(crate) fn pass(&mut self, now: u64) {
        self.start(now);
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
                copy.held = 0;
                copy.sequence = 0;
                copy.announce_at = now;
                copy.leads &= copy.term >= latest;
                copy.named_at = None;
                (copy.gone, copy.leaving) = (false, false);
            }
        }
    }

    fn lead(&mut self, now: u64) {
        let latest = self.latest();
        for number in 0..self.copies.len() {
            let copy = &self.copies[number];
            if !copy.up || copy.named_at.is_none_or(|at| now < at) {
                continue;
            }
            if copy.leads && copy.term == latest {
                self.copies[number].named_at = None;
                continue;
            }
            let log = &copy.log;
            let has = |write: &&u64| log.iter().any(|(_, number)| number == *write);
            let lost: Vec<_> = self
                .acknowledged
                .iter()
                .filter(|write| !has(write))
                .collect();
            assert!(
                lost.is_empty(),
                "{} leads without {} commits from {:?} on at {now}",
                copy.name,
                lost.len(),
                lost.first()
            );
            let term = copy.term.max(latest) + 1;
            let copy = &mut self.copies[number];
            (copy.leads, copy.held, copy.named_at) = (true, 0, None);
            (copy.term, copy.seen) = (term, term);
            let name = copy.name.clone();
            let former = self.led.insert(term, name);
            assert!(former.is_none(), "term {term} has two primaries");
        }
    }

    fn replicate(&mut self, number: usize) {
        let copy = &self.copies[number];
        if !copy.up || copy.leads || copy.held != 0 || copy.isolated {
            return;
        }
        let least = copy.seen;
        let sources = self.copies.iter().enumerate();
        let sources = sources.filter(|(_, copy)| copy.up && copy.leads && !copy.isolated);
        let source = sources.filter(|(_, copy)| copy.term >= least);
        let Some((source, _)) = source.max_by_key(|(_, copy)| copy.term) else {
            return;
        };
        let own = &copy.log;
        let other = &self.copies[source].log;
        // Writes are numbered once, so one that both have at a place ends a common part.
        let agrees = |length: &usize| *length == 0 || own.get(length - 1) == other.get(length - 1);
        let common = own.len().min(other.len());
        let common = (0..=common).rev().find(agrees).unwrap_or(0);
        let next: Vec<_> = other.iter().skip(common).take(3).copied().collect();
        let term = self.copies[source].term;
        let copy = &mut self.copies[number];
        copy.term = copy.term.max(term);
        copy.seen = term;
        copy.log.truncate(common);
        copy.log.extend(next);
    }

    fn acknowledge(&mut self) {
        // A later primary may have taken effect: whoever still waits here has given up.
        let latest = self.latest();
        let leads = |copy: &&Copy| copy.up && copy.leads && copy.term == latest;
        for primary in self.copies.iter().filter(leads) {
            for (index, (term, write)) in primary.log.iter().enumerate().rev() {
                let own = *term == primary.term && *write != 0;
                if !own || self.acknowledged.contains(write) {
                    break;
                }
                let has = |copy: &&Copy| {
                    copy.name != primary.name
                        && copy.up
                        && !copy.leads
                        && copy.held == 0
                        && !copy.isolated
                        && !primary.isolated
                        && copy.log.get(index) == Some(&(*term, *write))
                };
                if self.copies.iter().any(|copy| has(&copy)) {
                    self.acknowledged.insert(*write);
                }
            }
        }
    }

    fn step_down(&mut self, now: u64) {
        let leading = self.copies.iter();
        let leading = leading.filter(|copy| copy.up && copy.leads && !copy.isolated);
        let latest = leading.map(|copy| copy.term).max().unwrap_or(0);
        for copy in &mut self.copies {
            if !copy.leads || !copy.up || copy.isolated || copy.term >= latest {
                copy.sees_later_since = None;
                continue;
            }
            let since = *copy.sees_later_since.get_or_insert(now);
            if now >= since + STEP_DOWN_AFTER {
                copy.leads = false;
                copy.announce_at = now;
            }
        }
    }

    /// Writes at a database that an entry takes for the primary.
    pub(crate) fn write(&mut self, name: &str) {
        let Some(number) = self.position(name) else {
            return;
        };
        let copy = &mut self.copies[number];
        if copy.up && copy.leads && !copy.hidden {
            self.written += 1;
            copy.log.push((copy.term, self.written));
        }
    }

    pub(crate) fn call(
        &mut self,
        now: u64,
        call: &DatabaseCall,
        cut: bool,
        stalls: bool,
    ) -> CallOutcome {
        let Some(number) = self.position(call.upstream.as_str()) else {
            return CallOutcome::Lost;
        };
        if let AdminCall::Promote(promote) = &call.call {
            self.name(now, number, promote.term.0, call.fence);
            if !self.copies[number].up {
                return CallOutcome::Refused;
            }
        }
        let raises = self.raises;
        let copy = &mut self.copies[number];
        if !copy.up || copy.cut || cut {
            return CallOutcome::Lost;
        }
        let taken = match &call.call {
            AdminCall::Fence(_) if stalls => return CallOutcome::Lost,
            AdminCall::Fence(term) => copy.fence(term.0, raises),
            AdminCall::Follow(_) => {
                copy.held = 0;
                true
            }
            AdminCall::State | AdminCall::Await(_) | AdminCall::Promote(_) => true,
        };
        match (copy.deaf, taken) {
            (true, _) => CallOutcome::Lost,
            (false, true) => CallOutcome::State(copy.state()),
            (false, false) => CallOutcome::Refused,
        }
    }

    fn name(&mut self, now: u64, number: usize, term: u64, fence: u64) {
        assert!(fence >= self.fence, "a former leader names somebody");
        self.fence = fence;
        self.promotes += 1;
        let copy = &mut self.copies[number];
        let named = self.named.entry(term).or_insert_with(|| copy.name.clone());
        assert_eq!(*named, copy.name, "two are named under term {term}");
        if copy.up && copy.named_at.is_none() {
            copy.named_at = Some(now + 300 + (term * 97 + now) % 500);
        }
    }

    /// Describes what an entry sees of each database.
    pub(super) fn health(&self, now: u64) -> Vec<HealthReport> {
        let report = |copy: &Copy| {
            let silent_ms = match copy.up {
                true => 0,
                false => now - copy.down_since,
            };
            HealthReport {
                upstream: copy.name.clone(),
                reachable: !copy.hidden && silent_ms < UNREACHABLE_AFTER,
                silent_ms,
                ..HealthReport::default()
            }
        };
        self.copies.iter().map(report).collect()
    }

    fn report(copy: &Copy) -> UpstreamReport {
        let number: u16 = copy
            .name
            .trim_start_matches("copy-")
            .parse()
            .expect("a number");
        let address = format!("127.0.0.1:{}", 6_000 + number);
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
            if copy.cut || now < copy.announce_at || !copy.up && !copy.gone {
                continue;
            }
            copy.announce_at = now + ANNOUNCE_EVERY;
            copy.sequence += 1;
            requests.push(AnnounceRequest {
                report: Some(Self::report(copy)),
                gone: copy.gone,
            });
        }
        requests
    }

    pub(crate) fn mend(&mut self) {
        for copy in &mut self.copies {
            (copy.cut, copy.hidden, copy.isolated) = (false, false, false);
            (copy.deaf, copy.leaving) = (false, false);
            if let Some(at) = &mut copy.up_at {
                *at = 0;
            }
        }
    }
}

impl World {
    /// Returns the primary by the newest view of the leader.
    pub(crate) fn active(&self) -> Option<String> {
        let leader = self.leader()?;
        let view = self.core(leader).fleet().view();
        let active = view.groups.get(GROUP)?.primary.active();
        active.map(ToString::to_string)
    }

    /// Describes what there is when something does not come.
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
        println!("wiped {:?}, promotes {}", group.wiped, group.promotes);
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
                "{}: view {:?}, {:?}, incarnation {}, lease until {} of {}, welcome {}, asks {}",
                entry.name,
                entry.view.number,
                entry.view.groups,
                entry.incarnation,
                entry.lease_until,
                self.now,
                entry.welcome,
                entry.asks
            );
        }
    }

    /// Lets databases work, announce themselves and be written to.
    pub(super) fn pass_direct(&mut self) {
        let now = self.now;
        let Some(group) = &mut self.direct else {
            return;
        };
        group.pass(now);
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
        for entry in &self.entries {
            let view = entry.view.groups.get(GROUP);
            let primary = view.map(|view| &view.primary);
            if let Some(PrimaryState::Active(primary)) = primary
                && now < entry.lease_until
                && !entry.cut
            {
                group.write(primary.as_str());
            }
        }
    }
}
