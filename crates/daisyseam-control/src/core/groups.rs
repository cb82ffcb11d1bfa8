//! The groups' primaries: what is known goes to the promotion machines, what they want goes out.

use super::{
    ControlCore,
    DatabaseCall,
    holders::is_reached_directly,
    leader::LeaderWork, //
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
    InstanceView,
    PrimaryState,
    Term,
    UpstreamId,
    UpstreamView,
    announce::{
        FollowCall,
        PromoteCall, //
    }, //
};
use std::{
    collections::BTreeMap,
    sync::Arc,
    time::Duration, //
};

/// Time between two rounds of upkeep when nothing is under way and every change is told.
const UPKEEP_IDLE: Duration = Duration::from_millis(250);
/// Time between two rounds of upkeep when something has to be looked at.
const UPKEEP_WATCHFUL: Duration = Duration::from_millis(50);
/// Time between two rounds of upkeep while a primary changes.
const UPKEEP_BUSY: Duration = Duration::from_millis(10);
/// Age up to which the word of an instance counts as of now.
const WORD_TIME: Duration = Duration::from_millis(1_000);
/// Silence of a holder after which its word about a database no longer counts.
const HOLDER_SILENCE: Duration = Duration::from_millis(500);

impl ControlCore {
    pub(super) fn schedule_upkeep(&mut self, now: Moment) {
        let settled = |group: &GroupView| matches!(group.primary, PrimaryState::Active(_));
        let moving = !self.fleet.view().groups.values().all(settled);
        if let Some(leader) = &mut self.leader {
            leader.upkeep_at = now
                + match (moving, leader.is_quiet()) {
                    (true, _) => UPKEEP_BUSY,
                    (false, false) => UPKEEP_WATCHFUL,
                    (false, true) => UPKEEP_IDLE,
                };
        }
    }

    pub(super) fn step_groups(&mut self, now: Moment) {
        let view = Arc::clone(self.fleet.view());
        let (Some(document), Some(leader)) = (&view.document, &self.leader) else {
            return;
        };
        let mut members: BTreeMap<&GroupId, Vec<MemberFacts>> = BTreeMap::new();
        for (name, upstream) in &view.upstreams {
            let facts = leader.member_facts(now, &self.fleet, name, upstream);
            members.entry(&upstream.group).or_default().push(facts);
        }
        for group in document.groups.keys() {
            let members = members.remove(group).unwrap_or_default();
            self.step_with(now, &view, group, &members);
        }
    }

    pub(super) fn step_group(&mut self, now: Moment, group: &GroupId) {
        let view = Arc::clone(self.fleet.view());
        let Some(leader) = &self.leader else {
            return;
        };
        let members: Vec<MemberFacts> = view
            .members(group)
            .map(|(name, upstream)| leader.member_facts(now, &self.fleet, name, upstream))
            .collect();
        self.step_with(now, &view, group, &members);
    }

    fn step_with(
        &mut self,
        now: Moment,
        view: &FleetView,
        group: &GroupId,
        members: &[MemberFacts],
    ) {
        let document = view.document.as_ref();
        let entry = document.and_then(|document| document.groups.get(group));
        let in_charge = self.is_in_charge(now);
        let (Some(entry), Some(leader), true) = (entry, &mut self.leader, in_charge) else {
            return;
        };
        let changed = leader.changed.get(group).copied();
        let changed = changed.unwrap_or(leader.begun_view);
        let state = view.groups.get(group);
        // The machine asks for neither while a primary is active, and both cost a look at everybody.
        let moving = state.is_some_and(|state| state.primary.active().is_none());
        let open = state.filter(|_| moving);
        let facts = GroupFacts {
            group,
            view: state,
            members,
            expected: entry.databases,
            vacant: self.fleet.vacant().filter(|(_, of)| *of == group).count(),
            commit: entry.commit,
            confirmed: moving && leader.leases.is_change_complete(now, changed),
            open_transactions: open.and_then(|state| leader.open(view, group, state.term)),
        };
        let settings = self.settings.promotion;
        let promotion = leader.groups.entry(group.clone());
        let promotion = promotion.or_insert_with(|| GroupPromotion::new(settings));
        let actions = promotion.step(now, facts);
        let term = state.map_or_else(Term::default, |state| state.term);
        for action in actions {
            self.act(now, view, group, term, action);
        }
    }

    fn act(
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
            PromotionAction::State(upstream) => (upstream, CallKind::State, AdminCall::State),
            PromotionAction::Await(upstream, at) => {
                (upstream, CallKind::Await, AdminCall::Await(at))
            }
            PromotionAction::Fence(upstream, term) => {
                (upstream, CallKind::Fence, AdminCall::Fence(term))
            }
            PromotionAction::Promote(upstream, term, end) => {
                log::warn!("group {group}: {upstream} is asked to be primary in term {term}");
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

    /// Makes a call to a database; returns whether it is known.
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

impl LeaderWork {
    /// Returns whether nothing changes but by what is told.
    fn is_quiet(&self) -> bool {
        let quiet = self.groups.values().all(GroupPromotion::is_quiet);
        quiet && self.released.is_empty() && self.surveys.is_empty()
    }

    fn member_facts(
        &self,
        now: Moment,
        fleet: &FleetState,
        name: &UpstreamId,
        upstream: &UpstreamView,
    ) -> MemberFacts {
        let view = fleet.view();
        let announced = self.announced.get(name);
        let announced_silence = now.since(announced.map_or(self.begun, |known| known.at));
        // What a later process announced may not be in the view yet.
        let born_ms = announced.map_or(0, |known| known.command.born_ms);
        let born_ms = born_ms.max(upstream.born_ms);
        let words = match is_reached_directly(view, upstream) {
            true => self.instance_reports(now, view, name),
            false => self.holder_report(now, view, name, upstream),
        };
        MemberFacts {
            upstream: name.clone(),
            leaving: upstream.leaving,
            in_service: view.in_service(&upstream.data_centre),
            silence: announced_silence.min(words.silence),
            denied: words.denied,
            shunned: words.shunned,
            vouched: words.vouched,
            born_ms,
            settled: fleet.is_settled(name) && born_ms == upstream.born_ms,
            gone: self.is_gone(name, upstream.born_ms),
            least: self.reports_on(name).filter_map(|(_, note)| note.end).max(),
            announced: announced.map(|known| (known.state, known.at)),
        }
    }

    /// Returns whether the present process of a database said that it is gone.
    pub(super) fn is_gone(&self, name: &UpstreamId, born_ms: u64) -> bool {
        let departed = self.departed.get(name);
        departed.is_some_and(|(born, _)| born_ms <= *born)
    }

    /// Returns what the present holder of a database says, as long as it is heard itself.
    fn holder_report(
        &self,
        now: Moment,
        view: &FleetView,
        name: &UpstreamId,
        upstream: &UpstreamView,
    ) -> InstanceReports {
        let holder = upstream.holder.as_ref();
        let notes = self.health.get(name);
        let note = holder.and_then(|holder| notes?.get(holder));
        let instance = holder.and_then(|holder| view.instances.get(holder));
        let (Some(note), Some(instance)) = (note, instance) else {
            return InstanceReports::default();
        };
        let silence = self.leases.silence(now, instance.incarnation);
        if silence > HOLDER_SILENCE {
            return InstanceReports::default();
        }
        let unanswered = now.since(note.answered_at);
        InstanceReports {
            silence: match note.reachable {
                true => silence,
                false => Duration::MAX,
            },
            denied: !note.reachable && unanswered > HOLDER_SILENCE,
            ..InstanceReports::default()
        }
    }

    /// Returns what the instances that hold a lease say of a database.
    fn instance_reports(
        &self,
        now: Moment,
        view: &FleetView,
        name: &UpstreamId,
    ) -> InstanceReports {
        let lease = self.leases.max_duration();
        let is_live =
            |instance: &InstanceView| self.leases.silence(now, instance.incarnation) < lease;
        let live = view.instances.values().filter(|instance| is_live(instance));
        let live = live.count();
        let words = self.reports_on(name).filter(|(instance, _)| {
            let instance = view.instances.get(*instance);
            instance.is_some_and(is_live)
        });
        let denies = words.clone().filter(|(_, note)| !note.reachable).count();
        let vouches = words.clone().count() - denies;
        let recent = words.filter(|(_, note)| now.since(note.at) < WORD_TIME);
        let (mut recent_denies, mut recent_vouches) = (0, 0);
        for (_, note) in recent {
            *match note.reachable {
                true => &mut recent_vouches,
                false => &mut recent_denies,
            } += 1;
        }
        InstanceReports {
            silence: Duration::MAX,
            denied: recent_denies > recent_vouches || denies >= live.div_ceil(3).max(1),
            shunned: denies * 2 >= live.max(1),
            vouched: vouches > denies,
        }
    }

    /// Returns the open transactions of a draining group, if every instance reported them.
    fn open(&self, view: &FleetView, group: &GroupId, term: Term) -> Option<u64> {
        let mut sum = 0;
        for instance in view.instances.values() {
            let key = (instance.incarnation, group.clone());
            let note = self.open.get(&key).filter(|note| note.term == term);
            sum += note?.count;
        }
        Some(sum)
    }
}

/// What instances say of a database.
#[derive(Clone, Copy, Debug)]
struct InstanceReports {
    /// Time since one that vouches for it was heard.
    silence: Duration,
    denied: bool,
    shunned: bool,
    vouched: bool,
}

impl Default for InstanceReports {
    fn default() -> Self {
        Self {
            silence: Duration::MAX,
            denied: false,
            shunned: false,
            vouched: false,
        }
    }
}
