//! Membership of the log.

use bytes::Bytes;
use daisyseam_model::InstanceId;
use prost::Message;
use std::{
    collections::BTreeMap,
    net::SocketAddr, //
};

/// The members of the log and the addresses on which they accept connections from each other.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct MemberTable {
    /// Members that vote and count towards a majority.
    pub voters: BTreeMap<InstanceId, SocketAddr>,
    /// Members that receive the log without voting, until they have caught up.
    pub learners: BTreeMap<InstanceId, SocketAddr>,
    /// Target number of voters: the initial number.
    pub target_voters: usize,
}

/// A membership change; only one can be in progress at a time.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MemberChange {
    /// Adds an instance as a learner, which receives the log without voting.
    AddLearner(InstanceId, SocketAddr),
    /// Turns a learner that has caught up into a voter.
    Promote(InstanceId),
    /// Removes a voter or learner.
    Remove(InstanceId),
}

impl MemberTable {
    /// Creates a table of voters without learners.
    pub fn from_voters(voters: impl IntoIterator<Item = (InstanceId, SocketAddr)>) -> Self {
        let voters: BTreeMap<_, _> = voters.into_iter().collect();
        let target_voters = voters.len();
        Self {
            voters,
            learners: BTreeMap::new(),
            target_voters,
        }
    }

    /// Returns the address of a member.
    pub fn address(&self, member: &InstanceId) -> Option<SocketAddr> {
        let address = self.voters.get(member);
        address.or_else(|| self.learners.get(member)).copied()
    }

    /// Iterates over the voters, then the learners.
    pub fn all(&self) -> impl Iterator<Item = (&InstanceId, &SocketAddr)> {
        self.voters.iter().chain(self.learners.iter())
    }

    /// Returns the number of voters that form a majority.
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Returns the table after a change, or `None` if the change is not applicable.
    pub fn with_change(&self, change: &MemberChange) -> Option<Self> {
        let mut table = self.clone();
        match change {
            MemberChange::AddLearner(member, address) => {
                if table.address(member).is_some() {
                    return None;
                }
                table.learners.insert(member.clone(), *address);
            }
            MemberChange::Promote(member) => {
                let address = table.learners.remove(member)?;
                table.voters.insert(member.clone(), address);
            }
            MemberChange::Remove(member) => {
                let voter = table.voters.remove(member).is_some();
                let learner = table.learners.remove(member).is_some();
                if table.voters.is_empty() || !(voter || learner) {
                    return None;
                }
            }
        }
        Some(table)
    }

    /// Encodes the table.
    pub fn encode(&self) -> Bytes {
        let list = |members: &BTreeMap<InstanceId, SocketAddr>| {
            let record = |(name, address): (&InstanceId, &SocketAddr)| MemberRecord {
                name: name.to_string(),
                address: address.to_string(),
            };
            members.iter().map(record).collect()
        };
        let record = MembersRecord {
            voters: list(&self.voters),
            learners: list(&self.learners),
            target_voters: self.target_voters as u64,
        };
        Bytes::from(record.encode_to_vec())
    }

    /// Decodes a table; returns `None` if the bytes are invalid.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let record = MembersRecord::decode(bytes).ok()?;
        let map = |members: Vec<MemberRecord>| -> Option<BTreeMap<InstanceId, SocketAddr>> {
            let pair = |member: MemberRecord| {
                let name = member.name.parse().ok()?;
                Some((name, member.address.parse().ok()?))
            };
            members.into_iter().map(pair).collect()
        };
        let voters = map(record.voters)?;
        let target_voters = match usize::try_from(record.target_voters).ok()? {
            0 => voters.len(),
            target_voters => target_voters,
        };
        Some(Self {
            voters,
            learners: map(record.learners)?,
            target_voters,
        })
    }
}

#[derive(Clone, PartialEq, prost::Message)]
struct MembersRecord {
    #[prost(message, repeated, tag = "1")]
    voters: Vec<MemberRecord>,
    #[prost(message, repeated, tag = "2")]
    learners: Vec<MemberRecord>,
    #[prost(uint64, tag = "3")]
    target_voters: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
struct MemberRecord {
    #[prost(string, tag = "1")]
    name: String,
    #[prost(string, tag = "2")]
    address: String,
}
