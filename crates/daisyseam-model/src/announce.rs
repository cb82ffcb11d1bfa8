//! Messages over HTTP by which databases announce themselves and receive commands.
//!
//! A database posts an [`Announcement`] to `/announce` of an entry instance of its data centre,
//! at intervals. On its own HTTP port it answers `GET /state` and `POST /fence`, `/promote`
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

/// Largest integer that every JSON writer can represent exactly.
const EXACT_INTEGER_MAX: u64 = 1 << 53;

/// Returns whether a database can have announced these values. An announcement with a higher
/// sequence or start time would hide all later ones of the real database.
pub fn is_plausible(address: SocketAddr, sequence: u64, born_ms: u64) -> bool {
    address.port() != 0 && sequence <= EXACT_INTEGER_MAX && born_ms <= EXACT_INTEGER_MAX
}

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
    /// Highest term that it has promised to; it accepts nothing of a lower term.
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
    /// It accepts writes.
    Primary,
    /// It follows a primary.
    Replica,
    /// It follows no primary and accepts no writes.
    Detached,
}

/// Asks a database to accept nothing of a lower term from now on.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct FenceCall {
    /// The term to promise; the promise survives restarts.
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
    /// Position at which that primary took over; log records of an older term past it are dropped.
    pub lineage_start: LogPosition,
}
