//! Rates and bursts counted over the whole fleet by escrow.
//!
//! The [`QuotaLedger`] at the leader of control splits each organisation's rate and burst among
//! the instances; a [`BucketSet`] at each instance admits within its share. What an instance
//! holds is counted as taken until the instance has returned it or its lease has run out, so the
//! sum of all shares never exceeds the whole. Tokens move with burst and are never made by a
//! move, so that all buckets together admit no more than one bucket of the whole rate and burst.
//!
//! A rate that is too small for the number of instances is not split: its tokens accrue at the
//! ledger, which grants them to waiting requests on demand.
//!
//! Grants and returns are totals since the start of a *holding*, never differences: messages may
//! be lost, doubled or reordered.

mod account;
mod bucket;
mod demand;
mod ledger;
mod set;
mod split;

pub use self::{
    bucket::ShareBucket,
    demand::WaitingQueue,
    ledger::QuotaLedger,
    set::{
        BucketSet,
        NoToken, //
    }, //
};
use daisyseam_model::{
    Incarnation,
    InstanceId,
    OrganisationId,
    ServiceId,
    document::Document, //
};

/// Thousandths in one whole: rates count thousandths of a statement a second, bursts and tokens
/// thousandths of a statement.
pub const MILLI: u64 = 1_000;

/// Unused tokens of a rate without shares that an instance may keep for its next requests, in
/// thousandths.
const TOKEN_RESERVE: u64 = MILLI;

/// Who a rate belongs to.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum RateKey {
    /// An organisation.
    Organisation(OrganisationId),
    /// The open route of a service, `open/SERVICE` in text.
    Open(ServiceId),
}

/// Prefix of an open route's key in text; no organisation's name holds a slash.
const OPEN_PREFIX: &str = "open/";

impl RateKey {
    /// Reads the textual form.
    pub fn parse(text: &str) -> Option<Self> {
        match text.strip_prefix(OPEN_PREFIX) {
            Some(service) => ServiceId::new(service).ok().map(Self::Open),
            None => OrganisationId::new(text).ok().map(Self::Organisation),
        }
    }
}

impl std::fmt::Display for RateKey {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Organisation(organisation) => organisation.fmt(formatter),
            Self::Open(service) => write!(formatter, "{OPEN_PREFIX}{service}"),
        }
    }
}

/// Lists the rates of a document: of organisations and of open routes.
pub fn document_rates(document: &Document) -> impl Iterator<Item = (RateKey, RateShare)> {
    let organisations = document.organisations.iter().map(|(name, entry)| {
        let share = RateShare::from_document(entry.rate, entry.burst);
        (RateKey::Organisation(name.clone()), share)
    });
    let routes = document.open_routes.iter().map(|(service, route)| {
        let share = RateShare::from_document(route.rate, route.burst);
        (RateKey::Open(service.clone()), share)
    });
    organisations.chain(routes)
}

/// A part of a rate and a burst.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RateShare {
    /// Thousandths of a statement a second.
    pub rate: u64,
    /// Thousandths of a statement.
    pub burst: u64,
}

impl RateShare {
    /// Converts a rate and a burst as the document states them, rounded down.
    pub fn from_document(rate: f64, burst: f64) -> Self {
        let milli = |whole: f64| (whole * MILLI as f64) as u64;
        Self {
            rate: milli(rate),
            burst: milli(burst),
        }
    }

    /// Returns whether there is nothing in it.
    pub fn is_empty(self) -> bool {
        self == Self::default()
    }

    fn saturating_sub(self, other: Self) -> Self {
        Self {
            rate: self.rate.saturating_sub(other.rate),
            burst: self.burst.saturating_sub(other.burst),
        }
    }

    fn fits(self, other: Self) -> bool {
        self.rate <= other.rate && self.burst <= other.burst
    }

    fn plus(self, other: Self) -> Self {
        Self {
            rate: self.rate.saturating_add(other.rate),
            burst: self.burst.saturating_add(other.burst),
        }
    }
}

/// Totals of what has been handed over in one direction since the start of a holding.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TransferTotal {
    /// Rate and burst.
    pub share: RateShare,
    /// Tokens that came with the burst, in thousandths.
    pub tokens: u64,
}

impl TransferTotal {
    /// Returns the greater of each part, which is the later one.
    fn latest(self, other: Self) -> Self {
        Self {
            share: RateShare {
                rate: self.share.rate.max(other.share.rate),
                burst: self.share.burst.max(other.share.burst),
            },
            tokens: self.tokens.max(other.tokens),
        }
    }
}

/// An instance as holder of shares; a restarted process is another one.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct HolderId {
    /// Its name.
    pub instance: InstanceId,
    /// Its incarnation.
    pub incarnation: Incarnation,
}

/// Names the relation between one ledger and one holder; a later one is greater.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct HoldingId {
    /// Epoch of the ledger, such as the leader's term; at least 1.
    pub epoch: u64,
    /// Number within the epoch.
    pub number: u64,
}

/// What an instance says of one key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DemandEntry {
    /// Whose rate.
    pub key: RateKey,
    /// Wanted rate, admitted or not, in thousandths of a statement a second.
    pub wanted: u64,
    /// Tokens that waiting requests lack, in thousandths.
    pub lacking: u64,
    /// Share that was held when the holding began, taken over from an earlier epoch.
    pub base: RateShare,
    /// Total of the grants that have been applied.
    pub applied: TransferTotal,
    /// Total of what has been given up for good.
    pub returned: TransferTotal,
}

/// What an instance says of its shares.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ShareReport {
    /// The holding that the numbers belong to; the default for none.
    pub holding: HoldingId,
    /// Counts the reports of this incarnation.
    pub sequence: u64,
    /// Whether the instance is stopping and is to get nothing.
    pub leaving: bool,
    /// Keys of which something has changed since a report that was answered.
    pub entries: Vec<DemandEntry>,
}

/// What the ledger has for one key of one holder.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GrantEntry {
    /// Whose rate.
    pub key: RateKey,
    /// Total of what has been granted.
    pub granted: TransferTotal,
    /// Total that the holder is asked to have returned.
    pub asked: RateShare,
    /// Whether tokens are granted on demand: what is spent, and all but a reserve of what no request
    /// waits for, is returned with each report.
    pub on_demand: bool,
}

/// The ledger's answer to a report.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ShareReply {
    /// The holding from now on.
    pub holding: HoldingId,
    /// Sequence of the report that is answered.
    pub sequence: u64,
    /// Whether the shares are good for another lease from the sending of that report.
    pub renewed: bool,
    /// Keys of which the holder does not know the newest.
    pub grants: Vec<GrantEntry>,
}
