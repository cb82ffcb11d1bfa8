//! Shares of rates: reports come in with heartbeats, grants go out with the answers.

use daisyseam_coord::{
    Moment,
    quota::{
        HolderId,
        QuotaLedger,
        document_rates, //
    }, //
};
use daisyseam_model::{
    DocumentNumber,
    FleetView, //
};
use daisyseam_wire::{
    WireShareReply,
    WireShareReport, //
};

/// The ledger of one leadership and the document that it follows.
#[derive(Debug)]
pub(super) struct ShareAllocator {
    ledger: QuotaLedger,
    document: Option<DocumentNumber>,
}

impl ShareAllocator {
    pub(super) fn new(ledger: QuotaLedger) -> Self {
        Self {
            ledger,
            document: None,
        }
    }

    /// Ends what has run out and splits anew where something has changed.
    pub(super) fn tick(&mut self, now: Moment, view: &FleetView) {
        self.follow(now, view);
        self.ledger.tick(now);
    }

    /// Opens the ledger once every instance of the view has reported to it.
    pub(super) fn open_if_all_reported(&mut self, now: Moment, view: &FleetView) {
        let reported = view.instances.iter().all(|(name, instance)| {
            self.ledger.is_confirmed(&HolderId {
                instance: name.clone(),
                incarnation: instance.incarnation,
            })
        });
        if reported {
            self.ledger.open(now);
        }
    }

    /// Answers a report; nothing to one that is old or cannot be read.
    pub(super) fn answer(
        &mut self,
        now: Moment,
        view: &FleetView,
        holder: &HolderId,
        report: &WireShareReport,
    ) -> Option<WireShareReply> {
        self.follow(now, view);
        let report = match report.read() {
            Ok(report) => report,
            Err(error) => {
                log::warn!("the shares of {} cannot be read: {error}", holder.instance);
                return None;
            }
        };
        let reply = self.ledger.report(now, holder, &report)?;
        Some(WireShareReply::present(&reply))
    }

    /// Takes over the rates of a document that has not been seen yet.
    fn follow(&mut self, now: Moment, view: &FleetView) {
        if self.document >= Some(view.document_number) {
            return;
        }
        if let Some(document) = view.document.as_deref() {
            self.document = Some(view.document_number);
            self.ledger.set_totals(now, document_rates(document));
        }
    }
}
