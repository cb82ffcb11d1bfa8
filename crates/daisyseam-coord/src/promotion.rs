//! Failover and planned moves of the primary of a database group.
//!
//! [`GroupPromotion`] is the state machine of one group. It takes the known state as [`GroupFacts`]
//! and returns the commands to propose to the log and the calls to make to databases. It changes
//! the primary in this order:
//!
//! 1. The log records a new term without a primary.
//! 2. No instance acts on an earlier view any more, and enough databases have promised to reject
//!    lower terms that at least one of them has each acknowledged write.
//! 3. Of these, the database with the highest (term, position) is promoted, in that term only.
//! 4. The log records it as the primary.
//!
//! A promotion whose response is lost is retried at the same database. Another database is promoted
//! only in a later term, after a fence in that term.
//!
//! Databases with synchronous replication acknowledge commits themselves, once enough replicas have
//! them. These are stopped instead of promising a term. Either enough of them are stopped that at
//! least one has each acknowledged commit, or the former primary is stopped and the new primary has
//! reached the end of its log.

mod choice;
mod group;
mod stage;
mod synchronous;

pub use self::{
    group::{
        AnnouncedState,
        CallKind,
        CallOutcome,
        FenceOutcome,
        GroupFacts,
        GroupPromotion,
        MemberFacts,
        PromotionAction,
        PromotionSettings, //
    },
    synchronous::ElectionBasis, //
};
