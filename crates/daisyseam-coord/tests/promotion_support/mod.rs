//! Simulation of databases with a log, one writing instance, and the promotion state machine.

use daisyseam_coord::{
    Moment,
    fleet::{
        CommandOutcome,
        FleetCommand,
        FleetState,
        GroupCommand, //
    },
    promotion::{
        AnnouncedState,
        CallKind,
        CallOutcome,
        GroupFacts,
        GroupPromotion,
        MemberFacts,
        PromotionAction,
        PromotionSettings, //
    }, //
};
use daisyseam_model::{
    GroupId,
    GroupView,
    LogPosition,
    Position,
    PrimaryState,
    Term,
    UpstreamId,
    ViewNumber,
    announce::{
        UpstreamRole,
        UpstreamState, //
    },
    document::CommitPolicy, //
};
use proptest::prelude::*;
use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Duration, //
};

/// An event in the group; indices of databases and calls are taken modulo their count.
#[derive(Clone, Copy, Debug)]
pub(crate) enum GroupEvent {
    AdvanceTime(u64),
    /// A call arrives; its response is lost if the flag is set.
    DeliverCall(usize, bool),
    LoseCall(usize),
    /// The oldest proposal is applied if the flag is set, otherwise it is lost.
    Apply(bool),
    /// The instance adopts the newest view and reports that.
    Confirm,
    /// The instance observes the end of a database's log.
    Observe(usize),
    Write,
    Replicate(usize),
    Disconnect(usize),
    Reconnect(usize),
    Restart(usize),
    Leave(usize),
    CancelLeave(usize),
    /// Another control member becomes leader.
    ChangeLeader,
    /// Control runs for some milliseconds. The flags enable view updates and replication.
    RunControl(u64, bool, bool),
}

pub(crate) fn group_events() -> impl Strategy<Value = GroupEvent> {
    let database = 0_usize..3;
    prop_oneof![
        20 => (1_u64..300).prop_map(GroupEvent::AdvanceTime),
        25 => (any::<usize>(), prop::bool::weighted(0.15)).prop_map(|(call, lost)| GroupEvent::DeliverCall(call, lost)),
        3 => any::<usize>().prop_map(GroupEvent::LoseCall),
        20 => prop::bool::weighted(0.9).prop_map(GroupEvent::Apply),
        15 => Just(GroupEvent::Confirm),
        15 => Just(GroupEvent::Write),
        20 => database.clone().prop_map(GroupEvent::Observe),
        20 => database.clone().prop_map(GroupEvent::Replicate),
        3 => database.clone().prop_map(GroupEvent::Disconnect),
        6 => database.clone().prop_map(GroupEvent::Reconnect),
        2 => database.clone().prop_map(GroupEvent::Restart),
        2 => database.clone().prop_map(GroupEvent::Leave),
        3 => database.prop_map(GroupEvent::CancelLeave),
        2 => Just(GroupEvent::ChangeLeader),
        10 => (1_u64..2_000, any::<bool>(), any::<bool>())
            .prop_map(|(millis, confirm, replicate)| GroupEvent::RunControl(millis, confirm, replicate)),
    ]
}

#[derive(Clone, Debug)]
struct Database {
    name: UpstreamId,
    /// Term and number of each write; number 0 marks the start of a term.
    log: Vec<(Term, u64)>,
    promised: Term,
    role: UpstreamRole,
    following: Option<(Term, usize)>,
    disconnected_since: Option<Moment>,
    leaving: bool,
}

impl Database {
    fn end(&self) -> LogPosition {
        LogPosition {
            term: self.log.last().map_or(Term(0), |(term, _)| *term),
            position: Position(self.log.len() as u64),
        }
    }

    fn state(&self) -> UpstreamState {
        UpstreamState {
            promised: self.promised,
            end: self.end(),
            role: self.role,
        }
    }

    fn promise(&mut self, term: Term) -> bool {
        if term < self.promised {
            return false;
        }
        if term > self.promised {
            self.promised = term;
            self.role = UpstreamRole::Detached;
            self.following = None;
        }
        true
    }
}

/// The group, its databases and the acknowledged writes.
pub(crate) struct GroupWorld {
    group: GroupId,
    databases: Vec<Database>,
    fleet: FleetState,
    promotion: GroupPromotion,
    now: Moment,
    epoch: u64,
    calls: Vec<(u64, PromotionAction, Term)>,
    proposals: Vec<GroupCommand>,
    changed: ViewNumber,
    instance_view: (ViewNumber, Option<GroupView>),
    written: u64,
    /// Log ends of the databases as the instance last observed them.
    observed_ends: Vec<LogPosition>,
    unacknowledged: Vec<(Term, usize, u64, u64)>,
    acknowledged: BTreeSet<u64>,
    promoted: BTreeMap<Term, UpstreamId>,
    lose_promotes: bool,
    drained: bool,
}

impl GroupWorld {
    pub(crate) fn new(count: usize) -> Self {
        let database = |number: usize| Database {
            name: format!("db-{number}").parse().expect("a sound name"),
            log: vec![(Term(1), 0)],
            promised: Term(1),
            role: if number == 0 {
                UpstreamRole::Primary
            } else {
                UpstreamRole::Replica
            },
            following: None,
            disconnected_since: None,
            leaving: false,
        };
        Self {
            group: "bookings-db".parse().expect("a sound name"),
            databases: (0..count).map(database).collect(),
            fleet: FleetState::default(),
            promotion: GroupPromotion::new(PromotionSettings::default()),
            now: Moment::ORIGIN,
            epoch: 0,
            calls: Vec::new(),
            proposals: Vec::new(),
            changed: ViewNumber(0),
            instance_view: (ViewNumber(0), None),
            written: 0,
            observed_ends: vec![LogPosition::default(); count],
            unacknowledged: Vec::new(),
            acknowledged: BTreeSet::new(),
            promoted: BTreeMap::new(),
            lose_promotes: false,
            drained: false,
        }
    }

    /// Returns the active primary in the newest view.
    pub(crate) fn active(&self) -> Option<usize> {
        let view = self.fleet.view().groups.get(&self.group)?;
        self.position(view.primary.active()?)
    }

    pub(crate) fn follows(&self, database: usize) -> bool {
        let following = self.databases[database].following;
        following.is_some_and(|(_, primary)| Some(primary) == self.active())
    }

    pub(crate) fn promotions(&self) -> usize {
        self.promoted.len()
    }

    pub(crate) fn drained(&self) -> bool {
        self.drained
    }

    pub(crate) fn lose_promote_answers(&mut self, lose: bool) {
        self.lose_promotes = lose;
    }

    /// Lets time pass while calls, proposals, view updates and replication succeed.
    pub(crate) fn pass(&mut self, millis: u64) {
        self.run_control(millis, true, true);
    }

    fn run_control(&mut self, millis: u64, confirm: bool, replicate: bool) {
        for _ in 0..millis / 10 {
            self.run(GroupEvent::AdvanceTime(10));
            while !self.calls.is_empty() {
                let promote = matches!(self.calls[0].1, PromotionAction::Promote(..));
                self.run(GroupEvent::DeliverCall(0, promote && self.lose_promotes));
            }
            while !self.proposals.is_empty() {
                self.run(GroupEvent::Apply(true));
            }
            if confirm {
                self.run(GroupEvent::Confirm);
            }
            for database in 0..self.databases.len() {
                if replicate {
                    self.run(GroupEvent::Replicate(database));
                    self.run(GroupEvent::Observe(database));
                }
            }
        }
    }

    /// Lets time pass until a reachable primary is active.
    pub(crate) fn settle(&mut self) {
        for _ in 0..100 {
            self.pass(100);
            let active = self.active();
            if active.is_some_and(|active| self.databases[active].disconnected_since.is_none()) {
                return;
            }
        }
        panic!("no primary within ten seconds");
    }

    /// Repairs all faults and checks that writes succeed with nothing lost.
    pub(crate) fn heal(&mut self) {
        for database in 0..self.databases.len() {
            self.run(GroupEvent::Reconnect(database));
            self.run(GroupEvent::CancelLeave(database));
        }
        self.pass(3_000);
        self.settle();
        let before = self.acknowledged.len();
        self.run(GroupEvent::Write);
        self.pass(1_000);
        assert!(
            self.acknowledged.len() > before,
            "a repaired group must accept writes"
        );
    }

    pub(crate) fn run(&mut self, event: GroupEvent) {
        let count = self.databases.len();
        match event {
            GroupEvent::AdvanceTime(millis) => {
                self.now = self.now + Duration::from_millis(millis);
                self.step();
            }
            GroupEvent::DeliverCall(call, lost) => self.deliver_call(call, lost),
            GroupEvent::LoseCall(call) => self.lose_call(call),
            GroupEvent::Apply(taken) => self.apply(taken),
            GroupEvent::Confirm => {
                let view = self.fleet.view();
                self.instance_view = (view.number, view.groups.get(&self.group).cloned());
                self.acknowledge();
            }
            GroupEvent::Observe(database) => {
                let database = database % count;
                if self.databases[database].disconnected_since.is_none() {
                    self.observed_ends[database] = self.databases[database].end();
                    self.acknowledge();
                }
            }
            GroupEvent::RunControl(millis, confirm, replicate) => {
                self.run_control(millis, confirm, replicate);
            }
            GroupEvent::Write => self.write(),
            GroupEvent::Replicate(database) => self.replicate(database % count),
            GroupEvent::Disconnect(database) => {
                let cut = &mut self.databases[database % count].disconnected_since;
                *cut = cut.or(Some(self.now));
            }
            GroupEvent::Reconnect(database) => {
                self.databases[database % count].disconnected_since = None;
            }
            GroupEvent::Restart(database) => {
                // The promised term and the log are durable, the role is not.
                let database = &mut self.databases[database % count];
                database.role = UpstreamRole::Detached;
                database.following = None;
            }
            GroupEvent::Leave(database) => self.databases[database % count].leaving = true,
            GroupEvent::CancelLeave(database) => self.databases[database % count].leaving = false,
            GroupEvent::ChangeLeader => {
                self.promotion = GroupPromotion::new(PromotionSettings::default());
                self.epoch += 1;
                self.proposals.clear();
                self.changed = self.fleet.view().number;
            }
        }
    }

    fn position(&self, name: &UpstreamId) -> Option<usize> {
        self.databases
            .iter()
            .position(|database| &database.name == name)
    }

    fn step(&mut self) {
        let members: Vec<MemberFacts> = self
            .databases
            .iter()
            .map(|database| self.facts(database))
            .collect();
        let view = self.fleet.view().groups.get(&self.group).cloned();
        let facts = GroupFacts {
            group: &self.group,
            view: view.as_ref(),
            members: &members,
            expected: self.databases.len(),
            chosen: None,
            former: None,
            commit: CommitPolicy::Majority,
            copies: 0,
            confirmed: self.instance_view.0 >= self.changed,
            open_transactions: (self.instance_view.0 >= self.changed).then_some(0),
        };
        let term = view.as_ref().map_or(Term(0), |view| view.term);
        for action in self.promotion.step(self.now, facts) {
            if let PromotionAction::Propose(command) = action {
                self.proposals.push(command);
            } else {
                self.calls.push((self.epoch, action, term));
            }
        }
    }

    fn facts(&self, database: &Database) -> MemberFacts {
        let silence = database
            .disconnected_since
            .map_or(Duration::ZERO, |since| self.now.since(since));
        let announced = AnnouncedState {
            end: database.end(),
            primary: database.role == UpstreamRole::Primary,
        };
        MemberFacts {
            upstream: database.name.clone(),
            leaving: database.leaving,
            in_service: true,
            silence,
            reported_unreachable: false,
            unreachable_from_half: false,
            reachable_from_most: false,
            born_ms: 0,
            voter: true,
            caught_up: true,
            gone: false,
            vacated: false,
            successor: None,
            reported_end: None,
            announced: Some((announced, database.disconnected_since.unwrap_or(self.now))),
        }
    }

    fn apply(&mut self, taken: bool) {
        if self.proposals.is_empty() {
            return;
        }
        let command = self.proposals.remove(0);
        if !taken {
            return;
        }
        let before = self.fleet.view().groups.get(&self.group).cloned();
        let answer = self.fleet.apply(&FleetCommand::Group(command.clone()));
        if answer != CommandOutcome::Done {
            return;
        }
        self.changed = self.fleet.view().number;
        let term = before.map_or(Term(0), |before| before.term);
        assert!(command.term >= term, "the term decreases");
        match &command.primary {
            PrimaryState::Active(primary) => self.check_primary(primary, command.term),
            PrimaryState::Draining(_) => self.drained = true,
            PrimaryState::Fenced => assert!(command.term > term, "a fence without a new term"),
        }
    }

    fn check_primary(&self, primary: &UpstreamId, term: Term) {
        let database = self.position(primary).expect("a known database");
        let log = &self.databases[database].log;
        let has = |write: &u64| log.iter().any(|(_, number)| number == write);
        let lost: Vec<_> = self
            .acknowledged
            .iter()
            .filter(|write| !has(write))
            .collect();
        assert!(
            lost.is_empty(),
            "{primary} in term {} lacks {lost:?}",
            term.0
        );
        assert_eq!(
            self.promoted.get(&term),
            Some(primary),
            "the active primary must have been promoted in its term"
        );
    }

    fn lose_call(&mut self, call: usize) {
        if !self.calls.is_empty() {
            let call = self.calls.remove(call % self.calls.len());
            self.answer(&call, &CallOutcome::Lost);
        }
    }

    fn deliver_call(&mut self, call: usize, lost: bool) {
        if self.calls.is_empty() {
            return;
        }
        let call = self.calls.remove(call % self.calls.len());
        let answer = self.execute(&call.1);
        let answer = if lost { CallOutcome::Lost } else { answer };
        self.answer(&call, &answer);
    }

    fn answer(
        &mut self,
        (epoch, action, asked): &(u64, PromotionAction, Term),
        answer: &CallOutcome,
    ) {
        if *epoch != self.epoch {
            return;
        }
        let (upstream, kind, term) = match action {
            PromotionAction::Propose(_) | PromotionAction::Choose(_) => return,
            PromotionAction::State(upstream) => (upstream, CallKind::State, asked),
            PromotionAction::Await(upstream, _) => (upstream, CallKind::Await, asked),
            PromotionAction::Fence(upstream, term) => (upstream, CallKind::Fence, term),
            PromotionAction::Promote(upstream, term, _) => (upstream, CallKind::Promote, term),
            PromotionAction::Follow { upstream, term, .. } => (upstream, CallKind::Follow, term),
        };
        self.promotion
            .handle_outcome(self.now, upstream, kind, *term, answer);
        self.step();
    }

    fn execute(&mut self, action: &PromotionAction) -> CallOutcome {
        if let PromotionAction::Promote(upstream, term, _) = action {
            let asked = self
                .promoted
                .entry(*term)
                .or_insert_with(|| upstream.clone());
            assert_eq!(
                asked, upstream,
                "term {} is assigned to two databases",
                term.0
            );
        }
        let (PromotionAction::State(upstream)
        | PromotionAction::Await(upstream, _)
        | PromotionAction::Fence(upstream, _)
        | PromotionAction::Promote(upstream, ..)
        | PromotionAction::Follow { upstream, .. }) = action
        else {
            return CallOutcome::Lost;
        };
        let number = self.position(upstream).expect("a known database");
        if self.databases[number].disconnected_since.is_some() {
            return CallOutcome::Lost;
        }
        let leads = match action {
            PromotionAction::Follow { primary, .. } => self.position(primary),
            _ => None,
        };
        let database = &mut self.databases[number];
        let taken = match action {
            PromotionAction::Fence(_, term) => database.promise(*term),
            PromotionAction::Promote(_, term, end) => {
                let done = database.role == UpstreamRole::Primary && database.promised == *term;
                let fits = done || database.end() == *end;
                let taken = fits && database.promise(*term);
                if taken && !done {
                    database.role = UpstreamRole::Primary;
                    database.log.push((*term, 0));
                }
                taken
            }
            PromotionAction::Follow {
                term,
                lineage_start,
                ..
            } => {
                let leading = database.role == UpstreamRole::Primary && database.promised == *term;
                let taken = !leading && database.promise(*term);
                if taken {
                    let kept = usize::try_from(lineage_start.position.0).expect("it fits");
                    let older = database.end().term < *term;
                    if older && database.log.len() > kept {
                        database.log.truncate(kept);
                    }
                    database.role = UpstreamRole::Replica;
                    database.following = leads.map(|primary| (*term, primary));
                }
                taken
            }
            _ => true,
        };
        match taken {
            true => CallOutcome::State(database.state()),
            false => CallOutcome::Refused,
        }
    }

    fn write(&mut self) {
        let Some(view) = &self.instance_view.1 else {
            return;
        };
        let Some(primary) = view.primary.active().and_then(|name| self.position(name)) else {
            return;
        };
        let term = view.term;
        let database = &mut self.databases[primary];
        if database.role == UpstreamRole::Primary
            && database.promised == term
            && database.disconnected_since.is_none()
        {
            self.written += 1;
            database.log.push((term, self.written));
            let position = database.end().position.0;
            self.unacknowledged
                .push((term, primary, position, self.written));
        }
        self.acknowledge();
    }

    /// Acknowledges writes that a majority has in exactly the term of the instance's view.
    fn acknowledge(&mut self) {
        let Some(view) = self.instance_view.1.clone() else {
            return;
        };
        let majority = self.databases.len() / 2 + 1;
        let active = view.primary.active().and_then(|name| self.position(name));
        // Draining lets writes that started in this term finish.
        let draining = matches!(&view.primary, PrimaryState::Draining(_));
        for (term, primary, position, write) in self.unacknowledged.clone() {
            let holds = view.term == term && (active == Some(primary) || draining);
            let has = |end: &&LogPosition| end.term == term && end.position.0 >= position;
            if holds && self.observed_ends.iter().filter(has).count() >= majority {
                let newest = &self.fleet.view().groups[&self.group];
                let replaced = newest.term > term && newest.primary.active().is_some();
                assert!(
                    !replaced,
                    "write {write} is acknowledged by a replaced primary"
                );
                self.acknowledged.insert(write);
            }
        }
        let acknowledged = &self.acknowledged;
        self.unacknowledged
            .retain(|(term, _, _, write)| *term >= view.term && !acknowledged.contains(write));
    }

    fn replicate(&mut self, number: usize) {
        let Some((term, primary)) = self.databases[number].following else {
            return;
        };
        let source = &self.databases[primary];
        let cut = source.disconnected_since.is_some()
            || self.databases[number].disconnected_since.is_some();
        if cut || source.promised != term || source.role != UpstreamRole::Primary {
            return;
        }
        let source = source.log.clone();
        let log = &mut self.databases[number].log;
        // Entries that are not part of the primary's history are removed, as by rewinding a database.
        let common = log
            .iter()
            .zip(&source)
            .take_while(|(own, other)| own == other)
            .count();
        log.truncate(common);
        if let Some(next) = source.get(log.len()) {
            log.push(*next);
        }
    }
}
