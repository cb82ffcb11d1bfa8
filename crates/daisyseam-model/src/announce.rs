//! What databases say of themselves over HTTP, and what they are asked to do.
//!
//! A database posts an [`Announcement`] to `/announce` of an entry instance of its data centre,
//! again and again. On its own HTTP port it answers `GET /state` and `POST /fence`, `/promote`
//! and `/follow`, each with its [`UpstreamState`].

use crate::{
    ClusterId,
    DataCentreId,
    GroupId,
    LogPosition,
    Term,
    UpstreamId, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use std::net::SocketAddr;

/// What a database posts to `/announce`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Cluster it belongs to.
    pub cluster: ClusterId,
    /// Its name.
    pub upstream: UpstreamId,
    /// Group it belongs to.
    pub group: GroupId,
    /// Data centre it runs in.
    pub data_centre: DataCentreId,
    /// Address of its PostgreSQL port.
    pub address: SocketAddr,
    /// Address of its HTTP port.
    pub admin_address: SocketAddr,
    /// Present state.
    pub state: UpstreamState,
    /// Whether it is about to leave.
    pub leaving: bool,
}

/// What an entry answers to an announcement.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AnnouncementReply {
    /// Time until the next announcement is wanted, in milliseconds.
    pub next_ms: u64,
}

/// State of one database.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct UpstreamState {
    /// Highest term that it has promised to; nothing of a lower term is taken any more.
    pub promised: Term,
    /// End of its log, in the term in which it was written.
    pub end: LogPosition,
    /// What it does.
    pub role: UpstreamRole,
}

/// What a database does in its group.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum UpstreamRole {
    /// It takes writes.
    Primary,
    /// It follows a primary.
    Replica,
    /// It follows nobody and takes no writes.
    Detached,
}

/// Asks a database to take nothing of a lower term any more.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct FenceCall {
    /// The promise asked for; it is kept over restarts.
    pub term: Term,
}

/// Asks a database to become primary.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PromoteCall {
    /// Its term; refused if it has promised to a higher one.
    pub term: Term,
    /// End of its log when it was chosen; refused if its log ends elsewhere.
    pub end: LogPosition,
}

/// Asks a database to follow a primary.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct FollowCall {
    /// Term of the primary; refused if it has promised to a higher one.
    pub term: Term,
    /// The primary.
    pub primary: UpstreamId,
    /// HTTP address of the primary.
    pub admin_address: SocketAddr,
    /// Place from which that primary went on; whatever lies past it in an older term is dropped.
    pub lineage_start: LogPosition,
}
