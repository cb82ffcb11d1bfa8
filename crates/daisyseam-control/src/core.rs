//! The decision logic of a control instance, without I/O and without a clock of its own.

mod announcements;
mod departures;
mod groups;
mod holders;
mod leader;
mod orders;
mod regions;
mod repair;
mod requests;
mod shares;
mod spares;
mod status;
mod survey;
mod unlisted;
mod updates;
mod usage;

pub use self::usage::{
    UsageCall,
    UsageTotals, //
};

use self::{
    leader::LeaderState,
    updates::ViewUpdates, //
};
use crate::admin::AdminCall;
use bytes::Bytes;
use daisyseam_coord::{
    Moment,
    fleet::{
        CommandOutcome,
        FleetCommand,
        FleetState, //
    },
    log::{
        EntryKind,
        LogEntry,
        LogIndex,
        LogMessage,
        LogOutput,
        LogSnapshot,
        LogTerm,
        ReplicatedLog, //
    },
    promotion::{
        CallKind,
        CallOutcome,
        PromotionSettings, //
    },
    usage::UsageSettings,
    view_lease::LeaseSettings, //
};
use daisyseam_model::{
    ClusterId,
    DataCentreId,
    GroupId,
    InstanceId,
    Term,
    UpstreamId, //
};
use daisyseam_wire::control_message::Body;
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::Duration, //
};

/// Identifies a request until it is answered.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct RequestId(pub u64);

/// Settings of a [`ControlCore`].
#[derive(Clone, Debug)]
pub struct CoreSettings {
    /// Name of this instance.
    pub instance: InstanceId,
    /// Cluster that the instance belongs to.
    pub cluster: ClusterId,
    /// Data centre of this instance. Voters are spread over regions only if it is set.
    pub data_centre: Option<DataCentreId>,
    /// Settings of the leases that instances hold on views.
    pub lease: LeaseSettings,
    /// Settings of failovers and planned primary changes.
    pub promotion: PromotionSettings,
    /// Settings of usage reports; `None` if requests are not counted.
    pub usage: Option<UsageSettings>,
    /// Time after the end of its lease after which a silent instance is removed from the view.
    pub removal_grace: Duration,
    /// Time without an answer after which a spare replaces a member.
    pub repair_delay: Duration,
    /// Minimum number of voters, as far as enough instances exist.
    pub min_voters: usize,
    /// Number of applied entries after which a snapshot is taken.
    pub snapshot_entries: u64,
    /// Size of the applied entries, in bytes, after which a snapshot is taken.
    pub snapshot_bytes: usize,
}

impl CoreSettings {
    /// Returns the default settings of the daemon.
    pub fn new(instance: InstanceId, cluster: ClusterId) -> Self {
        Self {
            instance,
            cluster,
            data_centre: None,
            lease: LeaseSettings::default(),
            promotion: PromotionSettings::default(),
            usage: None,
            removal_grace: Duration::from_millis(500),
            repair_delay: Duration::from_secs(5),
            min_voters: 0,
            snapshot_entries: 4_096,
            snapshot_bytes: 4 << 20,
        }
    }
}

/// A call to make to a database.
#[derive(Clone, Debug, PartialEq)]
pub struct DatabaseCall {
    /// Group of the database.
    pub group: GroupId,
    /// Database to call.
    pub upstream: UpstreamId,
    /// Admin address of the database.
    pub address: SocketAddr,
    /// Kind of the call, which is passed back with the answer.
    pub kind: CallKind,
    /// Term of the group, which is passed back with the answer.
    pub term: Term,
    /// Arguments of the call.
    pub call: AdminCall,
    /// Fencing token: the term of the log in which the call was decided. A receiver that gets
    /// calls from several control leaders rejects any with a lower token than it has seen.
    pub fence: u64,
}

/// Output of a [`ControlCore`], for the caller to carry out.
#[derive(Debug, Default)]
pub struct CoreOutput {
    /// Replies to requests.
    pub replies: Vec<(RequestId, Body)>,
    /// Calls to make to databases.
    pub calls: Vec<DatabaseCall>,
    /// Usage reports to send.
    pub reports: Vec<UsageCall>,
}

/// State machine of a control instance.
#[derive(Debug)]
pub struct ControlCore {
    settings: CoreSettings,
    log: ReplicatedLog,
    fleet: FleetState,
    /// Last entry applied to `fleet`. The log counts an entry as soon as it has handed it out.
    applied: LogIndex,
    leader: Option<LeaderState>,
    updates: ViewUpdates,
    waiters: BTreeMap<LogIndex, Vec<RequestWaiter>>,
    /// Requests for the document that wait until all committed entries are applied.
    source_waiters: Vec<RequestId>,
    output: CoreOutput,
    since_snapshot: u64,
    bytes_since_snapshot: usize,
    /// Last known address of the leader, used while this instance is not a member.
    leader_hint: Option<SocketAddr>,
    /// Data centres of the other members, as they reported them.
    member_data_centres: BTreeMap<InstanceId, DataCentreId>,
    usage_totals: UsageTotals,
}

#[derive(Clone, Copy, Debug)]
struct RequestWaiter {
    term: LogTerm,
    request: RequestId,
    kind: WaiterKind,
}

#[derive(Clone, Copy, Debug)]
enum WaiterKind {
    Submit,
    SubmitNewest,
    Evacuate,
    Announce,
    Join,
}

impl ControlCore {
    /// Creates a core with a recovered log.
    pub fn new(settings: CoreSettings, log: ReplicatedLog) -> Self {
        Self {
            settings,
            log,
            fleet: FleetState::default(),
            applied: LogIndex(0),
            leader: None,
            updates: ViewUpdates::default(),
            waiters: BTreeMap::new(),
            source_waiters: Vec::new(),
            output: CoreOutput::default(),
            since_snapshot: 0,
            bytes_since_snapshot: 0,
            leader_hint: None,
            member_data_centres: BTreeMap::new(),
            usage_totals: UsageTotals::default(),
        }
    }

    /// Returns the replicated log.
    pub fn log(&self) -> &ReplicatedLog {
        &self.log
    }

    /// Returns the state that results from the applied entries.
    pub fn fleet(&self) -> &FleetState {
        &self.fleet
    }

    /// Returns when [`ControlCore::tick`] has to be called next.
    pub fn next_tick(&self) -> Moment {
        let reconcile = self.leader.as_ref().map(|leader| leader.reconcile_at);
        let log = self.log.next_tick();
        reconcile.map_or(log, |reconcile| reconcile.min(log))
    }

    /// Processes timers that have expired by `now`.
    pub fn tick(&mut self, now: Moment) {
        self.log.tick(now);
        self.update_leadership(now);
        let due = |leader: &LeaderState| now >= leader.reconcile_at;
        if self.leader.as_ref().is_some_and(due) {
            self.reconcile(now);
        }
    }

    /// Handles a message from another member.
    pub fn receive(&mut self, now: Moment, from: &InstanceId, message: LogMessage) {
        self.log.receive(now, from, message);
        self.update_leadership(now);
    }

    /// Handles the answer, or the loss, of a call to a database.
    pub fn handle_call_answer(
        &mut self,
        now: Moment,
        group: &GroupId,
        upstream: &UpstreamId,
        (kind, term): (CallKind, Term),
        answer: &CallOutcome,
    ) {
        if let Some(leader) = &mut self.leader {
            leader.handle_call_answer(now, group, upstream, (kind, term), answer);
            self.step_group(now, group);
        }
    }

    /// Starts a leadership transfer before a shutdown. Returns whether a member can take over.
    pub fn transfer_leadership(&mut self, now: Moment) -> bool {
        self.log.transfer_leadership(now)
    }

    /// Takes the pending writes, messages and entries to apply. See [`LogOutput`] for their order.
    pub fn take_log_output(&mut self) -> LogOutput {
        self.log.take_output()
    }

    /// Records that all writes taken so far are durable.
    pub fn synced(&mut self, now: Moment) {
        self.log.synced(now);
        self.update_leadership(now);
    }

    /// Applies a snapshot and committed entries from the log.
    pub fn apply(&mut self, now: Moment, restore: Option<LogSnapshot>, entries: Vec<LogEntry>) {
        if let Some(snapshot) = restore {
            self.restore(&snapshot);
        }
        for entry in entries {
            self.apply_entry(now, &entry);
        }
        self.update_leadership(now);
        for request in std::mem::take(&mut self.source_waiters) {
            self.source(now, request);
        }
    }

    /// Takes the replies and calls that were produced since the last call.
    pub fn take_output(&mut self) -> CoreOutput {
        std::mem::take(&mut self.output)
    }

    /// Takes a snapshot if enough entries were applied since the last one.
    pub fn take_snapshot(&mut self) -> Option<LogSnapshot> {
        let due = self.since_snapshot >= self.settings.snapshot_entries
            || self.bytes_since_snapshot >= self.settings.snapshot_bytes;
        if !due {
            return None;
        }
        self.since_snapshot = 0;
        self.bytes_since_snapshot = 0;
        Some(self.log.compact(self.fleet.encode()))
    }

    fn restore(&mut self, snapshot: &LogSnapshot) {
        let fleet = FleetState::decode(&snapshot.bytes);
        let fleet = fleet.expect("a snapshot with a valid checksum decodes");
        assert!(
            fleet.view().number >= self.fleet.view().number,
            "view number went backwards"
        );
        self.fleet = fleet;
        self.applied = snapshot.index;
        self.since_snapshot = 0;
        self.bytes_since_snapshot = 0;
    }

    fn apply_entry(&mut self, now: Moment, entry: &LogEntry) {
        self.applied = entry.index;
        self.since_snapshot += 1;
        self.bytes_since_snapshot += entry.payload.len();
        if entry.kind != EntryKind::Command {
            return;
        }
        let before = self.fleet.view().number;
        let command = FleetCommand::decode(&entry.payload);
        if self.leader.is_some()
            && let Some(command) = &command
        {
            self.log_listing(command);
        }
        let answer = match &command {
            Some(command) => self.fleet.apply(command),
            None => {
                log::error!("log entry {} contains an unknown command", entry.index.0);
                CommandOutcome::Refused(daisyseam_coord::fleet::RefusalReason::Unreadable)
            }
        };
        let after = self.fleet.view().number;
        assert!(after >= before, "view number went backwards");
        if after > before
            && let Some(leader) = &mut self.leader
        {
            leader.schedule_now();
        }
        if let Some(command) = &command {
            self.handle_applied(now, command, &answer);
            self.usage_applied(now, command, &answer);
        }
        for waiter in self.waiters.remove(&entry.index).unwrap_or_default() {
            self.answer_waiter(waiter, entry.term, &answer);
        }
    }

    /// Logs a change of the databases that elections count, before it is applied.
    fn log_listing(&self, command: &FleetCommand) {
        let view = self.fleet.view();
        match command {
            FleetCommand::Upstream(upstream) => {
                let known = view.upstreams.get(&upstream.upstream);
                if known.is_none_or(|known| known.born_ms < upstream.born_ms) {
                    log::warn!(
                        "group {}: listing database {}, started at {} ms",
                        upstream.group,
                        upstream.upstream,
                        upstream.born_ms
                    );
                }
            }
            FleetCommand::DropUpstream(name) => {
                if let Some(known) = view.upstreams.get(name) {
                    log::warn!("group {}: dropping database {name}", known.group);
                }
            }
            _ => {}
        }
    }

    fn handle_applied(&mut self, now: Moment, command: &FleetCommand, answer: &CommandOutcome) {
        let Some(leader) = &mut self.leader else {
            return;
        };
        if let (FleetCommand::Join(join), CommandOutcome::Joined(incarnation)) = (command, answer) {
            leader.leases.register(now, &join.instance, *incarnation);
        }
        if let FleetCommand::Choose(choice) = command {
            log::info!(
                "group {}: term {}, chosen {:?}: {answer:?}",
                choice.group,
                choice.term,
                choice.chosen
            );
            let group = choice.group.clone();
            return self.step_group(now, &group);
        }
        if let FleetCommand::Group(group) = command {
            let number = self.fleet.view().number;
            leader.group_changes.insert(group.group.clone(), number);
            log::info!(
                "group {}: term {}, {:?}: {answer:?}",
                group.group,
                group.term,
                group.primary
            );
            let group = group.group.clone();
            self.step_group(now, &group);
        }
    }

    /// Creates or drops the leader state when this instance gains or loses the leadership.
    fn update_leadership(&mut self, now: Moment) {
        let term = self.log.term();
        let leads = self.log.is_leader();
        if self
            .leader
            .as_ref()
            .is_some_and(|leader| !leads || leader.term != term)
        {
            log::warn!("this instance is no longer the control leader");
            self.leader = None;
        }
        if !leads {
            self.drop_waiters();
        }
        // Entries that are not applied yet could contradict decisions based on an older state.
        let ready = self.log.has_committed_in_term() && self.applied == self.log.commit();
        if leads && self.leader.is_none() && ready {
            log::warn!("this instance is the control leader in term {}", term.0);
            self.leader = Some(LeaderState::new(&self.settings, now, term, &self.fleet));
        }
    }

    fn propose(&mut self, now: Moment, command: &FleetCommand) -> Option<LogIndex> {
        self.propose_bytes(now, command.encode())
    }

    fn propose_bytes(&mut self, now: Moment, bytes: Bytes) -> Option<LogIndex> {
        match self.log.propose(now, bytes) {
            Ok(index) => Some(index),
            Err(error) => {
                log::debug!("cannot propose a command: {error}");
                None
            }
        }
    }

    /// Proposes a command of a reconciliation round. The next round waits until it is applied.
    fn propose_reconcile(&mut self, now: Moment, command: &FleetCommand) {
        let index = self.propose(now, command);
        if let (Some(index), Some(leader)) = (index, &mut self.leader) {
            leader.reconcile_index = index;
        }
    }

    fn reconcile(&mut self, now: Moment) {
        self.schedule_reconcile(now);
        if let Some(leader) = &mut self.leader {
            leader.shares.tick(now, self.fleet.view());
            leader.prune_records(now, self.fleet.view());
        }
        self.admit_listed(now);
        self.step_groups(now);
        self.step_usage(now);
        let applied = self.applied;
        if self
            .leader
            .as_ref()
            .is_some_and(|leader| applied < leader.reconcile_index)
        {
            return;
        }
        self.update_upstreams(now);
        self.update_instances(now);
        self.update_holders(now);
        self.drop_departed(now);
        self.survey_groups(now);
        self.repair_members(now);
    }
}
