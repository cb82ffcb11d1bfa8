//! Drives the promotion state machines: passes them the facts on each group and executes their
//! actions.

use super::{
    ControlCore,
    DatabaseCall,
    holders::is_reached_directly,
    leader::LeaderState, //
};
use crate::admin::AdminCall;
use daisyseam_coord::{
    Moment,
    fleet::{
        FleetCommand,
        FleetState, //
    },
    promotion::{
        CallKind,
        GroupFacts,
        GroupPromotion,
        MemberFacts,
        PromotionAction, //
    }, //
};
use daisyseam_model::{
    FleetView,
    GroupId,
    GroupView,
    InstanceId,
    InstanceView,
    PrimaryState,
    Term,
    UpstreamId,
    UpstreamView,
    announce::{
        FollowCall,
        PromoteCall, //
    },
    document::CommitPolicy, //
};
use std::{
    collections::{
        BTreeMap,
        HashSet, //
    },
    sync::Arc,
    time::Duration, //
};

/// Time between two reconciliation rounds while every change is reported and none is in progress.
const RECONCILE_INTERVAL_IDLE: Duration = Duration::from_millis(250);
/// Time between two reconciliation rounds while some state has to be polled.
const RECONCILE_INTERVAL_POLLING: Duration = Duration::from_millis(50);
/// Time between two reconciliation rounds while a primary changes.
const RECONCILE_INTERVAL_FAILOVER: Duration = Duration::from_millis(10);
/// Maximum age of a health report that counts as current.
const HEALTH_REPORT_MAX_AGE: Duration = Duration::from_millis(1_000);
/// Time without a heartbeat after which a holder's report on a database no longer counts.
const HOLDER_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after a departure within which the next database at the address is expected to announce itself.
const SUCCESSOR_TIMEOUT: Duration = Duration::from_secs(10);

impl ControlCore {
    pub(super) fn schedule_reconcile(&mut self, now: Moment) {
        let settled = |group: &GroupView| matches!(group.primary, PrimaryState::Active(_));
        let moving = !self.fleet.view().groups.values().all(settled);
        if let Some(leader) = &mut self.leader {
            leader.reconcile_at = now
                + match (moving, leader.is_idle()) {
                    (true, _) => RECONCILE_INTERVAL_FAILOVER,
                    (false, false) => RECONCILE_INTERVAL_POLLING,
                    (false, true) => RECONCILE_INTERVAL_IDLE,
                };
        }
    }

    pub(super) fn step_groups(&mut self, now: Moment) {
        let view = Arc::clone(self.fleet.view());
        let (Some(document), Some(leader)) = (&view.document, &self.leader) else {
            return;
        };
        let mut members: BTreeMap<&GroupId, Vec<MemberFacts>> = BTreeMap::new();
        let live = leader.live_instances(now, &view);
        for (name, upstream) in &view.upstreams {
            let facts = leader.member_facts(now, &self.fleet, &live, name, upstream);
            members.entry(&upstream.group).or_default().push(facts);
        }
        for group in document.groups.keys() {
            let members = members.remove(group).unwrap_or_default();
            self.step_promotion(now, &view, group, &members);
        }
    }

    pub(super) fn step_group(&mut self, now: Moment, group: &GroupId) {
        let view = Arc::clone(self.fleet.view());
        let Some(leader) = &self.leader else {
            return;
        };
        let live = leader.live_instances(now, &view);
        let members: Vec<MemberFacts> = view
            .members(group)
            .map(|(name, upstream)| leader.member_facts(now, &self.fleet, &live, name, upstream))
            .collect();
        self.step_promotion(now, &view, group, &members);
    }

    fn step_promotion(
        &mut self,
        now: Moment,
        view: &FleetView,
        group: &GroupId,
        members: &[MemberFacts],
    ) {
        let document = view.document.as_ref();
        let entry = document.and_then(|document| document.groups.get(group));
        let acting = self.is_acting_leader(now);
        let (Some(entry), Some(leader), true) = (entry, &mut self.leader, acting) else {
            return;
        };
        let copies = self.fleet.guaranteed_copies(group);
        let state = view.groups.get(group);
        let records_copies = matches!(entry.commit, CommitPolicy::Replicas(_));
        if state.is_none() && records_copies && copies.is_none() {
            // The record of copies begins before any commit can be acknowledged.
            return;
        }
        let changed = leader.group_changes.get(group).copied();
        let changed = changed.unwrap_or(leader.start_view);
        // `confirmed` and `open_transactions` iterate over all instances, and neither is needed
        // while a primary is active.
        let moving = state.is_some_and(|state| state.primary.active().is_none());
        let open = state.filter(|_| moving);
        let facts = GroupFacts {
            group,
            view: state,
            members,
            expected: entry.databases,
            chosen: self.fleet.chosen_primary(group),
            former: self.fleet.former_primary(group),
            commit: entry.commit,
            copies: copies.map_or(0, |guarantee| guarantee.copies),
            confirmed: moving && leader.leases.is_change_complete(now, changed),
            open_transactions: open
                .and_then(|state| leader.open_transaction_count(view, group, state.term)),
        };
        let settings = self.settings.promotion;
        let promotion = leader.groups.entry(group.clone());
        let promotion = promotion.or_insert_with(|| GroupPromotion::new(settings));
        let actions = promotion.step(now, facts);
        let term = state.map_or_else(Term::default, |state| state.term);
        for action in actions {
            self.execute_action(now, view, group, term, action);
        }
    }

    fn execute_action(
        &mut self,
        now: Moment,
        view: &FleetView,
        group: &GroupId,
        term: Term,
        action: PromotionAction,
    ) {
        let (upstream, kind, call) = match action {
            PromotionAction::Propose(command) => {
                self.propose(now, &FleetCommand::Group(command));
                return;
            }
            PromotionAction::Choose(command) => {
                self.propose(now, &FleetCommand::Choose(command));
                return;
            }
            PromotionAction::State(upstream) => (upstream, CallKind::State, AdminCall::State),
            PromotionAction::Await(upstream, at) => {
                (upstream, CallKind::Await, AdminCall::Await(at))
            }
            PromotionAction::Fence(upstream, term) => {
                (upstream, CallKind::Fence, AdminCall::Fence(term))
            }
            PromotionAction::Promote(upstream, term, end) => {
                let promotion = self
                    .leader
                    .as_ref()
                    .and_then(|leader| leader.groups.get(group));
                match promotion.and_then(GroupPromotion::basis) {
                    Some(basis) => log::warn!(
                        "group {group}: promoting {upstream} to primary in term {term}: {basis}"
                    ),
                    None => {
                        log::warn!("group {group}: promoting {upstream} to primary in term {term}");
                    }
                }
                let call = AdminCall::Promote(PromoteCall { term, end });
                (upstream, CallKind::Promote, call)
            }
            PromotionAction::Follow {
                upstream,
                term,
                primary,
                lineage_start,
            } => {
                let Some(leading) = view.upstreams.get(&primary) else {
                    return;
                };
                let call = AdminCall::Follow(FollowCall {
                    term,
                    primary,
                    admin_address: leading.admin_address,
                    lineage_start,
                });
                (upstream, CallKind::Follow, call)
            }
        };
        self.call_database(view, group, upstream, (kind, term), call);
    }

    /// Queues a call to a database. Returns whether the view contains the database.
    pub(super) fn call_database(
        &mut self,
        view: &FleetView,
        group: &GroupId,
        upstream: UpstreamId,
        (kind, term): (CallKind, Term),
        call: AdminCall,
    ) -> bool {
        let Some(known) = view.upstreams.get(&upstream) else {
            return false;
        };
        self.output.calls.push(DatabaseCall {
            group: group.clone(),
            upstream,
            address: known.admin_address,
            kind,
            term,
            call,
            fence: self.log.term().0,
        });
        true
    }
}

/// Instances that were heard recently; looked up once a round for all databases.
type LiveInstances<'a> = HashSet<&'a InstanceId>;

impl LeaderState {
    /// Returns whether the state can only change through reports, so that nothing has to be polled.
    fn is_idle(&self) -> bool {
        let idle = self.groups.values().all(GroupPromotion::is_idle);
        idle && self.holder_released.is_empty() && self.surveys.is_empty()
    }

    fn member_facts(
        &self,
        now: Moment,
        fleet: &FleetState,
        live: &LiveInstances<'_>,
        name: &UpstreamId,
        upstream: &UpstreamView,
    ) -> MemberFacts {
        let view = fleet.view();
        let announced = self.announced.get(name);
        let announced_silence =
            now.since(announced.map_or(self.started_at, |known| known.announced_at));
        // The announcement of a newer process may not be in the view yet.
        let born_ms = announced.map_or(0, |known| known.command.born_ms);
        let born_ms = born_ms.max(upstream.born_ms);
        let reports = match is_reached_directly(view, upstream) {
            true => self.instance_reports(now, live, name),
            false => self.holder_report(now, view, name, upstream),
        };
        let gone = self.is_gone(name, upstream.born_ms);
        let successor = gone.then(|| successor_of(view, name, upstream)).flatten();
        MemberFacts {
            upstream: name.clone(),
            leaving: upstream.leaving,
            in_service: view.in_service(&upstream.data_centre),
            silence: announced_silence.min(reports.silence),
            reported_unreachable: reports.unreachable,
            unreachable_from_half: reports.unreachable_from_half,
            reachable_from_most: reports.reachable_from_most,
            born_ms,
            voter: fleet.is_voter(name),
            caught_up: fleet.has_caught_up(name) && born_ms == upstream.born_ms,
            gone,
            vacated: gone && (successor.is_some() || self.is_overdue(now, name)),
            successor: successor.cloned(),
            reported_end: self
                .reports_on(name)
                .filter_map(|(_, note)| note.log_end)
                .max(),
            announced: announced.map(|known| (known.state, known.announced_at)),
        }
    }

    /// Returns whether a database departed so long ago that no other one is expected at its address.
    fn is_overdue(&self, now: Moment, name: &UpstreamId) -> bool {
        let departed = self.departed.get(name);
        departed.is_some_and(|gone| now.since(gone.at) >= SUCCESSOR_TIMEOUT)
    }

    /// Returns whether the current process of a database has announced that it is gone.
    pub(super) fn is_gone(&self, name: &UpstreamId, born_ms: u64) -> bool {
        let departed = self.departed.get(name);
        departed.is_some_and(|gone| born_ms <= gone.born_ms)
    }

    /// Returns the health of a database by its holder's report, if the holder itself is heard.
    fn holder_report(
        &self,
        now: Moment,
        view: &FleetView,
        name: &UpstreamId,
        upstream: &UpstreamView,
    ) -> ReportedHealth {
        let holder = upstream.holder.as_ref();
        let notes = self.health.get(name);
        let note = holder.and_then(|holder| notes?.get(holder));
        let instance = holder.and_then(|holder| view.instances.get(holder));
        let (Some(note), Some(instance)) = (note, instance) else {
            return ReportedHealth::default();
        };
        let silence = self.leases.silence(now, instance.incarnation);
        if silence > HOLDER_TIMEOUT {
            return ReportedHealth::default();
        }
        let unanswered = now.since(note.answered_at);
        ReportedHealth {
            silence: match note.reachable {
                true => silence,
                false => Duration::MAX,
            },
            unreachable: !note.reachable && unanswered > HOLDER_TIMEOUT,
            ..ReportedHealth::default()
        }
    }

    /// Returns the instances that were heard within the duration of a lease.
    fn live_instances<'a>(&self, now: Moment, view: &'a FleetView) -> LiveInstances<'a> {
        let lease = self.leases.max_duration();
        let is_live =
            |instance: &InstanceView| self.leases.silence(now, instance.incarnation) < lease;
        let instances = view.instances.iter();
        instances
            .filter(|(_, instance)| is_live(instance))
            .map(|(name, _)| name)
            .collect()
    }

    /// Returns the health of a database by the reports of all live instances.
    fn instance_reports(
        &self,
        now: Moment,
        live: &LiveInstances<'_>,
        name: &UpstreamId,
    ) -> ReportedHealth {
        let reports = self.reports_on(name);
        let reports = reports.filter(|(instance, _)| live.contains(instance));
        let live = live.len();
        let unreachable = reports.clone().filter(|(_, note)| !note.reachable).count();
        let reachable = reports.clone().count() - unreachable;
        let recent =
            reports.filter(|(_, note)| now.since(note.reported_at) < HEALTH_REPORT_MAX_AGE);
        let (mut recent_unreachable, mut recent_reachable) = (0, 0);
        for (_, note) in recent {
            *match note.reachable {
                true => &mut recent_reachable,
                false => &mut recent_unreachable,
            } += 1;
        }
        ReportedHealth {
            silence: Duration::MAX,
            unreachable: recent_unreachable > recent_reachable
                || unreachable >= live.div_ceil(3).max(1),
            unreachable_from_half: unreachable * 2 >= live.max(1),
            reachable_from_most: reachable > unreachable,
        }
    }

    /// Returns the number of open transactions of a draining group, if every instance reported it.
    fn open_transaction_count(&self, view: &FleetView, group: &GroupId, term: Term) -> Option<u64> {
        let mut sum = 0;
        for instance in view.instances.values() {
            let key = (instance.incarnation, group.clone());
            let note = self
                .open_transactions
                .get(&key)
                .filter(|note| note.term == term);
            sum += note?.count;
        }
        Some(sum)
    }
}

/// Returns the last database that is listed at the address of a departed one after it.
fn successor_of<'a>(
    view: &'a FleetView,
    name: &UpstreamId,
    upstream: &UpstreamView,
) -> Option<&'a UpstreamId> {
    let later = view.upstreams.iter().filter(|(other, known)| {
        *other != name && known.address == upstream.address && known.born_ms > upstream.born_ms
    });
    let successor = later.max_by_key(|(_, known)| known.born_ms);
    successor.map(|(name, _)| name)
}

/// Health of a database, as reported by instances.
#[derive(Clone, Copy, Debug)]
struct ReportedHealth {
    /// Time since an instance that reaches the database was last heard.
    silence: Duration,
    /// Whether the holder cannot reach it, or, without a holder, whether enough instances cannot.
    unreachable: bool,
    /// Whether at least half of the live instances cannot reach it.
    unreachable_from_half: bool,
    /// Whether most of the instances that report on it reach it.
    reachable_from_most: bool,
}

impl Default for ReportedHealth {
    fn default() -> Self {
        Self {
            silence: Duration::MAX,
            unreachable: false,
            unreachable_from_half: false,
            reachable_from_most: false,
        }
    }
}
