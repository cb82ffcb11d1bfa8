//! The groups' primaries: what is known goes to the promotion machines, what they want goes out.

use super::{
    ControlCore,
    DatabaseCall,
    leader::LeaderWork, //
};
use crate::admin::AdminCall;
use daisyseam_coord::{
    Moment,
    fleet::FleetCommand,
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

/// Time between two rounds of upkeep when nothing is under way.
const UPKEEP_IDLE: Duration = Duration::from_millis(50);
/// Time between two rounds of upkeep while a primary changes.
const UPKEEP_BUSY: Duration = Duration::from_millis(10);
/// Silence of a holder after which its word about a database no longer counts.
const HOLDER_SILENCE: Duration = Duration::from_millis(500);

impl ControlCore {
    pub(super) fn schedule_upkeep(&mut self, now: Moment) {
        let settled = |group: &GroupView| matches!(group.primary, PrimaryState::Active(_));
        let busy = !self.fleet.view().groups.values().all(settled);
        if let Some(leader) = &mut self.leader {
            leader.upkeep_at = now + if busy { UPKEEP_BUSY } else { UPKEEP_IDLE };
        }
    }

    pub(super) fn step_groups(&mut self, now: Moment) {
        let view = Arc::clone(self.fleet.view());
        let (Some(document), Some(leader)) = (&view.document, &self.leader) else {
            return;
        };
        let mut members: BTreeMap<&GroupId, Vec<MemberFacts>> = BTreeMap::new();
        for (name, upstream) in &view.upstreams {
            let facts = leader.member_facts(now, &view, name, upstream);
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
            .map(|(name, upstream)| leader.member_facts(now, &view, name, upstream))
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
            commit: entry.commit,
            confirmed: moving && leader.leases.is_finished(now, changed),
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
                log::info!("group {group}: {upstream} is asked to be primary in term {term}");
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
        let Some(address) = view
            .upstreams
            .get(&upstream)
            .map(|known| known.admin_address)
        else {
            return;
        };
        self.output.calls.push(DatabaseCall {
            group: group.clone(),
            upstream,
            address,
            kind,
            term,
            call,
            fence: self.log.term().0,
        });
    }
}

impl LeaderWork {
    fn member_facts(
        &self,
        now: Moment,
        view: &FleetView,
        name: &UpstreamId,
        upstream: &UpstreamView,
    ) -> MemberFacts {
        let announced = self.announced.get(name);
        let announced_silence = now.since(announced.map_or(self.begun, |known| known.at));
        let holder = self.holder_word(now, view, name, upstream);
        MemberFacts {
            upstream: name.clone(),
            leaving: upstream.leaving,
            in_service: view.in_service(&upstream.data_centre),
            silence: match holder {
                HolderWord::Vouches(silence) => silence.min(announced_silence),
                HolderWord::Denies | HolderWord::Unknown => announced_silence,
            },
            denied: matches!(holder, HolderWord::Denies),
            announced: announced.map(|known| (known.state, known.at)),
        }
    }

    /// Returns what the present holder of a database says, as long as it is heard itself.
    fn holder_word(
        &self,
        now: Moment,
        view: &FleetView,
        name: &UpstreamId,
        upstream: &UpstreamView,
    ) -> HolderWord {
        let note = self.health.get(name);
        let holder = upstream.holder.as_ref();
        let note = note.filter(|note| Some(&note.holder) == holder);
        let instance = holder.and_then(|holder| view.instances.get(holder));
        let (Some(note), Some(instance)) = (note, instance) else {
            return HolderWord::Unknown;
        };
        let silence = self.leases.silence(now, instance.incarnation);
        if silence > HOLDER_SILENCE {
            return HolderWord::Unknown;
        }
        if note.reachable {
            return HolderWord::Vouches(silence);
        }
        if now.since(note.answered_at) > HOLDER_SILENCE {
            return HolderWord::Denies;
        }
        HolderWord::Unknown
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

/// What the holder of a database says of it.
#[derive(Clone, Copy, Debug)]
enum HolderWord {
    /// It answered, so long ago at most.
    Vouches(Duration),
    /// It did not answer for too long.
    Denies,
    /// Nothing that counts.
    Unknown,
}
