//! Allocates shares of rates. Reports arrive with heartbeats, and grants leave with the replies.

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

/// The quota ledger of one leadership, and the document that its rates come from.
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

    /// Expires old shares, and divides rates again where something has changed.
    pub(super) fn tick(&mut self, now: Moment, view: &FleetView) {
        self.follow(now, view);
        self.ledger.tick(now);
    }

    /// Opens the ledger once every instance of the view has reported to it.
    pub(super) fn open_if_all_reported(&mut self, now: Moment, view: &FleetView) {
        if self.ledger.confirmed_holders() < view.instances.len() {
            return;
        }
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

    /// Returns the reply to a report, or `None` if the report is outdated or invalid.
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
                log::warn!(
                    "invalid share report of instance {}: {error}",
                    holder.instance
                );
                return None;
            }
        };
        let reply = self.ledger.report(now, holder, &report)?;
        Some(WireShareReply::present(&reply))
    }

    /// Applies the rates of a document that is newer than the last one applied.
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
