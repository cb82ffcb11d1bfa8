//! Who becomes primary of a group, and when.
//!
//! [`GroupPromotion`] decides for one group. It is told what is known as [`GroupFacts`], and says
//! what to propose to the log and which calls to make to databases. An order that must hold:
//!
//! 1. The log says that nobody is primary, at a new term.
//! 2. No instance acts on an earlier view any more, and so many databases have promised to take
//!    nothing of a lower term that every acknowledged write is on one of them.
//! 3. Of these the one with the highest (term, position) is promoted, under that term only.
//! 4. The log says that it is primary.
//!
//! A promotion whose answer is lost is asked for again at the same database; any other database is
//! asked only under a later term, after a fence at that term.
//!
//! Where databases acknowledge commits by themselves, once so many replicas have them, they are
//! stopped instead of promising, and so many of them must be that each acknowledged commit is on
//! one; or the former primary is stopped, whose end another one has reached.

mod choice;
mod direct;
mod group;
mod stage;

pub use self::group::{
    AnnouncedState,
    CallAnswer,
    CallKind,
    GroupFacts,
    GroupPromotion,
    MemberFacts,
    PromotionAction,
    PromotionSettings, //
};
