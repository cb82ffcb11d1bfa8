//! Leases on views: which instances may still act on an old view, and when a view change is
//! complete.
//!
//! An instance measures its lease on its own clock, from the moment it *sent* the heartbeat. Control
//! measures it from the moment it *received* the heartbeat, and extends it by the drift bound. So as
//! long as no two clocks differ in rate by more than the bound, control never considers a lease
//! expired that its holder considers valid.
//!
//! # Examples
//!
//! ```
//! use daisyseam_coord::{
//!     Moment,
//!     view_lease::{
//!         LeaseClaim,
//!         LeaseSettings,
//!         LeaseTable, //
//!     }, //
//! };
//! use daisyseam_model::{
//!     Incarnation,
//!     InstanceId,
//!     ViewNumber, //
//! };
//!
//! let entry = InstanceId::new("entry-1").expect("a valid name");
//! let mut table = LeaseTable::new(LeaseSettings::default(), Moment::ORIGIN);
//! let now = Moment::from_millis(2_000);
//! let claim = LeaseClaim {
//!     instance: &entry,
//!     incarnation: Incarnation(1),
//!     view: ViewNumber(7),
//! };
//! table.grant(now, claim, ViewNumber(7)).expect("a first heartbeat is granted");
//! assert!(table.is_change_complete(now, ViewNumber(7)));
//! assert!(!table.is_change_complete(now, ViewNumber(8)), "entry-1 still acts on view 7");
//! assert!(table.is_change_complete(Moment::from_millis(3_100), ViewNumber(8)), "its lease has run out");
//! ```

use crate::Moment;
use daisyseam_model::{
    Incarnation,
    InstanceId,
    ViewNumber, //
};
use displaydoc::Display;
use std::{
    collections::BTreeMap,
    error::Error,
    time::Duration, //
};

/// Maximum difference in rate between two clocks, in parts per thousand.
const DRIFT_PER_MILLE: u32 = 50;
/// Duration of a lease on its holder's clock.
const LEASE_DURATION: Duration = Duration::from_millis(1_000);
/// Time within which an instance must release what a new view takes from it.
const LAG_MAX: Duration = Duration::from_millis(5_000);

/// Duration of leases and bounds on clocks and instances.
#[derive(Clone, Copy, Debug)]
pub struct LeaseSettings {
    /// Duration of a lease on its holder's clock.
    pub duration: Duration,
    /// Maximum difference in rate between two clocks, in parts per thousand.
    pub drift_per_mille: u32,
    /// Time after which an instance that has not confirmed a newer view is refused a lease.
    pub lag_max: Duration,
}

impl LeaseSettings {
    /// Returns the time after which a lease has expired on every clock within the drift bound.
    pub fn max_duration(&self) -> Duration {
        self.duration + self.duration * self.drift_per_mille / 1_000
    }
}

impl Default for LeaseSettings {
    fn default() -> Self {
        Self {
            duration: LEASE_DURATION,
            drift_per_mille: DRIFT_PER_MILLE,
            lag_max: LAG_MAX,
        }
    }
}

/// Contents of a heartbeat.
#[derive(Clone, Copy, Debug)]
pub struct LeaseClaim<'a> {
    /// Sender of the heartbeat.
    pub instance: &'a InstanceId,
    /// Incarnation of the sender.
    pub incarnation: Incarnation,
    /// View that the sender acts on; it never returns to an earlier one.
    pub view: ViewNumber,
}

/// Reason why a lease is refused.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum LeaseRefusal {
    /// the instance has not confirmed a newer view in time
    Lagging,
}

impl Error for LeaseRefusal {}

/// All leases that may still be valid.
#[derive(Clone, Debug)]
pub struct LeaseTable {
    settings: LeaseSettings,
    created_at: Moment,
    /// Moment until which leases granted by an earlier leader may be valid.
    takeover_until: Moment,
    rows: BTreeMap<Incarnation, LeaseRow>,
}

#[derive(Clone, Debug)]
struct LeaseRow {
    instance: InstanceId,
    view: ViewNumber,
    last_heartbeat: Moment,
    expires_at: Moment,
    /// First view offered and not yet confirmed, and when it was offered.
    unconfirmed: Option<(ViewNumber, Moment)>,
}

impl LeaseTable {
    /// Creates the table of a new leader, which does not know the leases of earlier ones.
    pub fn new(settings: LeaseSettings, now: Moment) -> Self {
        Self {
            settings,
            created_at: now,
            takeover_until: now + settings.max_duration(),
            rows: BTreeMap::new(),
        }
    }

    /// Returns the time after which a lease has expired on every clock.
    pub fn max_duration(&self) -> Duration {
        self.settings.max_duration()
    }

    /// Processes a heartbeat and grants a lease on the newest view.
    ///
    /// # Errors
    ///
    /// [`LeaseRefusal`] when the sender has not confirmed a newer view within
    /// [`LeaseSettings::lag_max`].
    pub fn grant(
        &mut self,
        now: Moment,
        claim: LeaseClaim<'_>,
        newest: ViewNumber,
    ) -> Result<Duration, LeaseRefusal> {
        let row = self.rows.entry(claim.incarnation);
        let row = row.or_insert_with(|| LeaseRow {
            instance: claim.instance.clone(),
            view: ViewNumber::default(),
            last_heartbeat: now,
            expires_at: now,
            unconfirmed: None,
        });
        // A delayed heartbeat is harmless: views only move forward, and a lease that control
        // counts for too long only delays a change.
        row.view = row.view.max(claim.view);
        row.last_heartbeat = now;
        if row
            .unconfirmed
            .is_some_and(|(unconfirmed, _)| row.view >= unconfirmed)
        {
            row.unconfirmed = None;
        }
        if row.view < newest {
            let (_, since) = *row.unconfirmed.get_or_insert((newest, now));
            if now.since(since) > self.settings.lag_max {
                return Err(LeaseRefusal::Lagging);
            }
        }
        row.expires_at = now + self.settings.max_duration();
        Ok(self.settings.duration)
    }

    /// Ends the takeover period early, because every instance that may hold a lease of an earlier
    /// leader has sent a heartbeat and the rows contain their views.
    pub fn end_takeover(&mut self, now: Moment) {
        self.takeover_until = self.takeover_until.min(now);
    }

    /// Returns the number of incarnations that have sent a heartbeat or were assigned by this leader.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns whether no incarnation has sent a heartbeat or was assigned by this leader.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Returns whether an incarnation has sent a heartbeat or was assigned by this leader.
    pub fn knows(&self, incarnation: Incarnation) -> bool {
        self.rows.contains_key(&incarnation)
    }

    /// Records that an incarnation was assigned just now, so that it does not count as silent before
    /// its first heartbeat.
    ///
    /// An earlier process of the same name has ended, since two cannot listen on one address.
    pub fn register(&mut self, now: Moment, instance: &InstanceId, incarnation: Incarnation) {
        self.rows
            .retain(|known, row| *known >= incarnation || row.instance != *instance);
        self.rows.entry(incarnation).or_insert_with(|| LeaseRow {
            instance: instance.clone(),
            view: ViewNumber::default(),
            last_heartbeat: now,
            expires_at: now,
            unconfirmed: None,
        });
    }

    /// Returns whether the change to a view is complete: no instance may act on an earlier view.
    pub fn is_change_complete(&self, now: Moment, view: ViewNumber) -> bool {
        now >= self.takeover_until
            && self
                .rows
                .values()
                .all(|row| row.view >= view || now >= row.expires_at)
    }

    /// Returns whether this incarnation may hold a valid lease.
    pub fn may_hold(&self, now: Moment, incarnation: Incarnation) -> bool {
        let row = self.rows.get(&incarnation);
        now < self.takeover_until || row.is_some_and(|row| now < row.expires_at)
    }

    /// Returns the time since the last heartbeat of an incarnation, or since the table was created
    /// if there was none.
    pub fn silence(&self, now: Moment, incarnation: Incarnation) -> Duration {
        let begin = self.created_at;
        let heard = self
            .rows
            .get(&incarnation)
            .map_or(begin, |row| row.last_heartbeat);
        now.since(heard)
    }

    /// Returns the view last reported by an incarnation.
    pub fn view(&self, incarnation: Incarnation) -> Option<ViewNumber> {
        self.rows.get(&incarnation).map(|row| row.view)
    }

    /// Lists the instances that may act on an earlier view, with that view.
    pub fn lagging(
        &self,
        now: Moment,
        view: ViewNumber,
    ) -> impl Iterator<Item = (&InstanceId, ViewNumber)> {
        let lagging = move |row: &&LeaseRow| row.view < view && now < row.expires_at;
        let rows = self.rows.values().filter(lagging);
        rows.map(|row| (&row.instance, row.view))
    }

    /// Removes rows whose lease has expired and whose instance is no longer a member.
    pub fn prune(&mut self, now: Moment, member: impl Fn(&InstanceId, Incarnation) -> bool) {
        self.rows
            .retain(|incarnation, row| now < row.expires_at || member(&row.instance, *incarnation));
    }
}
