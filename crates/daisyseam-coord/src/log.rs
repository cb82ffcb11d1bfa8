//! A replicated log in the manner of Raft, with pre-votes, leader leases and snapshots.
//!
//! Each term has at most one leader, and an entry is committed once a majority of voters has it.
//! [`ReplicatedLog`] uses no sockets, files or clocks. Events are passed in as method calls with the
//! current [`Moment`](crate::Moment). [`ReplicatedLog::take_output`] returns what to write, send and
//! apply, ordered so that votes and acknowledgements are durable before they are sent.
//!
//! # Examples
//!
//! A log of one member elects itself, and commits once its entry is synced:
//!
//! ```
//! use daisyseam_coord::{
//!     Moment,
//!     log::{
//!         DurableLog,
//!         LogSettings,
//!         MemberTable,
//!         ReplicatedLog, //
//!     }, //
//! };
//! use daisyseam_model::InstanceId;
//! use rand_chacha::{
//!     ChaCha8Rng,
//!     rand_core::SeedableRng, //
//! };
//!
//! let me = InstanceId::new("control-1").expect("a sound name");
//! let address = "127.0.0.1:7000".parse().expect("a sound address");
//! let durable = DurableLog::initial(MemberTable::from_voters([(me.clone(), address)]));
//! let random = ChaCha8Rng::seed_from_u64(1);
//! let mut log = ReplicatedLog::recover(me, LogSettings::default(), durable, Moment::ORIGIN, random);
//! log.tick(Moment::from_millis(1_000));
//! let output = log.take_output();
//! assert!(!output.writes.is_empty(), "the vote is written first");
//! log.synced(Moment::from_millis(1_000));
//! assert!(log.is_leader());
//! ```

mod entry;
mod follower;
mod leader;
mod members;
mod message;
mod output;
mod role;
mod snapshot;
mod vote;

pub use self::{
    entry::{
        EntryKind,
        LogEntry,
        LogIndex,
        LogTerm, //
    },
    members::{
        MemberChange,
        MemberTable, //
    },
    message::{
        AppendRequest,
        AppendResponse,
        LogMessage,
        SnapshotChunk,
        SnapshotResponse,
        TransferRequest,
        VoteRequest,
        VoteResponse, //
    },
    output::{
        DurableLog,
        LogOutput,
        LogSnapshot,
        LogWrite, //
    },
    role::{
        LogSettings,
        ProposeError,
        ReplicatedLog, //
    }, //
};
