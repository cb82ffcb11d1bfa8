//! Fleet-wide rate limits, enforced by splitting each limit among the instances (escrow).
//!
//! The [`QuotaLedger`] on the control leader splits each organisation's rate and burst among the
//! instances; a [`BucketSet`] on each instance admits requests within its share. A share counts as
//! taken until the instance has returned it or its lease has expired, so the sum of all shares
//! never exceeds the total. Tokens are transferred together with burst and a transfer creates no
//! tokens, so all buckets together admit no more than a single bucket with the total rate and
//! burst.
//!
//! A rate that is too small for the number of instances is not split: its tokens accrue in the
//! ledger, which grants them to waiting requests on demand.
//!
//! Messages report grants and returns as running totals since the start of a *registration*, never
//! as differences, because messages may be lost, duplicated or reordered.

mod account;
mod bucket;
mod demand;
mod ledger;
mod set;
mod split;

use self::split::is_too_small_to_split;
pub use self::{
    bucket::ShareBucket,
    demand::WaitingQueue,
    ledger::QuotaLedger,
    set::{
        BucketSet,
        TokenUnavailable, //
    }, //
};
use daisyseam_model::{
    Incarnation,
    InstanceId,
    OrganisationId,
    ServiceId,
    document::Document, //
};

/// Thousandths per unit: rates are in thousandths of a statement per second, bursts and tokens in
/// thousandths of a statement.
pub const MILLI: u64 = 1_000;

/// Demand for which an instance may keep unused tokens when tokens are granted on demand.
const RESERVE_TIME_MS: u64 = 500;

/// Returns the unused tokens, in thousandths, that an instance may keep for its next requests when
/// tokens are granted on demand: at least one, and more with a higher demand.
fn token_reserve(demand_rate: u64) -> u64 {
    let expected = demand_rate.saturating_mul(RESERVE_TIME_MS) / 1_000;
    (expected / MILLI * MILLI).max(MILLI)
}

/// Owner of a rate limit.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum RateKey {
    /// An organisation.
    Organisation(OrganisationId),
    /// The open route of a service, written as `open/SERVICE`.
    Open(ServiceId),
}

/// Prefix of the textual key of an open route; organisation names contain no slash.
const OPEN_PREFIX: &str = "open/";

impl RateKey {
    /// Parses the textual form.
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

/// Returns whether a rate is too small to be split among this many instances.
///
/// Each data centre then has homes that hold its tokens, see
/// [`rate_homes`](crate::membership::rate_homes).
pub fn needs_homes(total: RateShare, instances: usize) -> bool {
    is_too_small_to_split(total, instances, false)
}

/// Returns the total of a rate limit in a document.
pub fn document_rate(document: &Document, key: &RateKey) -> Option<RateShare> {
    match key {
        RateKey::Organisation(name) => {
            let entry = document.organisations.get(name)?;
            Some(RateShare::from_document(entry.rate, entry.burst))
        }
        RateKey::Open(service) => {
            let route = document.open_routes.get(service)?;
            Some(RateShare::from_document(route.rate, route.burst))
        }
    }
}

/// Lists the rate limits in a document, of organisations and of open routes.
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

/// A share of a rate limit.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RateShare {
    /// Rate, in thousandths of a statement per second.
    pub rate: u64,
    /// Burst, in thousandths of a statement.
    pub burst: u64,
}

impl RateShare {
    /// Converts a rate and a burst in the units of the document, rounding down.
    pub fn from_document(rate: f64, burst: f64) -> Self {
        let milli = |whole: f64| (whole * MILLI as f64) as u64;
        Self {
            rate: milli(rate),
            burst: milli(burst),
        }
    }

    /// Returns whether both rate and burst are zero.
    pub fn is_empty(self) -> bool {
        self == Self::default()
    }

    fn saturating_sub(self, other: Self) -> Self {
        Self {
            rate: self.rate.saturating_sub(other.rate),
            burst: self.burst.saturating_sub(other.burst),
        }
    }

    fn fits_within(self, other: Self) -> bool {
        self.rate <= other.rate && self.burst <= other.burst
    }

    fn saturating_add(self, other: Self) -> Self {
        Self {
            rate: self.rate.saturating_add(other.rate),
            burst: self.burst.saturating_add(other.burst),
        }
    }
}

/// Running totals of what has been transferred in one direction since a registration began.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TransferTotal {
    /// Transferred rate and burst.
    pub share: RateShare,
    /// Tokens transferred together with the burst, in thousandths.
    pub tokens: u64,
}

impl TransferTotal {
    /// Returns the maximum of each field; totals only grow, so this is the most recent value.
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

/// An instance that holds shares; a restarted process is a different holder.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct HolderId {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Incarnation of the instance.
    pub incarnation: Incarnation,
}

/// Identifies the registration of one holder with one ledger; later registrations compare greater.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct RegistrationId {
    /// Epoch of the ledger, such as the term of the leader; at least 1.
    pub epoch: u64,
    /// Sequence number within the epoch.
    pub number: u64,
}

/// Demand and transfer totals that an instance reports for one rate limit.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DemandEntry {
    /// Owner of the rate.
    pub key: RateKey,
    /// Rate of all requests, admitted or not, in thousandths of a statement per second.
    pub demand_rate: u64,
    /// Tokens that waiting requests need beyond those available, in thousandths.
    pub token_shortfall: u64,
    /// Share already held when the registration began, carried over from an earlier epoch.
    pub base: RateShare,
    /// Total of the grants that have been applied.
    pub applied: TransferTotal,
    /// Total that has been returned; the instance no longer uses it.
    pub returned: TransferTotal,
}

/// Report of an instance about its shares.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ShareReport {
    /// Registration that the totals belong to; the default if there is none.
    pub registration: RegistrationId,
    /// Sequence number of the report within this incarnation.
    pub sequence: u64,
    /// Whether the instance is stopping and must be granted nothing more.
    pub leaving: bool,
    /// Entries that have changed since the last acknowledged report.
    pub entries: Vec<DemandEntry>,
}

/// State of one rate limit for one holder, as sent by the ledger.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GrantEntry {
    /// Owner of the rate.
    pub key: RateKey,
    /// Total that has been granted.
    pub granted: TransferTotal,
    /// Total that the holder is asked to have returned since the registration began.
    pub recalled: RateShare,
    /// Whether tokens are granted on demand. With each report the holder then returns the burst of
    /// spent tokens, and unused tokens beyond a reserve.
    pub on_demand: bool,
}

/// Reply of the ledger to a report.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ShareReply {
    /// Registration that applies from now on.
    pub registration: RegistrationId,
    /// Sequence number of the report that this replies to.
    pub sequence: u64,
    /// Whether the lease on the shares is renewed, counted from the time that report was sent.
    pub renewed: bool,
    /// Entries whose latest state the holder has not yet acknowledged.
    pub grants: Vec<GrantEntry>,
}
