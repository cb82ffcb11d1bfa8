//! Shares of rates as they travel between instances and the ledger at control's leader.

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

/// A rate, a burst and the tokens that go along.
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

/// What an instance says of one rate.
#[derive(Clone, PartialEq, prost::Message)]
pub struct WireDemand {
    /// Organisation, or `open/SERVICE`.
    #[prost(string, tag = "1")]
    pub key: String,
    /// Wanted rate, admitted or not, in thousandths of a statement a second.
    #[prost(uint64, tag = "2")]
    pub wanted: u64,
    /// Share that was held when the holding began.
    #[prost(message, optional, tag = "3")]
    pub base: Option<WireShare>,
    /// Total of the grants that have been applied.
    #[prost(message, optional, tag = "4")]
    pub applied: Option<WireShare>,
    /// Total of what has been given up for good.
    #[prost(message, optional, tag = "5")]
    pub returned: Option<WireShare>,
    /// Tokens that waiting requests lack, in thousandths.
    #[prost(uint64, tag = "6")]
    pub lacking: u64,
}

/// What an instance says of its shares.
#[derive(Clone, PartialEq, prost::Message)]
pub struct WireShareReport {
    /// Epoch of the holding; 0 for none.
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    /// Number of the holding.
    #[prost(uint64, tag = "2")]
    pub holding: u64,
    /// Counts the reports of this incarnation.
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
    /// Whether the instance is to get nothing more.
    #[prost(bool, tag = "4")]
    pub leaving: bool,
    /// Rates of which something has changed.
    #[prost(message, repeated, tag = "5")]
    pub entries: Vec<WireDemand>,
}

/// What the ledger has granted of one rate.
#[derive(Clone, PartialEq, prost::Message)]
pub struct WireGrant {
    /// Organisation, or `open/SERVICE`.
    #[prost(string, tag = "1")]
    pub key: String,
    /// Total of what has been granted.
    #[prost(message, optional, tag = "2")]
    pub granted: Option<WireShare>,
    /// Total that is to have been returned.
    #[prost(message, optional, tag = "3")]
    pub asked: Option<WireShare>,
    /// Whether tokens are granted on demand.
    #[prost(bool, tag = "4")]
    pub on_demand: bool,
}

/// The ledger's answer to a report.
#[derive(Clone, PartialEq, prost::Message)]
pub struct WireShareReply {
    /// Epoch of the holding.
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    /// Number of the holding.
    #[prost(uint64, tag = "2")]
    pub holding: u64,
    /// Sequence of the report that is answered.
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
    /// Whether the shares are good for another lease from the sending of that report.
    #[prost(bool, tag = "4")]
    pub renewed: bool,
    /// Rates of which the receiver does not know the newest.
    #[prost(message, repeated, tag = "5")]
    pub grants: Vec<WireGrant>,
}

impl WireShareReport {
    /// Makes the message.
    pub fn present(report: &ShareReport) -> Self {
        let entries = report.entries.iter().map(|entry| WireDemand {
            key: entry.key.to_string(),
            wanted: entry.demand_rate,
            base: present_share(entry.base),
            applied: present_total(entry.applied),
            returned: present_total(entry.returned),
            lacking: entry.token_shortfall,
        });
        Self {
            epoch: report.registration.epoch,
            holding: report.registration.number,
            sequence: report.sequence,
            leaving: report.leaving,
            entries: entries.collect(),
        }
    }

    /// Reads the message.
    ///
    /// # Errors
    ///
    /// [`ConvertError::Value`] when a key is no name.
    pub fn read(&self) -> Result<ShareReport, ConvertError> {
        let entries = self.entries.iter().map(|entry| {
            Ok(DemandEntry {
                key: read_key(&entry.key)?,
                demand_rate: entry.wanted,
                base: read_total(entry.base).share,
                applied: read_total(entry.applied),
                returned: read_total(entry.returned),
                token_shortfall: entry.lacking,
            })
        });
        Ok(ShareReport {
            registration: RegistrationId {
                epoch: self.epoch,
                number: self.holding,
            },
            sequence: self.sequence,
            leaving: self.leaving,
            entries: entries.collect::<Result<_, _>>()?,
        })
    }
}

impl WireShareReply {
    /// Makes the message.
    pub fn present(reply: &ShareReply) -> Self {
        let grants = reply.grants.iter().map(|grant| WireGrant {
            key: grant.key.to_string(),
            granted: present_total(grant.granted),
            asked: present_share(grant.recalled),
            on_demand: grant.on_demand,
        });
        Self {
            epoch: reply.registration.epoch,
            holding: reply.registration.number,
            sequence: reply.sequence,
            renewed: reply.renewed,
            grants: grants.collect(),
        }
    }

    /// Reads the message.
    ///
    /// # Errors
    ///
    /// [`ConvertError::Value`] when a key is no name.
    pub fn read(&self) -> Result<ShareReply, ConvertError> {
        let grants = self.grants.iter().map(|grant| {
            Ok(GrantEntry {
                key: read_key(&grant.key)?,
                granted: read_total(grant.granted),
                recalled: read_total(grant.asked).share,
                on_demand: grant.on_demand,
            })
        });
        Ok(ShareReply {
            registration: RegistrationId {
                epoch: self.epoch,
                number: self.holding,
            },
            sequence: self.sequence,
            renewed: self.renewed,
            grants: grants.collect::<Result<_, _>>()?,
        })
    }
}

fn read_key(text: &str) -> Result<RateKey, ConvertError> {
    RateKey::parse(text).ok_or_else(|| ConvertError::Value(text.to_owned(), "the key of a rate"))
}

fn present_share(share: RateShare) -> Option<WireShare> {
    present_total(TransferTotal { share, tokens: 0 })
}

/// Leaves out what is nothing.
fn present_total(total: TransferTotal) -> Option<WireShare> {
    (total != TransferTotal::default()).then_some(WireShare {
        rate: total.share.rate,
        burst: total.share.burst,
        tokens: total.tokens,
    })
}

fn read_total(share: Option<WireShare>) -> TransferTotal {
    let share = share.unwrap_or_default();
    TransferTotal {
        share: RateShare {
            rate: share.rate,
            burst: share.burst,
        },
        tokens: share.tokens,
    }
}
