//! Messages that carry rate shares between instances and the quota ledger at control's leader.

use crate::ConvertError;
use daisyseam_coord::quota::{
    DemandEntry,
    GrantEntry,
    RateKey,
    RateShare,
    RegistrationId,
    ShareReply,
    ShareReport, //
    TransferTotal,
};

/// A rate, a burst and the tokens transferred with them.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct WireShare {
    /// Thousandths of a statement a second.
    #[prost(uint64, tag = "1")]
    pub rate: u64,
    /// Thousandths of a statement.
    #[prost(uint64, tag = "2")]
    pub burst: u64,
    /// Thousandths of a statement.
    #[prost(uint64, tag = "3")]
    pub tokens: u64,
}

/// An instance's report on one rate.
#[derive(Clone, PartialEq, prost::Message)]
pub struct WireDemand {
    /// Organisation, or `open/SERVICE`.
    #[prost(string, tag = "1")]
    pub key: String,
    /// Demanded rate, whether admitted or not, in thousandths of a statement a second.
    #[prost(uint64, tag = "2")]
    pub demand_rate: u64,
    /// Share that was held when the registration began.
    #[prost(message, optional, tag = "3")]
    pub base: Option<WireShare>,
    /// Total of the grants that have been applied.
    #[prost(message, optional, tag = "4")]
    pub applied: Option<WireShare>,
    /// Total of the shares returned to the ledger.
    #[prost(message, optional, tag = "5")]
    pub returned: Option<WireShare>,
    /// Tokens that waiting requests lack, in thousandths.
    #[prost(uint64, tag = "6")]
    pub token_shortfall: u64,
}

/// An instance's report on its shares.
#[derive(Clone, PartialEq, prost::Message)]
pub struct WireShareReport {
    /// Epoch of the registration; 0 for none.
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    /// Number of the registration.
    #[prost(uint64, tag = "2")]
    pub registration: u64,
    /// Counts the reports of this incarnation.
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
    /// Whether the instance is leaving and must receive no further grants.
    #[prost(bool, tag = "4")]
    pub leaving: bool,
    /// Rates that have changed.
    #[prost(message, repeated, tag = "5")]
    pub entries: Vec<WireDemand>,
}

/// The ledger's grants of one rate.
#[derive(Clone, PartialEq, prost::Message)]
pub struct WireGrant {
    /// Organisation, or `open/SERVICE`.
    #[prost(string, tag = "1")]
    pub key: String,
    /// Total of the grants.
    #[prost(message, optional, tag = "2")]
    pub granted: Option<WireShare>,
    /// Total share that the ledger has recalled.
    #[prost(message, optional, tag = "3")]
    pub recalled: Option<WireShare>,
    /// Whether tokens are granted on demand.
    #[prost(bool, tag = "4")]
    pub on_demand: bool,
}

/// The ledger's answer to a report.
#[derive(Clone, PartialEq, prost::Message)]
pub struct WireShareReply {
    /// Epoch of the registration.
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    /// Number of the registration.
    #[prost(uint64, tag = "2")]
    pub registration: u64,
    /// Sequence of the report that is answered.
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
    /// Whether the shares are valid for another lease period, counted from when that report was sent.
    #[prost(bool, tag = "4")]
    pub renewed: bool,
    /// Rates whose newest grants the receiver does not know yet.
    #[prost(message, repeated, tag = "5")]
    pub grants: Vec<WireGrant>,
}

impl WireShareReport {
    /// Converts a report to its message.
    pub fn present(report: &ShareReport) -> Self {
        let entries = report.entries.iter().map(|entry| WireDemand {
            key: entry.key.to_string(),
            demand_rate: entry.demand_rate,
            base: encode_share(entry.base),
            applied: encode_total(entry.applied),
            returned: encode_total(entry.returned),
            token_shortfall: entry.token_shortfall,
        });
        Self {
            epoch: report.registration.epoch,
            registration: report.registration.number,
            sequence: report.sequence,
            leaving: report.leaving,
            entries: entries.collect(),
        }
    }

    /// Converts the message to a report.
    ///
    /// # Errors
    ///
    /// [`ConvertError::Value`] when a rate key is not valid.
    pub fn read(&self) -> Result<ShareReport, ConvertError> {
        let entries = self.entries.iter().map(|entry| {
            Ok(DemandEntry {
                key: parse_key(&entry.key)?,
                demand_rate: entry.demand_rate,
                base: decode_total(entry.base).share,
                applied: decode_total(entry.applied),
                returned: decode_total(entry.returned),
                token_shortfall: entry.token_shortfall,
            })
        });
        Ok(ShareReport {
            registration: RegistrationId {
                epoch: self.epoch,
                number: self.registration,
            },
            sequence: self.sequence,
            leaving: self.leaving,
            entries: entries.collect::<Result<_, _>>()?,
        })
    }
}

impl WireShareReply {
    /// Converts a reply to its message.
    pub fn present(reply: &ShareReply) -> Self {
        let grants = reply.grants.iter().map(|grant| WireGrant {
            key: grant.key.to_string(),
            granted: encode_total(grant.granted),
            recalled: encode_share(grant.recalled),
            on_demand: grant.on_demand,
        });
        Self {
            epoch: reply.registration.epoch,
            registration: reply.registration.number,
            sequence: reply.sequence,
            renewed: reply.renewed,
            grants: grants.collect(),
        }
    }

    /// Converts the message to a reply.
    ///
    /// # Errors
    ///
    /// [`ConvertError::Value`] when a rate key is not valid.
    pub fn read(&self) -> Result<ShareReply, ConvertError> {
        let grants = self.grants.iter().map(|grant| {
            Ok(GrantEntry {
                key: parse_key(&grant.key)?,
                granted: decode_total(grant.granted),
                recalled: decode_total(grant.recalled).share,
                on_demand: grant.on_demand,
            })
        });
        Ok(ShareReply {
            registration: RegistrationId {
                epoch: self.epoch,
                number: self.registration,
            },
            sequence: self.sequence,
            renewed: self.renewed,
            grants: grants.collect::<Result<_, _>>()?,
        })
    }
}

fn parse_key(text: &str) -> Result<RateKey, ConvertError> {
    RateKey::parse(text).ok_or_else(|| ConvertError::Value(text.to_owned(), "the key of a rate"))
}

fn encode_share(share: RateShare) -> Option<WireShare> {
    encode_total(TransferTotal { share, tokens: 0 })
}

/// Returns `None` for an empty total, which is left out of the message.
fn encode_total(total: TransferTotal) -> Option<WireShare> {
    (total != TransferTotal::default()).then_some(WireShare {
        rate: total.share.rate,
        burst: total.share.burst,
        tokens: total.tokens,
    })
}

fn decode_total(share: Option<WireShare>) -> TransferTotal {
    let share = share.unwrap_or_default();
    TransferTotal {
        share: RateShare {
            rate: share.rate,
            burst: share.burst,
        },
        tokens: share.tokens,
    }
}
