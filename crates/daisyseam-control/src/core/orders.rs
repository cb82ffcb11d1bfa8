//! Handles the requests of front ends: submission of the newest document, its source, and the
//! evacuation of data centres.

use super::{
    ControlCore,
    RequestId,
    WaiterKind,
    requests::parse_document, //
};
use daisyseam_coord::{
    Moment,
    fleet::{
        EvacuateCommand,
        FleetCommand,
        SubmitNewestCommand, //
    }, //
};
use daisyseam_model::{
    DataCentreId,
    DocumentNumber, //
};
use daisyseam_wire::{
    EvacuateReply,
    EvacuateRequest,
    SourceReply,
    SubmitNewestReply,
    SubmitNewestRequest,
    control_message::Body, //
};

impl ControlCore {
    pub(super) fn submit_newest(
        &mut self,
        now: Moment,
        unix_ms: u64,
        request: RequestId,
        submit: SubmitNewestRequest,
    ) {
        if !self.is_acting_leader(now) {
            return self.reply_not_leader(request);
        }
        let current = self.fleet.documents().number().0;
        let problems = self.validate_newest(&submit);
        if !problems.is_empty() {
            let reply = SubmitNewestReply {
                acknowledged: false,
                number: current,
                problems,
            };
            return self.reply(request, Body::SubmittedNewest(reply));
        }
        if submit.number <= current {
            return self.reply_in_force(request, current);
        }
        let command = FleetCommand::SubmitNewest(SubmitNewestCommand {
            number: DocumentNumber(submit.number),
            text: submit.text,
            source: submit.source,
            operator: submit.operator,
            accepted_unix_ms: unix_ms,
        });
        self.propose_for(now, request, WaiterKind::SubmitNewest, &command);
    }

    pub(super) fn reply_in_force(&mut self, request: RequestId, number: u64) {
        let reply = SubmitNewestReply {
            acknowledged: true,
            number,
            problems: Vec::new(),
        };
        self.reply(request, Body::SubmittedNewest(reply));
    }

    fn validate_newest(&self, submit: &SubmitNewestRequest) -> Vec<String> {
        let current = self.fleet.documents().current();
        let same = current.is_some_and(|current| {
            current.number.0 == submit.number && *current.text == *submit.text
        });
        if same {
            // A resend was checked when it was first submitted.
            return Vec::new();
        }
        let document = match parse_document(&submit.text) {
            Ok(document) => document,
            Err(problems) => return problems,
        };
        let mut problems = Vec::new();
        if document.number.0 != submit.number {
            problems.push(format!(
                "the document has number {} but is submitted as number {}",
                document.number.0, submit.number
            ));
        }
        problems.extend(self.cluster_problem(&document));
        problems
    }

    pub(super) fn source(&mut self, now: Moment, request: RequestId) {
        if !self.is_acting_leader(now) {
            return self.reply_not_leader(request);
        }
        match self.log.read_index(now) {
            Ok(index) if self.applied < index => return self.source_waiters.push(request),
            Ok(_) => {}
            Err(_) => return self.reply_not_leader(request),
        }
        let current = self.fleet.documents().current();
        let reply = SourceReply {
            number: current.map_or(0, |current| current.number.0),
            source: current.map_or_else(String::new, |current| current.source.to_string()),
        };
        self.reply(request, Body::SourceShown(reply));
    }

    pub(super) fn evacuate(&mut self, now: Moment, request: RequestId, order: &EvacuateRequest) {
        if !self.is_acting_leader(now) || self.is_stale(now) {
            return self.reply_not_leader(request);
        }
        let data_centre = order.data_centre.parse().ok();
        let Some(data_centre) = data_centre.filter(|name| self.is_known_data_centre(name)) else {
            let known = false;
            return self.reply(request, Body::Evacuated(EvacuateReply { known }));
        };
        if self.fleet.view().evacuated.contains(&data_centre) == order.out {
            let known = true;
            return self.reply(request, Body::Evacuated(EvacuateReply { known }));
        }
        let out = order.out;
        let command = FleetCommand::Evacuate(EvacuateCommand { data_centre, out });
        self.propose_for(now, request, WaiterKind::Evacuate, &command);
    }

    /// Returns whether a data centre is in the document, or still evacuated by an earlier request.
    fn is_known_data_centre(&self, name: &DataCentreId) -> bool {
        let view = self.fleet.view();
        let document = view.document.as_ref();
        view.evacuated.contains(name)
            || document.is_some_and(|document| document.data_centres.contains_key(name))
    }
}
