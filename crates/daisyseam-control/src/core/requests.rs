//! Handles requests from entries and operators.

use super::{
    ControlCore,
    RequestId,
    RequestWaiter,
    WaiterKind, //
};
use daisyseam_coord::{
    Moment,
    fleet::{
        CommandOutcome,
        FleetCommand,
        JoinCommand,
        SubmitCommand,
        SubmitOutcome, //
    },
    log::{
        LogIndex,
        LogTerm, //
    },
    quota::HolderId,
    view_lease::{
        LeaseClaim,
        LeaseRefusal, //
    }, //
};
use daisyseam_model::{
    DocumentNumber,
    Incarnation,
    InstanceId,
    ViewNumber,
    document::{
        DOCUMENT_BYTES_MAX,
        Document,
        Severity, //
    }, //
};
use daisyseam_wire::{
    AnnounceReply,
    EvacuateReply,
    Handshake,
    Heartbeat,
    HeartbeatReply,
    HistoryEntry,
    HistoryReply,
    HistoryRequest,
    NotLeader,
    ShowReply,
    ShowRequest,
    SubmitReply,
    SubmitRequest,
    Welcome,
    control_message::Body, //
};

/// Maximum length of a submission's identifier, in bytes.
const SUBMIT_ID_BYTES_MAX: usize = 128;
/// Maximum number of entries in one history reply.
const HISTORY_LIMIT: u64 = 1_000;

impl ControlCore {
    /// Handles a request. The reply may follow later, see [`ControlCore::take_output`].
    ///
    /// `unix_ms` is the wall-clock time, which is only recorded in the history.
    pub fn request(&mut self, now: Moment, unix_ms: u64, request: RequestId, body: Body) {
        match body {
            Body::Handshake(handshake) => self.handshake(now, request, &handshake),
            Body::Heartbeat(heartbeat) => self.heartbeat(now, request, &heartbeat),
            Body::Submit(submit) => self.submit(now, unix_ms, request, submit),
            Body::Show(show) => self.show(now, request, &show),
            Body::History(history) => self.history(now, request, &history),
            Body::Status(_) => self.status(now, request),
            Body::SubmitNewest(submit) => self.submit_newest(now, unix_ms, request, submit),
            Body::Source(_) => self.source(now, request),
            Body::Evacuate(order) => self.evacuate(now, request, &order),
            Body::Announce(announce) => self.announce(now, request, &announce),
            Body::Spare(spare) => self.spare(now, request, &spare),
            _ => log::warn!("received a request of an unknown kind"),
        }
    }

    pub(super) fn reply(&mut self, request: RequestId, body: Body) {
        self.output.replies.push((request, body));
    }

    pub(super) fn reply_not_leader(&mut self, request: RequestId) {
        let body = Body::NotLeader(NotLeader {
            leader: self.leader_address(),
            term: self.log.term().0,
        });
        self.reply(request, body);
    }

    /// Returns whether this instance leads control and holds the leader lease at `now`.
    pub(super) fn is_acting_leader(&self, now: Moment) -> bool {
        self.leader.is_some() && self.log.has_lease(now)
    }

    fn handshake(&mut self, now: Moment, request: RequestId, handshake: &Handshake) {
        if !self.is_acting_leader(now) {
            return self.reply_not_leader(request);
        }
        let Some(join) = parse_handshake(handshake) else {
            log::warn!("invalid handshake of instance `{}`", handshake.instance);
            return self.reply_not_leader(request);
        };
        let known = self.fleet.view().instances.get(&join.instance);
        let same = known.filter(|known| {
            known.incarnation == Incarnation(handshake.incarnation)
                && known.data_centre == join.data_centre
                && known.peer_address == join.peer_address
        });
        if let Some(same) = same {
            let incarnation = same.incarnation.0;
            return self.reply(request, Body::Welcome(Welcome { incarnation }));
        }
        let command = FleetCommand::Join(join);
        self.propose_for(now, request, WaiterKind::Join, &command);
    }

    pub(super) fn propose_for(
        &mut self,
        now: Moment,
        request: RequestId,
        kind: WaiterKind,
        command: &FleetCommand,
    ) {
        let Some(index) = self.propose(now, command) else {
            return self.reply_not_leader(request);
        };
        self.wait_for(index, request, kind);
    }

    pub(super) fn wait_for(&mut self, index: LogIndex, request: RequestId, kind: WaiterKind) {
        let waiter = RequestWaiter {
            term: self.log.term(),
            request,
            kind,
        };
        self.waiters.entry(index).or_default().push(waiter);
    }

    fn heartbeat(&mut self, now: Moment, request: RequestId, heartbeat: &Heartbeat) {
        let instance = heartbeat.instance.parse::<InstanceId>().ok();
        let incarnation = Incarnation(heartbeat.incarnation);
        let newest = self.fleet.view().number;
        let known = instance
            .as_ref()
            .and_then(|name| self.fleet.view().instances.get(name));
        let current = known.is_some_and(|known| known.incarnation == incarnation);
        let acting = self.is_acting_leader(now);
        let (Some(instance), Some(leader)) = (instance, &mut self.leader) else {
            return self.reply_not_leader(request);
        };
        if !acting || !current || heartbeat.view > newest.0 {
            // An outdated incarnation starts over with a handshake and gets a new number.
            return self.reply_not_leader(request);
        }
        for report in &heartbeat.upstreams {
            leader.record_announcement(now, self.fleet.view(), report);
        }
        for report in &heartbeat.health {
            leader.record_health(now, &instance, report);
        }
        for report in &heartbeat.groups {
            leader.record_open_transactions(incarnation, report);
        }
        if heartbeat.leaving {
            leader.leaving.insert(incarnation);
        }
        let usage = leader.record_usage(now, self.fleet.usage(), &instance, heartbeat);
        let claim = LeaseClaim {
            instance: &instance,
            incarnation,
            view: ViewNumber(heartbeat.view),
        };
        let granted = leader.leases.grant(now, claim, newest);
        let held = match granted {
            // The instance may not hold the view that it reports, so it gets the full view.
            Err(LeaseRefusal::Lagging) => ViewNumber::default(),
            Ok(_) => ViewNumber(heartbeat.view),
        };
        let lease = granted.unwrap_or_default();
        let holder = HolderId {
            instance,
            incarnation,
        };
        // Shares are leased together with the view, so without a lease the report gets no answer.
        let report = heartbeat.shares.as_ref().filter(|_| granted.is_ok());
        let view = self.fleet.view();
        let shares = report.and_then(|report| leader.shares.answer(now, view, &holder, report));
        leader.check_takeover(now, view);
        let mut reply = HeartbeatReply {
            sequence: heartbeat.sequence,
            lease_ms: u64::try_from(lease.as_millis()).unwrap_or(0),
            shares,
            members: self.members_update(heartbeat.members),
            usage,
            ..HeartbeatReply::default()
        };
        reply.set_update(self.updates.get(&self.fleet, held));
        self.reply(request, Body::HeartbeatReply(reply));
    }

    fn submit(&mut self, now: Moment, unix_ms: u64, request: RequestId, submit: SubmitRequest) {
        if !self.is_acting_leader(now) {
            return self.reply_not_leader(request);
        }
        let known = self
            .fleet
            .documents()
            .known_outcome(&submit.id, submit.replaces);
        if let Some(outcome) = known {
            let reply = self.submit_reply(&outcome);
            return self.reply(request, Body::Submitted(reply));
        }
        let problems = self.problems(&submit);
        if !problems.is_empty() {
            let reply = SubmitReply {
                number: self.fleet.documents().number().0,
                problems,
                error: "the document has errors".to_owned(),
                ..SubmitReply::default()
            };
            return self.reply(request, Body::Submitted(reply));
        }
        let command = FleetCommand::Submit(SubmitCommand {
            id: submit.id,
            replaces: submit.replaces,
            text: submit.text,
            operator: submit.operator,
            accepted_unix_ms: unix_ms,
        });
        self.propose_for(now, request, WaiterKind::Submit, &command);
    }

    fn problems(&self, submit: &SubmitRequest) -> Vec<String> {
        if submit.id.is_empty() || submit.id.len() > SUBMIT_ID_BYTES_MAX {
            return vec![format!(
                "the submission identifier must have 1 to {SUBMIT_ID_BYTES_MAX} bytes"
            )];
        }
        let document = match parse_document(&submit.text) {
            Ok(document) => document,
            Err(problems) => return problems,
        };
        let mut problems = Vec::new();
        let wanted = DocumentNumber(submit.replaces + 1);
        if document.number != wanted {
            problems.push(format!(
                "the document has number {} but replaces number {}: it must have number {}",
                document.number.0, submit.replaces, wanted.0
            ));
        }
        problems.extend(self.cluster_problem(&document));
        problems
    }

    pub(super) fn cluster_problem(&self, document: &Document) -> Option<String> {
        let own = &self.settings.cluster;
        (document.cluster != *own).then(|| {
            format!(
                "the document is for cluster `{}`, but this cluster is `{own}`",
                document.cluster
            )
        })
    }

    fn submit_reply(&self, outcome: &SubmitOutcome) -> SubmitReply {
        match outcome {
            SubmitOutcome::Accepted(number) => SubmitReply {
                accepted: true,
                number: number.0,
                ..SubmitReply::default()
            },
            SubmitOutcome::Lost { current, winner } => SubmitReply {
                number: current.0,
                winner: winner.clone(),
                error: format!("the document in force has number {}", current.0),
                ..SubmitReply::default()
            },
        }
    }

    pub(super) fn answer_waiter(
        &mut self,
        waiter: RequestWaiter,
        term: LogTerm,
        answer: &CommandOutcome,
    ) {
        if waiter.term != term {
            return self.answer_undecided(waiter);
        }
        match (waiter.kind, answer) {
            (WaiterKind::Submit, CommandOutcome::Submitted(outcome)) => {
                let reply = self.submit_reply(outcome);
                self.reply(waiter.request, Body::Submitted(reply));
            }
            (WaiterKind::Join, CommandOutcome::Joined(incarnation)) => {
                let incarnation = incarnation.0;
                self.reply(waiter.request, Body::Welcome(Welcome { incarnation }));
            }
            (WaiterKind::SubmitNewest, CommandOutcome::InForce(number)) => {
                self.reply_in_force(waiter.request, number.0);
            }
            (WaiterKind::Evacuate, CommandOutcome::Done) => {
                let known = true;
                self.reply(waiter.request, Body::Evacuated(EvacuateReply { known }));
            }
            // A command that no longer applies changes nothing, but the announcement was processed.
            (WaiterKind::Announce, _) => {
                self.reply(waiter.request, Body::Announced(AnnounceReply {}));
            }
            _ => self.answer_undecided(waiter),
        }
    }

    fn answer_undecided(&mut self, waiter: RequestWaiter) {
        match waiter.kind {
            WaiterKind::Submit => {
                let reply = SubmitReply {
                    number: self.fleet.documents().number().0,
                    error: "the outcome is not known yet: submit the document again with the same \
                            identifier"
                        .to_owned(),
                    busy: true,
                    ..SubmitReply::default()
                };
                self.reply(waiter.request, Body::Submitted(reply));
            }
            WaiterKind::SubmitNewest
            | WaiterKind::Evacuate
            | WaiterKind::Announce
            | WaiterKind::Join => self.reply_not_leader(waiter.request),
        }
    }

    /// Answers all pending requests as undecided, because this instance no longer leads.
    pub(super) fn drop_waiters(&mut self) {
        for waiter in std::mem::take(&mut self.waiters).into_values().flatten() {
            self.answer_undecided(waiter);
        }
        for request in std::mem::take(&mut self.source_waiters) {
            self.reply_not_leader(request);
        }
    }

    fn show(&mut self, now: Moment, request: RequestId, show: &ShowRequest) {
        let stale = self.is_stale(now);
        if stale && show.linearizable {
            return self.reply_not_leader(request);
        }
        let documents = self.fleet.documents();
        let document = match show.number {
            0 => documents.current(),
            number => documents.get(DocumentNumber(number)),
        };
        let reply = ShowReply {
            number: document.map_or(0, |document| document.number.0),
            text: document
                .map(|document| document.text.to_string())
                .unwrap_or_default(),
            stale,
        };
        self.reply(request, Body::Shown(reply));
    }

    fn history(&mut self, now: Moment, request: RequestId, history: &HistoryRequest) {
        let limit = usize::try_from(history.limit.min(HISTORY_LIMIT)).unwrap_or(0);
        let documents = self.fleet.documents().newest_first().take(limit);
        let entries = documents.map(|document| HistoryEntry {
            number: document.number.0,
            id: document.id.clone(),
            operator: document.operator.clone(),
            accepted_unix_ms: document.accepted_unix_ms,
        });
        let reply = HistoryReply {
            entries: entries.collect(),
            stale: self.is_stale(now),
        };
        self.reply(request, Body::HistoryShown(reply));
    }

    /// Returns whether this instance may not have applied the newest committed entry yet.
    pub(super) fn is_stale(&self, now: Moment) -> bool {
        let point = self.log.read_index(now);
        point.map_or(true, |index| self.applied < index)
    }
}

fn parse_handshake(handshake: &Handshake) -> Option<JoinCommand> {
    Some(JoinCommand {
        instance: handshake.instance.parse().ok()?,
        data_centre: handshake.data_centre.parse().ok()?,
        peer_address: handshake.peer_address.parse().ok()?,
    })
}

/// Parses a document, or returns its errors.
pub(super) fn parse_document(text: &str) -> Result<Document, Vec<String>> {
    if text.len() > DOCUMENT_BYTES_MAX {
        return Err(vec![format!(
            "the document exceeds the maximum size of {DOCUMENT_BYTES_MAX} bytes"
        )]);
    }
    let (document, problems) = Document::check(text);
    document.ok_or_else(|| {
        let errors = problems
            .iter()
            .filter(|problem| problem.severity == Severity::Error);
        errors.map(ToString::to_string).collect()
    })
}
