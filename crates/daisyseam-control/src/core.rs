//! What a control instance decides; no input, no output, no clock.

mod announcements;
mod departures;
mod groups;
mod holders;
mod leader;
mod orders;
mod places;
mod repair;
mod requests;
mod shares;
mod spares;
mod status;
mod survey;
mod vacancies;

use self::leader::LeaderWork;
use crate::admin::AdminCall;
use bytes::Bytes;
use daisyseam_coord::{
    Moment,
    fleet::{
        CommandAnswer,
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
        CallAnswer,
        CallKind,
        PromotionSettings, //
    },
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

/// Tells requests apart whose answers are still to come.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct RequestId(pub u64);

/// Settings of the decisions.
#[derive(Clone, Debug)]
pub struct CoreSettings {
    /// This instance.
    pub me: InstanceId,
    /// Its cluster.
    pub cluster: ClusterId,
    /// Data centre that it runs in, if voters are to be spread over regions.
    pub data_centre: Option<DataCentreId>,
    /// Leases on views.
    pub lease: LeaseSettings,
    /// Changes of primaries.
    pub promotion: PromotionSettings,
    /// Silence after a lease's end before an instance is taken off the list.
    pub forget_after: Duration,
    /// Silence of a member before a spare replaces it.
    pub repair_after: Duration,
    /// Least number of voters that there are to be, as far as there are instances.
    pub voters_wanted: usize,
    /// Applied entries after which a snapshot is made.
    pub snapshot_every: u64,
    /// Bytes of applied entries after which a snapshot is made.
    pub snapshot_bytes: usize,
}

impl CoreSettings {
    /// Returns the settings that the daemon uses.
    pub fn new(me: InstanceId, cluster: ClusterId) -> Self {
        Self {
            me,
            cluster,
            data_centre: None,
            lease: LeaseSettings::default(),
            promotion: PromotionSettings::default(),
            forget_after: Duration::from_millis(500),
            repair_after: Duration::from_secs(5),
            voters_wanted: 0,
            snapshot_every: 4_096,
            snapshot_bytes: 4 << 20,
        }
    }
}

/// A call to be made to a database.
#[derive(Clone, Debug, PartialEq)]
pub struct DatabaseCall {
    /// Its group.
    pub group: GroupId,
    /// The database.
    pub upstream: UpstreamId,
    /// Its address for such calls.
    pub address: SocketAddr,
    /// Kind of the call, named with the answer.
    pub kind: CallKind,
    /// Term of the group, named with the answer.
    pub term: Term,
    /// The call.
    pub call: AdminCall,
    /// Term of the log in which the call was decided: whoever sees calls of several leaders of
    /// control takes none that has a lower one than it has seen.
    pub fence: u64,
}

/// What is to be done.
#[derive(Debug, Default)]
pub struct CoreOutput {
    /// Answers to requests.
    pub replies: Vec<(RequestId, Body)>,
    /// Calls to databases.
    pub calls: Vec<DatabaseCall>,
}

/// What a control instance decides.
#[derive(Debug)]
pub struct ControlCore {
    settings: CoreSettings,
    log: ReplicatedLog,
    fleet: FleetState,
    /// Last entry that the fleet's state has in it; the log counts what it gave out.
    applied: LogIndex,
    leader: Option<LeaderWork>,
    waiters: BTreeMap<LogIndex, Vec<RequestWaiter>>,
    output: CoreOutput,
    since_snapshot: u64,
    bytes_since_snapshot: usize,
    /// The leader as it was last heard of, for an instance that is no member.
    leader_hint: Option<SocketAddr>,
    /// Where the other members run, as they said.
    places: BTreeMap<InstanceId, DataCentreId>,
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
    /// Starts with a recovered log.
    pub fn new(settings: CoreSettings, log: ReplicatedLog) -> Self {
        Self {
            settings,
            log,
            fleet: FleetState::default(),
            applied: LogIndex(0),
            leader: None,
            waiters: BTreeMap::new(),
            output: CoreOutput::default(),
            since_snapshot: 0,
            bytes_since_snapshot: 0,
            leader_hint: None,
            places: BTreeMap::new(),
        }
    }

    /// Returns the log.
    pub fn log(&self) -> &ReplicatedLog {
        &self.log
    }

    /// Returns the state that was agreed on.
    pub fn fleet(&self) -> &FleetState {
        &self.fleet
    }

    /// Returns the moment at which [`ControlCore::tick`] is wanted next.
    pub fn next_tick(&self) -> Moment {
        let upkeep = self.leader.as_ref().map(|leader| leader.upkeep_at);
        let log = self.log.next_tick();
        upkeep.map_or(log, |upkeep| upkeep.min(log))
    }

    /// Learns that time has passed.
    pub fn tick(&mut self, now: Moment) {
        self.log.tick(now);
        self.notice_leadership(now);
        let due = |leader: &LeaderWork| now >= leader.upkeep_at;
        if self.leader.as_ref().is_some_and(due) {
            self.upkeep(now);
        }
    }

    /// Takes a message from another member.
    pub fn receive(&mut self, now: Moment, from: &InstanceId, message: LogMessage) {
        self.log.receive(now, from, message);
        self.notice_leadership(now);
    }

    /// Takes what became of a call to a database.
    pub fn call_answered(
        &mut self,
        now: Moment,
        group: &GroupId,
        upstream: &UpstreamId,
        (kind, term): (CallKind, Term),
        answer: &CallAnswer,
    ) {
        if let Some(leader) = &mut self.leader {
            leader.take_call(now, group, upstream, (kind, term), answer);
            self.step_group(now, group);
        }
    }

    /// Hands the leadership over before a stop; returns whether there is somebody to take it.
    pub fn hand_over(&mut self, now: Moment) -> bool {
        self.log.hand_over(now)
    }

    /// Takes what the log wants written, sent and applied; see [`LogOutput`] for the order.
    pub fn take_log_output(&mut self) -> LogOutput {
        self.log.take_output()
    }

    /// Learns that all writes taken so far are durable.
    pub fn synced(&mut self, now: Moment) {
        self.log.synced(now);
        self.notice_leadership(now);
    }

    /// Applies what came out of the log.
    pub fn apply(&mut self, now: Moment, restore: Option<LogSnapshot>, entries: Vec<LogEntry>) {
        if let Some(snapshot) = restore {
            self.restore(&snapshot);
        }
        for entry in entries {
            self.apply_entry(now, &entry);
        }
        self.notice_leadership(now);
    }

    /// Takes the answers and calls since the last time.
    pub fn take_output(&mut self) -> CoreOutput {
        std::mem::take(&mut self.output)
    }

    /// Makes a snapshot if enough was applied since the last one.
    pub fn take_snapshot(&mut self) -> Option<LogSnapshot> {
        let due = self.since_snapshot >= self.settings.snapshot_every
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
        let fleet = fleet.expect("a snapshot with a sound checksum was written by this program");
        assert!(
            fleet.view().number >= self.fleet.view().number,
            "the view goes back"
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
        let answer = match &command {
            Some(command) => self.fleet.apply(command),
            None => {
                log::error!("entry {} holds no command that is known", entry.index.0);
                CommandAnswer::Refused(daisyseam_coord::fleet::RefusedCommand::Unreadable)
            }
        };
        let after = self.fleet.view().number;
        assert!(after >= before, "the view goes back");
        if after > before
            && let Some(leader) = &mut self.leader
        {
            leader.schedule_now();
        }
        if let Some(command) = &command {
            self.note_applied(now, command, &answer);
        }
        for waiter in self.waiters.remove(&entry.index).unwrap_or_default() {
            self.answer_waiter(waiter, entry.term, &answer);
        }
    }

    fn note_applied(&mut self, now: Moment, command: &FleetCommand, answer: &CommandAnswer) {
        let Some(leader) = &mut self.leader else {
            return;
        };
        if let (FleetCommand::Join(join), CommandAnswer::Joined(incarnation)) = (command, answer) {
            leader.leases.register(now, &join.instance, *incarnation);
        }
        if let FleetCommand::Group(group) = command {
            let number = self.fleet.view().number;
            leader.changed.insert(group.group.clone(), number);
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

    /// Begins or ends the work of a leader when the log says so.
    fn notice_leadership(&mut self, now: Moment) {
        let term = self.log.term();
        let leads = self.log.leads();
        if self
            .leader
            .as_ref()
            .is_some_and(|leader| !leads || leader.term != term)
        {
            log::warn!("this instance no longer leads control");
            self.leader = None;
        }
        if !leads {
            self.drop_waiters();
        }
        // Decisions on an older state would be taken back by what is still to be applied.
        let ready = self.log.has_committed_own() && self.applied == self.log.commit();
        if leads && self.leader.is_none() && ready {
            log::warn!("this instance leads control in term {}", term.0);
            self.leader = Some(LeaderWork::begin(&self.settings, now, term, &self.fleet));
        }
    }

    fn propose(&mut self, now: Moment, command: &FleetCommand) -> Option<LogIndex> {
        self.propose_bytes(now, command.encode())
    }

    fn propose_bytes(&mut self, now: Moment, bytes: Bytes) -> Option<LogIndex> {
        match self.log.propose(now, bytes) {
            Ok(index) => Some(index),
            Err(error) => {
                log::debug!("a command is not proposed: {error}");
                None
            }
        }
    }

    /// Proposes a command of the upkeep; the next upkeep waits until it is applied.
    fn propose_upkeep(&mut self, now: Moment, command: &FleetCommand) {
        let index = self.propose(now, command);
        if let (Some(index), Some(leader)) = (index, &mut self.leader) {
            leader.upkeep_index = index;
        }
    }

    fn upkeep(&mut self, now: Moment) {
        self.schedule_upkeep(now);
        if let Some(leader) = &mut self.leader {
            leader.shares.tick(now, self.fleet.view());
            leader.prune_notes(now, self.fleet.view());
        }
        self.step_groups(now);
        let applied = self.applied;
        if self
            .leader
            .as_ref()
            .is_some_and(|leader| applied < leader.upkeep_index)
        {
            return;
        }
        self.update_upstreams(now);
        self.update_instances(now);
        self.update_holders(now);
        self.drop_departed(now);
        self.survey_groups(now);
        self.forget_vacant(now);
        self.repair_members(now);
    }
}
