//! The view: what control has decided and every instance acts on while its lease holds.

use crate::{
    DataCentreId,
    GroupId,
    InstanceId,
    LogPosition,
    Term,
    UpstreamId,
    document::{
        DataCentreState,
        Document, //
    }, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    net::SocketAddr,
    sync::Arc, //
};

/// Number of an accepted document; each accepted document has the number after its predecessor.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct DocumentNumber(pub u64);

/// Number of a view; every change of the view raises it by one.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct ViewNumber(pub u64);

/// Distinguishes a restarted process from its previous run; assigned by control, never reused.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

/// Everything an entry instance needs to decide on its own while its view lease holds.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetView {
    /// Number of this view.
    pub number: ViewNumber,
    /// Number of the document in force.
    pub document_number: DocumentNumber,
    /// The document in force; none before the first submission.
    pub document: Option<Arc<Document>>,
    /// State of each database group.
    pub groups: BTreeMap<GroupId, GroupView>,
    /// Databases that have announced themselves.
    pub upstreams: BTreeMap<UpstreamId, UpstreamView>,
    /// Entry instances that are members.
    pub instances: BTreeMap<InstanceId, InstanceView>,
    /// Data centres that an order took out of service, besides those of the document.
    pub evacuated: BTreeSet<DataCentreId>,
}

/// The state of one database group.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct GroupView {
    /// Highest term assigned so far.
    pub term: Term,
    /// Who holds that term.
    pub primary: PrimaryState,
    /// Start of the current lineage: the position at which the primary of `term` took over.
    pub lineage_start: LogPosition,
}

/// Who may take writes of a group.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum PrimaryState {
    /// No database: the former primary is fenced and no other is chosen yet.
    Fenced,
    /// A planned move of the primary: running transactions finish, new ones are queued.
    Draining(UpstreamId),
    /// This database, until the view says otherwise.
    Active(UpstreamId),
}

impl GroupView {
    /// Returns whether a log that ends at `end` contains everything up to `place`, a position that
    /// the primary has reported.
    ///
    /// Before it has written anything, a primary may report the start of its lineage in its own
    /// term, while the logs of the others still end in the previous term.
    pub fn reaches(&self, end: LogPosition, place: LogPosition) -> bool {
        let unwritten =
            place.position == self.lineage_start.position && place.term == self.lineage_start.term;
        end >= place || unwritten && end.position == place.position
    }

    /// Returns whether a log that ends at one position may be one that has reached another.
    ///
    /// What a log had beyond the start of the lineage before that began may have been rolled back.
    pub fn keeps(&self, end: LogPosition, seen: LogPosition) -> bool {
        match seen.term < self.lineage_start.term {
            true => end.position >= seen.position.min(self.lineage_start.position),
            false => self.reaches(end, seen),
        }
    }
}

impl PrimaryState {
    /// Returns the database that may take new transactions.
    pub fn active(&self) -> Option<&UpstreamId> {
        match self {
            Self::Active(upstream) => Some(upstream),
            Self::Fenced | Self::Draining(_) => None,
        }
    }
}

/// One announced database.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct UpstreamView {
    /// Group it belongs to.
    pub group: GroupId,
    /// Data centre it runs in.
    pub data_centre: DataCentreId,
    /// Address of its PostgreSQL port.
    pub address: SocketAddr,
    /// Address of its HTTP port for promotion and state.
    pub admin_address: SocketAddr,
    /// Entry instance that holds its connections; none while a change of holder waits for a lease.
    pub holder: Option<InstanceId>,
    /// Whether it is leaving: no new work, running work finishes.
    pub leaving: bool,
    /// When its process started, by its own clock, in milliseconds since 1970; 0 if unknown. A
    /// later start at the same address or under the same name supersedes an earlier one.
    pub born_ms: u64,
    /// Whether its process has had each acknowledged commit since it started, so that its copy of a
    /// commit counts. A process that has not caught up yet is a learner.
    pub voter: bool,
}

/// One entry instance.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct InstanceView {
    /// Its present incarnation.
    pub incarnation: Incarnation,
    /// Data centre it runs in.
    pub data_centre: DataCentreId,
    /// Address on which it answers its peers.
    pub peer_address: SocketAddr,
    /// Whether it is stopping: it is assigned no more databases.
    pub leaving: bool,
}

impl FleetView {
    /// Returns whether a data centre takes new work.
    pub fn in_service(&self, data_centre: &DataCentreId) -> bool {
        let document = self.document.as_ref();
        let entry = document.and_then(|document| document.data_centres.get(data_centre));
        let is_out = entry.is_some_and(|entry| entry.state == DataCentreState::Out);
        !is_out && !self.evacuated.contains(data_centre)
    }

    /// Returns the databases of a group, in the order of their names.
    pub fn members<'a>(
        &'a self,
        group: &'a GroupId,
    ) -> impl Iterator<Item = (&'a UpstreamId, &'a UpstreamView)> {
        self.upstreams
            .iter()
            .filter(move |(_, upstream)| &upstream.group == group)
    }
}
