//! Leases on views: who may still act on an old view, and when a change is finished.
//!
//! An instance's lease runs on its own clock from the moment it *sent* its heartbeat; control
//! counts it from the moment it *received* the heartbeat, and longer by the drift bound. So control
//! never believes a lease over that its holder believes to hold, as long as no two clocks differ in
//! rate by more than the bound.
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
//! let entry = InstanceId::new("entry-1").expect("a sound name");
//! let mut table = LeaseTable::begin(LeaseSettings::default(), Moment::ORIGIN);
//! let now = Moment::from_millis(2_000);
//! let claim = LeaseClaim {
//!     instance: &entry,
//!     incarnation: Incarnation(1),
//!     view: ViewNumber(7),
//! };
//! table.grant(now, claim, ViewNumber(7)).expect("a first heartbeat is granted");
//! assert!(table.is_finished(now, ViewNumber(7)));
//! assert!(!table.is_finished(now, ViewNumber(8)), "entry-1 still acts on view 7");
//! assert!(table.is_finished(Moment::from_millis(3_100), ViewNumber(8)), "its lease has run out");
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

/// Parts per thousand by which two clocks may differ in rate.
const DRIFT_PER_MILLE: u32 = 50;
/// Time that a lease holds on its holder's clock.
const LEASE_DURATION: Duration = Duration::from_millis(1_000);
/// Time that an instance may take to let go of what a new view takes from it.
const LAG_MAX: Duration = Duration::from_millis(5_000);

/// How long leases hold and how far clocks may differ.
#[derive(Clone, Copy, Debug)]
pub struct LeaseSettings {
    /// Time that a lease holds on its holder's clock.
    pub duration: Duration,
    /// Greatest difference in rate of two clocks, in parts per thousand.
    pub drift_per_mille: u32,
    /// Time after which an instance that has not confirmed a view gets no lease any more.
    pub lag_max: Duration,
}

impl LeaseSettings {
    /// Returns the time after which a lease is over on every clock within the bound.
    pub fn span(&self) -> Duration {
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

/// What a heartbeat says.
#[derive(Clone, Copy, Debug)]
pub struct LeaseClaim<'a> {
    /// Sender.
    pub instance: &'a InstanceId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// View that it acts on; it never goes back to an earlier one.
    pub view: ViewNumber,
}

/// Why no lease is given.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum LeaseRefusal {
    /// the instance does not take the views that it is sent
    Lagging,
}

impl Error for LeaseRefusal {}

/// Every lease that may still hold.
#[derive(Clone, Debug)]
pub struct LeaseTable {
    settings: LeaseSettings,
    begun: Moment,
    /// Until then leases of an earlier leader may hold.
    takeover_until: Moment,
    rows: BTreeMap<Incarnation, LeaseRow>,
}

#[derive(Clone, Debug)]
struct LeaseRow {
    instance: InstanceId,
    view: ViewNumber,
    heard_at: Moment,
    until: Moment,
    offered: Option<(ViewNumber, Moment)>,
}

impl LeaseTable {
    /// Starts a table for a new leader, which knows nothing of leases that an earlier one gave.
    pub fn begin(settings: LeaseSettings, now: Moment) -> Self {
        Self {
            settings,
            begun: now,
            takeover_until: now + settings.span(),
            rows: BTreeMap::new(),
        }
    }

    /// Returns the time after which a lease is over on every clock.
    pub fn span(&self) -> Duration {
        self.settings.span()
    }

    /// Takes a heartbeat, and gives a lease on the newest view.
    ///
    /// # Errors
    ///
    /// [`LeaseRefusal`] when the heartbeat is old, or when the sender does not take new views.
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
            heard_at: now,
            until: now,
            offered: None,
        });
        // A late heartbeat does no harm: views only go forward, and a lease that control counts
        // for too long only delays a change.
        row.view = row.view.max(claim.view);
        row.heard_at = now;
        if row.offered.is_some_and(|(offered, _)| row.view >= offered) {
            row.offered = None;
        }
        if row.view < newest {
            let (_, since) = *row.offered.get_or_insert((newest, now));
            if now.since(since) > self.settings.lag_max {
                return Err(LeaseRefusal::Lagging);
            }
        }
        row.until = now + self.settings.span();
        Ok(self.settings.duration)
    }

    /// Learns that all instances that an earlier leader may have given a lease to have been heard:
    /// what they may act on stands in the rows.
    pub fn end_takeover(&mut self, now: Moment) {
        self.takeover_until = self.takeover_until.min(now);
    }

    /// Returns whether an incarnation has been heard, or was given by this leader.
    pub fn knows(&self, incarnation: Incarnation) -> bool {
        self.rows.contains_key(&incarnation)
    }

    /// Notes that an incarnation was given just now, so that it is not silent before it speaks.
    ///
    /// A former process of the same name has ended: two cannot listen on one address.
    pub fn admit(&mut self, now: Moment, instance: &InstanceId, incarnation: Incarnation) {
        self.rows
            .retain(|known, row| *known >= incarnation || row.instance != *instance);
        self.rows.entry(incarnation).or_insert_with(|| LeaseRow {
            instance: instance.clone(),
            view: ViewNumber::default(),
            heard_at: now,
            until: now,
            offered: None,
        });
    }

    /// Returns whether nobody may act on a view before this one any more.
    pub fn is_finished(&self, now: Moment, view: ViewNumber) -> bool {
        now >= self.takeover_until
            && self
                .rows
                .values()
                .all(|row| row.view >= view || now >= row.until)
    }

    /// Returns whether a lease of this incarnation may hold.
    pub fn may_hold(&self, now: Moment, incarnation: Incarnation) -> bool {
        let row = self.rows.get(&incarnation);
        now < self.takeover_until || row.is_some_and(|row| now < row.until)
    }

    /// Returns how long nothing was heard of an incarnation; since the start if nothing was.
    pub fn silence(&self, now: Moment, incarnation: Incarnation) -> Duration {
        let begin = self.begun;
        let heard = self
            .rows
            .get(&incarnation)
            .map_or(begin, |row| row.heard_at);
        now.since(heard)
    }

    /// Returns the view that an incarnation last named.
    pub fn view(&self, incarnation: Incarnation) -> Option<ViewNumber> {
        self.rows.get(&incarnation).map(|row| row.view)
    }

    /// Lists the instances that may act on a view before this one.
    pub fn lagging(
        &self,
        now: Moment,
        view: ViewNumber,
    ) -> impl Iterator<Item = (&InstanceId, ViewNumber)> {
        let lagging = move |row: &&LeaseRow| row.view < view && now < row.until;
        let rows = self.rows.values().filter(lagging);
        rows.map(|row| (&row.instance, row.view))
    }

    /// Drops rows whose lease is over and which are no longer members.
    pub fn prune(&mut self, now: Moment, member: impl Fn(&InstanceId, Incarnation) -> bool) {
        self.rows
            .retain(|incarnation, row| now < row.until || member(&row.instance, *incarnation));
    }
}
