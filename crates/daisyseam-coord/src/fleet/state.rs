//! The replicated state of the control instances.

use super::{
    ChooseCommand,
    ChosenPrimary,
    CommandOutcome,
    CopyGuarantee,
    DocumentHistory,
    EvacuateCommand,
    FleetCommand,
    GroupCommand,
    HolderCommand,
    JoinCommand,
    LeaveCommand,
    RefusalReason,
    SubmitCommand,
    SubmitNewestCommand,
    UpstreamCommand,
    UsageHistory,
    ViewChanges,
    changes::ChangeHistory,
    voters::VoterRecord, //
};
use daisyseam_model::{
    DocumentNumber,
    FleetView,
    GroupId,
    GroupView,
    Incarnation,
    InstanceId,
    InstanceView,
    PrimaryState,
    UpstreamId,
    UpstreamView,
    ViewNumber,
    document::Document, //
};
use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    sync::Arc, //
};

/// Documents, instances, databases, primaries and holders.
#[derive(Clone, Debug, Default)]
pub struct FleetState {
    pub(super) view: Arc<FleetView>,
    pub(super) documents: DocumentHistory,
    pub(super) last_incarnation: Incarnation,
    /// Databases that elections count.
    pub(super) voters: BTreeMap<UpstreamId, VoterRecord>,
    /// How many databases have each acknowledged commit of a group.
    pub(super) copies: BTreeMap<GroupId, CopyGuarantee>,
    /// The chosen next primary of fenced groups.
    pub(super) choices: BTreeMap<GroupId, ChosenPrimary>,
    /// The last primary of fenced groups.
    pub(super) former_primaries: BTreeMap<GroupId, UpstreamId>,
    pub(super) change_history: ChangeHistory,
    pub(super) usage: UsageHistory,
}

impl FleetState {
    /// Returns the current view.
    pub fn view(&self) -> &Arc<FleetView> {
        &self.view
    }

    /// Returns the accepted documents.
    pub fn documents(&self) -> &DocumentHistory {
        &self.documents
    }

    /// Returns the decided windows of request counts.
    pub fn usage(&self) -> &UsageHistory {
        &self.usage
    }

    /// Returns the database that has been chosen as the next primary of a fenced group.
    pub fn chosen_primary(&self, group: &GroupId) -> Option<&ChosenPrimary> {
        self.choices.get(group)
    }

    /// Returns the last primary of a fenced group, if it is known.
    pub fn former_primary(&self, group: &GroupId) -> Option<&UpstreamId> {
        self.former_primaries.get(group)
    }

    /// Returns the changes since a view, if they are still known.
    pub fn changes_since(&self, held: ViewNumber) -> Option<ViewChanges> {
        self.change_history.since(held, self.view.number)
    }

    /// Applies a command, which either takes effect as a whole or changes nothing.
    pub fn apply(&mut self, command: &FleetCommand) -> CommandOutcome {
        match command {
            FleetCommand::Submit(submit) => self.submit(submit),
            FleetCommand::SubmitNewest(submit) => self.submit_newest(submit),
            FleetCommand::Join(join) => self.join(join),
            FleetCommand::Leave(leave) => self.leave(leave),
            FleetCommand::Upstream(upstream) => self.update_upstream(upstream),
            FleetCommand::DropUpstream(upstream) => self.drop_upstream(upstream),
            FleetCommand::Group(group) => self.update_group(group),
            FleetCommand::Choose(command) => self.choose_primary(command),
            FleetCommand::Holder(holder) => self.update_holder(holder),
            FleetCommand::Evacuate(order) => self.evacuate(order),
            FleetCommand::CaughtUp(command) => self.record_caught_up(command),
            FleetCommand::SuspendVoter(command) => self.suspend_voter(command),
            FleetCommand::DemoteVoter(command) => self.demote_voter(command),
            FleetCommand::Copies(command) => self.record_copies(command),
            FleetCommand::CloseUsage(command) => self.usage.close(command),
            FleetCommand::AcknowledgeUsage(window) => self.usage.acknowledge(*window),
        }
    }

    fn submit(&mut self, command: &SubmitCommand) -> CommandOutcome {
        let from = self.documents.number();
        let (outcome, accepted) = self.documents.submit(command);
        if accepted {
            self.apply_document(from, &command.text);
        }
        CommandOutcome::Submitted(outcome)
    }

    fn submit_newest(&mut self, command: &SubmitNewestCommand) -> CommandOutcome {
        let from = self.documents.number();
        if self.documents.submit_newest(command) {
            self.apply_document(from, &command.text);
        }
        CommandOutcome::InForce(self.documents.number())
    }

    fn apply_document(&mut self, from: DocumentNumber, text: &str) {
        let number = self.documents.number();
        // The text was validated before it was proposed, but possibly by another program version.
        let document = Document::parse(text).ok();
        let former = self.view.document.clone();
        self.change(ViewChanges::of_document(from), |view| {
            view.document_number = number;
            view.document = document.map(Arc::new);
        });
        self.adjust_copies(former.as_deref());
    }

    fn evacuate(&mut self, command: &EvacuateCommand) -> CommandOutcome {
        if self.view.evacuated.contains(&command.data_centre) != command.out {
            // Every update lists all evacuated data centres, so the change needs no record of its own.
            self.change(ViewChanges::default(), |view| {
                if command.out {
                    view.evacuated.insert(command.data_centre.clone());
                } else {
                    view.evacuated.remove(&command.data_centre);
                }
            });
        }
        CommandOutcome::Done
    }

    fn join(&mut self, command: &JoinCommand) -> CommandOutcome {
        self.last_incarnation = Incarnation(self.last_incarnation.0 + 1);
        let incarnation = self.last_incarnation;
        let former = self.view.instances.get(&command.instance);
        assert!(
            former.is_none_or(|former| former.incarnation < incarnation),
            "an incarnation is assigned twice"
        );
        // The former process may still act on its lease, so its databases stay unassigned until that
        // lease has expired.
        let mut changes = ViewChanges::of_instance(&command.instance);
        changes.upstreams = self.held_by(&command.instance);
        self.change(changes, |view| {
            release_all(view, &command.instance);
            let instance = InstanceView {
                incarnation,
                data_centre: command.data_centre.clone(),
                peer_address: command.peer_address,
                leaving: false,
            };
            view.instances.insert(command.instance.clone(), instance);
        });
        CommandOutcome::Joined(incarnation)
    }

    fn leave(&mut self, command: &LeaveCommand) -> CommandOutcome {
        let Some(instance) = self.view.instances.get(&command.instance) else {
            return CommandOutcome::Refused(RefusalReason::Unknown);
        };
        if instance.incarnation != command.incarnation {
            return CommandOutcome::Refused(RefusalReason::Superseded);
        }
        let mut changes = ViewChanges::of_instance(&command.instance);
        if !command.gone {
            self.change(changes, |view| {
                if let Some(instance) = view.instances.get_mut(&command.instance) {
                    instance.leaving = true;
                }
            });
            return CommandOutcome::Done;
        }
        changes.upstreams = self.held_by(&command.instance);
        self.change(changes, |view| {
            view.instances.remove(&command.instance);
            release_all(view, &command.instance);
        });
        CommandOutcome::Done
    }

    fn update_upstream(&mut self, command: &UpstreamCommand) -> CommandOutcome {
        let known = self.view.upstreams.get(&command.upstream);
        if known.is_some_and(|known| known.group != command.group) {
            // A database that changed its group would bring the history of another group.
            return CommandOutcome::Refused(RefusalReason::Superseded);
        }
        if known.is_some_and(|known| known.born_ms > command.born_ms) {
            // A late announcement of a process that has been replaced.
            return CommandOutcome::Refused(RefusalReason::Superseded);
        }
        let upstream = UpstreamView {
            group: command.group.clone(),
            data_centre: command.data_centre.clone(),
            address: command.address,
            admin_address: command.admin_address,
            holder: known.and_then(|known| known.holder.clone()),
            leaving: command.leaving,
            born_ms: command.born_ms,
            voter: self.counts_copies(&command.upstream, command.born_ms),
        };
        if known != Some(&upstream) {
            self.change(ViewChanges::of_upstream(&command.upstream), |view| {
                view.upstreams.insert(command.upstream.clone(), upstream);
            });
        }
        CommandOutcome::Done
    }

    fn drop_upstream(&mut self, name: &UpstreamId) -> CommandOutcome {
        let Some(upstream) = self.view.upstreams.get(name) else {
            return CommandOutcome::Refused(RefusalReason::Unknown);
        };
        let in_use = self.view.groups.get(&upstream.group);
        let in_use = in_use.is_some_and(|group| match &group.primary {
            PrimaryState::Active(primary) | PrimaryState::Draining(primary) => primary == name,
            PrimaryState::Fenced => false,
        });
        if in_use {
            return CommandOutcome::Refused(RefusalReason::Superseded);
        }
        let group = upstream.group.clone();
        let was_voter = self.voters.remove(name).is_some();
        self.change(ViewChanges::of_upstream(name), |view| {
            view.upstreams.remove(name);
        });
        if was_voter {
            self.reduce_copies(&group, self.voter_count(&group));
        }
        CommandOutcome::Done
    }

    fn update_group(&mut self, command: &GroupCommand) -> CommandOutcome {
        let known = self.view.groups.get(&command.group);
        let term = known.map_or_else(Default::default, |known| known.term);
        if term != command.expected {
            return CommandOutcome::Refused(RefusalReason::Superseded);
        }
        if command.term < term {
            return CommandOutcome::Refused(RefusalReason::TermUsed);
        }
        let next = GroupView {
            term: command.term,
            primary: command.primary.clone(),
            lineage_start: command.lineage_start,
        };
        if known.is_some_and(|known| reuses_term(known, &next)) {
            return CommandOutcome::Refused(RefusalReason::TermUsed);
        }
        let former = known.and_then(|known| match &known.primary {
            PrimaryState::Active(former) | PrimaryState::Draining(former) => Some(former.clone()),
            PrimaryState::Fenced => None,
        });
        if next.primary != PrimaryState::Fenced {
            self.choices.remove(&command.group);
            self.former_primaries.remove(&command.group);
        } else if let Some(former) = former {
            self.former_primaries.insert(command.group.clone(), former);
        }
        if known != Some(&next) {
            self.change(ViewChanges::of_group(&command.group), |view| {
                view.groups.insert(command.group.clone(), next);
            });
        }
        CommandOutcome::Done
    }

    fn choose_primary(&mut self, command: &ChooseCommand) -> CommandOutcome {
        let Some(known) = self.view.groups.get(&command.group) else {
            return CommandOutcome::Refused(RefusalReason::Unknown);
        };
        if known.term != command.term || known.primary != PrimaryState::Fenced {
            return CommandOutcome::Refused(RefusalReason::Superseded);
        }
        let Some(chosen) = &command.chosen else {
            self.choices.remove(&command.group);
            return CommandOutcome::Done;
        };
        let recorded = self.choices.entry(command.group.clone());
        let recorded = recorded.or_insert_with(|| chosen.clone());
        match recorded == chosen {
            true => CommandOutcome::Done,
            false => CommandOutcome::Refused(RefusalReason::Superseded),
        }
    }

    fn update_holder(&mut self, command: &HolderCommand) -> CommandOutcome {
        let Some(upstream) = self.view.upstreams.get(&command.upstream) else {
            return CommandOutcome::Refused(RefusalReason::Unknown);
        };
        if upstream.holder != command.expected {
            return CommandOutcome::Refused(RefusalReason::Superseded);
        }
        let known = |holder| self.view.instances.contains_key(holder);
        let direct = upstream.holder.is_some() && command.holder.is_some();
        if direct || !command.holder.as_ref().is_none_or(known) {
            return CommandOutcome::Refused(RefusalReason::Unknown);
        }
        if upstream.holder != command.holder {
            self.change(ViewChanges::of_upstream(&command.upstream), |view| {
                if let Some(upstream) = view.upstreams.get_mut(&command.upstream) {
                    upstream.holder = command.holder.clone();
                }
            });
        }
        CommandOutcome::Done
    }

    fn held_by(&self, instance: &InstanceId) -> BTreeSet<UpstreamId> {
        let held = self.view.upstreams.iter();
        let held = held.filter(|(_, upstream)| upstream.holder.as_ref() == Some(instance));
        held.map(|(name, _)| name.clone()).collect()
    }

    pub(super) fn change(&mut self, changes: ViewChanges, edit: impl FnOnce(&mut FleetView)) {
        // Sessions may still read the former view, in which case it is cloned.
        let view = Arc::make_mut(&mut self.view);
        edit(view);
        view.number = ViewNumber(view.number.0 + 1);
        self.change_history.push(changes);
    }
}

fn release_all(view: &mut FleetView, instance: &InstanceId) {
    for upstream in view.upstreams.values_mut() {
        if upstream.holder.as_ref() == Some(instance) {
            upstream.holder = None;
        }
    }
}

/// Returns whether a change would assign a second primary to a term, or one after it was fenced.
fn reuses_term(known: &GroupView, next: &GroupView) -> bool {
    if known.term != next.term {
        return false;
    }
    match (&known.primary, &next.primary) {
        (PrimaryState::Active(old), PrimaryState::Draining(new) | PrimaryState::Active(new))
        | (PrimaryState::Draining(old), PrimaryState::Draining(new) | PrimaryState::Active(new)) => {
            old != new || known.lineage_start != next.lineage_start
        }
        (PrimaryState::Fenced, PrimaryState::Active(_) | PrimaryState::Fenced) => false,
        (PrimaryState::Fenced, PrimaryState::Draining(_)) => true,
        // A fence always needs a new term.
        (PrimaryState::Active(_) | PrimaryState::Draining(_), PrimaryState::Fenced) => true,
    }
}
