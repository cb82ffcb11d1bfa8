//! Choice of a database for a link, and failover to another.

use super::{
    broker::{
        FleetBroker,
        HolderPlace, //
    },
    link::FleetLink,
    routes::RouteUse, //
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
use daisyseam_coord::route::{
    RouteCandidate,
    RouteDistance, //
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

/// Number of samples of the primary's position taken within a requested maximum age.
const SAMPLES_PER_AGE: u32 = 4;

impl FleetBroker {
    /// Opens a link to a suitable database, trying others until the deadline.
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
            expected_wait: Duration::ZERO,
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
            // Without a sample no age can be guaranteed, so the primary is queried first.
            None => self
                .barrier(order.group, order.deadline)
                .await
                .map_err(|_| ErrorKind::NoReplica)?,
        };
        self.open_read(view, order, floor.max(Some(proven))).await
    }

    /// Reads the primary's position in the background, without delaying the request.
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
        let mut candidates = self.read_candidates(view, order.group);
        let routes = &self.shared.routes;
        for step in routes.plan(order.group, floor, order.deadline, &mut candidates) {
            let attempt = LinkAttempt {
                upstream: step.upstream,
                term: None,
                floor,
                expected_wait: step.expected_wait,
                catch_up: step.max_wait,
            };
            match self.attempt(view, order, attempt).await {
                Ok(opened) => return Ok(opened),
                Err(HolderRefusal::Behind(at)) => self.learn_position(view, step.upstream, at),
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

    /// Returns the databases that may serve a read.
    fn read_candidates<'a>(
        &self,
        view: &'a FleetView,
        group: &GroupId,
    ) -> SmallVec<[RouteCandidate<'a>; 4]> {
        let document = view.document.as_deref();
        let slots = document.and_then(|document| document.groups.get(group));
        let slots = slots.map_or(1, |entry| entry.slots);
        let primary = view
            .groups
            .get(group)
            .and_then(|group| group.primary.active());
        view.upstreams
            .iter()
            .filter(|(_, upstream)| upstream.group == *group)
            .filter(|(_, upstream)| !upstream.leaving && upstream.holder.is_some())
            .filter(|(_, upstream)| in_service(document, &upstream.data_centre))
            .map(|(name, upstream)| RouteCandidate {
                upstream: name,
                primary: Some(name) == primary,
                distance: self.distance(document, &upstream.data_centre),
                slots,
                ejected: false,
            })
            .collect()
    }

    /// Records the position of a database; that of the primary is the end of the group's log.
    pub(super) fn learn_position(&self, view: &FleetView, name: &UpstreamId, at: LogPosition) {
        let Some(upstream) = view.upstreams.get(name) else {
            return;
        };
        let group = view.groups.get(&upstream.group);
        let routes = &self.shared.routes;
        if group.and_then(|group| group.primary.active()) == Some(name) {
            routes.learn_written(&upstream.group, at);
        } else {
            routes.learn_replica(&upstream.group, name, at);
        }
    }

    fn distance(&self, document: Option<&Document>, other: &DataCentreId) -> RouteDistance {
        let here = &self.settings().data_centre;
        if here == other {
            return RouteDistance::SameDataCentre;
        }
        let region = |data_centre| {
            let document = document?;
            Some(&document.data_centres.get(data_centre)?.region)
        };
        if region(here).is_some() && region(here) == region(other) {
            RouteDistance::SameRegion
        } else {
            RouteDistance::OtherRegion
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
                "the database has no holder",
            )));
        };
        // Counted before the link exists, so that a drain never misses a transaction.
        let open = attempt
            .term
            .map(|term| self.shared.counts.enter(order.group, term));
        let mut route = self.shared.routes.begin(order.group, attempt.upstream);
        let (link, position) = match place {
            HolderPlace::Here => {
                let checked_out = self.check_out(order, &attempt).await;
                let (pooled, position) = note_failure(&mut route, checked_out)?;
                route.opened(attempt.expected_wait);
                (FleetLink::local(pooled, open, route), position)
            }
            HolderPlace::Peer(address) => {
                let request = attempt.request(order);
                let peers = &self.settings().peers;
                let opened = peers.open(address, request, order.deadline).await;
                let (link, granted) = note_failure(&mut route, opened)?;
                route.opened(attempt.expected_wait);
                let position = granted.position.unwrap_or_default();
                (FleetLink::peer(link, open, route), position.into())
            }
        };
        self.learn_position(view, attempt.upstream, position);
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

    async fn check_out(
        &self,
        order: &LinkOrder<'_>,
        attempt: &LinkAttempt<'_>,
    ) -> Result<(crate::holder::PooledConnection, LogPosition), HolderRefusal> {
        let Some(handle) = self.settings().table.get(attempt.upstream) else {
            return Err(HolderRefusal::Refused(RequestError::new(
                ErrorKind::UpstreamUnreachable,
                "this instance does not hold the database yet",
            )));
        };
        let order = HolderOrder {
            organisation: order.organisation.cloned(),
            term: attempt.term,
            floor: attempt.floor,
            catch_up: attempt.catch_up,
            deadline: order.deadline,
        };
        handle.check_out(order).await
    }
}

/// An attempt to open a link to one database.
struct LinkAttempt<'a> {
    upstream: &'a UpstreamId,
    term: Option<Term>,
    floor: Option<LogPosition>,
    expected_wait: Duration,
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

/// Records a failure of the database or of the path to it.
fn note_failure<T>(
    route: &mut RouteUse,
    result: Result<T, HolderRefusal>,
) -> Result<T, HolderRefusal> {
    if let Err(HolderRefusal::Refused(error)) = &result
        && error.kind == ErrorKind::UpstreamUnreachable
    {
        route.failed();
    }
    result
}

/// Returns whether a data centre accepts new work; one missing from the document does.
fn in_service(document: Option<&Document>, data_centre: &DataCentreId) -> bool {
    let entry = document.and_then(|document| document.data_centres.get(data_centre));
    entry.is_none_or(|entry| entry.state == DataCentreState::Active)
}

/// Returns whether another attempt may soon succeed, on this database or another.
fn is_passing(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::NoPrimary
            | ErrorKind::NoReplica
            | ErrorKind::NoView
            | ErrorKind::UpstreamUnreachable
    )
}
