//! Choice of a database for a link, and failover to the next.

use super::{
    broker::{
        FleetBroker,
        HolderPlace, //
    },
    link::FleetLink, //
};
use crate::{
    LinkBroker,
    LinkOrder,
    OpenedLink,
    StatementAccess,
    holder::{
        HolderOrder,
        HolderRefusal, //
    },
    peer::{
        OPEN_ROUTE,
        millis_until, //
    }, //
};
use daisyseam_model::{
    DataCentreId,
    ErrorKind,
    FleetView,
    GroupId,
    LogPosition,
    RequestError,
    Term,
    UpstreamId,
    document::{
        DataCentreState,
        Document, //
    }, //
};
use daisyseam_wire::{
    LinkRequest,
    WirePosition, //
};
use smallvec::SmallVec;
use std::time::Duration;

/// Longest wait for a near replica that is behind before the next database is asked.
const CATCH_UP: Duration = Duration::from_millis(20);

/// Part of a stated age after which the primary's position is read again.
const SAMPLES_PER_AGE: u32 = 4;

/// One database that may serve a read, in the order of preference.
type ReadCandidate<'a> = (ReadRank, &'a UpstreamId);

/// Smaller is better.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct ReadRank {
    primary: bool,
    behind: bool,
    distance: u8,
}

impl FleetBroker {
    /// Opens a link to a database that fits the order, going on to others until the deadline.
    pub(super) async fn open_link(
        &self,
        order: LinkOrder<'_>,
    ) -> Result<OpenedLink<FleetLink>, RequestError> {
        loop {
            let view = self.view(order.deadline).await?;
            let opened = match order.access {
                StatementAccess::Write => self.open_primary(&view, &order).await,
                StatementAccess::ReadAtLeast(floor) => {
                    self.open_read(&view, &order, Some(floor)).await
                }
                StatementAccess::ReadWithin { age, floor } => {
                    self.open_aged(&view, &order, age, floor).await
                }
            };
            let error = match opened {
                Ok(opened) => return Ok(opened),
                Err(error) => error,
            };
            if !is_passing(error.kind) || !self.pause(order.deadline).await {
                self.settings().metrics.count("link.refused");
                return Err(error);
            }
        }
    }

    async fn open_primary(
        &self,
        view: &FleetView,
        order: &LinkOrder<'_>,
    ) -> Result<OpenedLink<FleetLink>, RequestError> {
        let Some(group) = view.groups.get(order.group) else {
            return Err(ErrorKind::NoPrimary.into());
        };
        let Some(primary) = group.primary.active() else {
            return Err(ErrorKind::NoPrimary.into());
        };
        let attempt = LinkAttempt {
            upstream: primary,
            term: Some(group.term),
            floor: None,
            catch_up: Duration::ZERO,
        };
        self.attempt(view, order, attempt)
            .await
            .map_err(|refusal| match refusal {
                HolderRefusal::Behind(_) => ErrorKind::NoPrimary.into(),
                HolderRefusal::Refused(error) => error,
            })
    }

    async fn open_aged(
        &self,
        view: &FleetView,
        order: &LinkOrder<'_>,
        age: Duration,
        floor: Option<LogPosition>,
    ) -> Result<OpenedLink<FleetLink>, RequestError> {
        let samples = &self.shared.samples;
        let proven = match samples.proves(order.group, age) {
            Some(proven) => {
                if samples.is_due(order.group, age / SAMPLES_PER_AGE) {
                    self.sample_soon(order);
                }
                proven
            }
            // Without a measured age nothing may be claimed, so the primary is asked first.
            None => self
                .barrier(order.group, order.deadline)
                .await
                .map_err(|_| ErrorKind::NoReplica)?,
        };
        self.open_read(view, order, floor.max(Some(proven))).await
    }

    /// Reads the primary's position again without holding up the request.
    fn sample_soon(&self, order: &LinkOrder<'_>) {
        let broker = self.clone();
        let group = order.group.clone();
        let deadline = order.deadline;
        tokio::spawn(async move { broker.barrier(&group, deadline).await });
    }

    async fn open_read(
        &self,
        view: &FleetView,
        order: &LinkOrder<'_>,
        floor: Option<LogPosition>,
    ) -> Result<OpenedLink<FleetLink>, RequestError> {
        let mut last = RequestError::from(ErrorKind::NoReplica);
        for (rank, upstream) in self.read_candidates(view, order.group, floor) {
            let attempt = LinkAttempt {
                upstream,
                term: None,
                floor,
                catch_up: CATCH_UP,
            };
            debug_assert!(rank.distance <= 2);
            match self.attempt(view, order, attempt).await {
                Ok(opened) => return Ok(opened),
                Err(HolderRefusal::Behind(at)) => self.shared.known.learn(upstream, at),
                Err(HolderRefusal::Refused(error)) => {
                    if error.kind == ErrorKind::DeadlineBeforeSend {
                        return Err(error);
                    }
                    last = error;
                }
            }
        }
        Err(last)
    }

    /// Lists the databases that may serve a read: replicas that are known to have reached the
    /// floor first, near ones first, the primary last.
    fn read_candidates<'a>(
        &self,
        view: &'a FleetView,
        group: &'a GroupId,
        floor: Option<LogPosition>,
    ) -> SmallVec<[ReadCandidate<'a>; 4]> {
        let document = view.document.as_deref();
        let primary = view
            .groups
            .get(group)
            .and_then(|group| group.primary.active());
        let mut candidates: SmallVec<[ReadCandidate<'a>; 4]> = view
            .members(group)
            .filter(|(_, upstream)| !upstream.leaving && upstream.holder.is_some())
            .filter(|(_, upstream)| in_service(document, &upstream.data_centre))
            .map(|(name, upstream)| {
                let known = self.shared.known.get(name);
                let rank = ReadRank {
                    primary: Some(name) == primary,
                    behind: floor.is_some_and(|floor| known.is_none_or(|known| known < floor)),
                    distance: self.distance(document, &upstream.data_centre),
                };
                (rank, name)
            })
            .collect();
        candidates.sort_by_key(|(rank, _)| *rank);
        candidates
    }

    /// Returns 0 for this data centre, 1 for this region, 2 for others.
    fn distance(&self, document: Option<&Document>, other: &DataCentreId) -> u8 {
        let here = &self.settings().data_centre;
        if here == other {
            return 0;
        }
        let region = |data_centre| {
            let document = document?;
            Some(&document.data_centres.get(data_centre)?.region)
        };
        if region(here).is_some() && region(here) == region(other) {
            1
        } else {
            2
        }
    }

    async fn attempt(
        &self,
        view: &FleetView,
        order: &LinkOrder<'_>,
        attempt: LinkAttempt<'_>,
    ) -> Result<OpenedLink<FleetLink>, HolderRefusal> {
        let Some(place) = self.place(view, attempt.upstream) else {
            return Err(HolderRefusal::Refused(RequestError::new(
                ErrorKind::UpstreamUnreachable,
                "it has no holder at the moment",
            )));
        };
        // Counted before the link exists, so that a drain never misses one.
        let open = attempt
            .term
            .map(|term| self.shared.counts.enter(order.group, term));
        let (link, position) = match place {
            HolderPlace::Here => {
                let (pooled, position) = self.lend(order, &attempt).await?;
                (FleetLink::local(pooled, open), position)
            }
            HolderPlace::Peer(address) => {
                let request = attempt.request(order);
                let peers = &self.settings().peers;
                let (link, granted) = peers.open(address, request, order.deadline).await?;
                let position = granted.position.unwrap_or_default();
                (FleetLink::peer(link, open), position.into())
            }
        };
        self.shared.known.learn(attempt.upstream, position);
        self.settings().metrics.count("link.opened");
        let group = view.groups.get(order.group);
        let primary = group.and_then(|group| group.primary.active());
        Ok(OpenedLink {
            link,
            upstream: attempt.upstream.clone(),
            term: group.map_or(Term(0), |group| group.term),
            primary: primary == Some(attempt.upstream),
            position,
        })
    }

    async fn lend(
        &self,
        order: &LinkOrder<'_>,
        attempt: &LinkAttempt<'_>,
    ) -> Result<(crate::holder::PooledConnection, LogPosition), HolderRefusal> {
        let Some(handle) = self.settings().table.get(attempt.upstream) else {
            return Err(HolderRefusal::Refused(RequestError::new(
                ErrorKind::UpstreamUnreachable,
                "it is not held yet",
            )));
        };
        let order = HolderOrder {
            organisation: order.organisation.cloned(),
            term: attempt.term,
            floor: attempt.floor,
            catch_up: attempt.catch_up,
            deadline: order.deadline,
        };
        handle.lend(order).await
    }
}

/// One database that is asked for a link.
struct LinkAttempt<'a> {
    upstream: &'a UpstreamId,
    term: Option<Term>,
    floor: Option<LogPosition>,
    catch_up: Duration,
}

impl LinkAttempt<'_> {
    fn request(&self, order: &LinkOrder<'_>) -> LinkRequest {
        LinkRequest {
            upstream: self.upstream.to_string(),
            organisation: order
                .organisation
                .map_or(OPEN_ROUTE, |organisation| organisation.as_str())
                .to_owned(),
            term: self.term.unwrap_or_default().0,
            floor: self.floor.map(WirePosition::from),
            max_age_ms: 0,
            queue_ms: millis_until(order.deadline),
            catch_up_ms: u64::try_from(self.catch_up.as_millis()).unwrap_or(u64::MAX),
            traceparent: order.trace.to_string(),
        }
    }
}

/// Returns whether a data centre takes new work; one that the document does not name does.
fn in_service(document: Option<&Document>, data_centre: &DataCentreId) -> bool {
    let entry = document.and_then(|document| document.data_centres.get(data_centre));
    entry.is_none_or(|entry| entry.state == DataCentreState::Active)
}

/// Returns whether another attempt may succeed before long, on this database or another.
fn is_passing(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::NoPrimary
            | ErrorKind::NoReplica
            | ErrorKind::NoView
            | ErrorKind::UpstreamUnreachable
    )
}
