//! Choice of a database for a link, and failover to another.

use super::{
    broker::{
        FleetBroker,
        HolderLocation, //
    },
    link::FleetLink,
    routes::RouteGuard, //
};
use crate::{
    LinkBroker,
    OpenLinkRequest,
    OpenedLink,
    StatementAccess,
    holder::{
        CheckOutError, //
        ConnectionRequest,
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
        order: OpenLinkRequest<'_>,
    ) -> Result<OpenedLink<FleetLink>, RequestError> {
        loop {
            let view = self.view(order.deadline).await?;
            let opened = match order.access {
                StatementAccess::Write => self.open_primary(&view, &order).await,
                StatementAccess::ReadAtLeast(floor) => {
                    self.open_read(&view, &order, Some(floor)).await
                }
                StatementAccess::ReadWithin { age, floor } => {
                    self.open_within_age(&view, &order, age, floor).await
                }
            };
            let error = match opened {
                Ok(opened) => return Ok(opened),
                Err(error) => error,
            };
            if !is_transient(error.kind) || !self.wait_before_retry(order.deadline).await {
                self.settings().metrics.count("link.refused");
                return Err(error);
            }
        }
    }

    async fn open_primary(
        &self,
        view: &FleetView,
        order: &OpenLinkRequest<'_>,
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
            max_wait: Duration::ZERO,
        };
        self.attempt(view, order, attempt)
            .await
            .map_err(|refusal| match refusal {
                CheckOutError::Behind(_) => ErrorKind::NoPrimary.into(),
                CheckOutError::Refused(error) => error,
            })
    }

    async fn open_within_age(
        &self,
        view: &FleetView,
        order: &OpenLinkRequest<'_>,
        age: Duration,
        floor: Option<LogPosition>,
    ) -> Result<OpenedLink<FleetLink>, RequestError> {
        let samples = &self.shared.samples;
        let proven = match samples.position_for_age(order.group, age) {
            Some(proven) => {
                if samples.is_due(order.group, age / SAMPLES_PER_AGE) {
                    self.refresh_sample(order);
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
    fn refresh_sample(&self, order: &OpenLinkRequest<'_>) {
        let broker = self.clone();
        let group = order.group.clone();
        let deadline = order.deadline;
        tokio::spawn(async move { broker.barrier(&group, deadline).await });
    }

    async fn open_read(
        &self,
        view: &FleetView,
        order: &OpenLinkRequest<'_>,
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
                max_wait: step.max_wait,
            };
            match self.attempt(view, order, attempt).await {
                Ok(opened) => return Ok(opened),
                Err(CheckOutError::Behind(at)) => self.record_position(view, step.upstream, at),
                Err(CheckOutError::Refused(error)) => {
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
            .filter(|(_, upstream)| accepts_new_work(document, &upstream.data_centre))
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
    pub(super) fn record_position(&self, view: &FleetView, name: &UpstreamId, at: LogPosition) {
        let Some(upstream) = view.upstreams.get(name) else {
            return;
        };
        let group = view.groups.get(&upstream.group);
        let routes = &self.shared.routes;
        if group.and_then(|group| group.primary.active()) == Some(name) {
            routes.record_written(&upstream.group, at);
        } else {
            routes.record_replica_position(&upstream.group, name, at);
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
        order: &OpenLinkRequest<'_>,
        attempt: LinkAttempt<'_>,
    ) -> Result<OpenedLink<FleetLink>, CheckOutError> {
        let Some(location) = self.locate_holder(view, attempt.upstream) else {
            return Err(CheckOutError::Refused(RequestError::new(
                ErrorKind::UpstreamUnreachable,
                "the database has no holder",
            )));
        };
        // Counted before the link exists, so that a drain never misses a transaction.
        let transaction = attempt
            .term
            .map(|term| self.shared.counts.start(order.group, term));
        let mut route = self.shared.routes.begin(order.group, attempt.upstream);
        let (link, position) = match location {
            HolderLocation::Local => {
                let checked_out = self.check_out(order, &attempt).await;
                let (pooled, position) = record_failure(&mut route, checked_out)?;
                route.record_opened(attempt.expected_wait);
                (FleetLink::local(pooled, transaction, route), position)
            }
            HolderLocation::Peer(address) => {
                let request = attempt.request(order);
                let peers = &self.settings().peers;
                let opened = peers.open(address, request, order.deadline).await;
                let (link, granted) = record_failure(&mut route, opened)?;
                route.record_opened(attempt.expected_wait);
                let position = granted.position.unwrap_or_default();
                (FleetLink::peer(link, transaction, route), position.into())
            }
        };
        self.record_position(view, attempt.upstream, position);
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
        order: &OpenLinkRequest<'_>,
        attempt: &LinkAttempt<'_>,
    ) -> Result<(crate::holder::PooledConnection, LogPosition), CheckOutError> {
        let Some(handle) = self.settings().table.get(attempt.upstream) else {
            return Err(CheckOutError::Refused(RequestError::new(
                ErrorKind::UpstreamUnreachable,
                "this instance does not hold the database yet",
            )));
        };
        let request = ConnectionRequest {
            organisation: order.organisation.cloned(),
            term: attempt.term,
            floor: attempt.floor,
            max_wait: attempt.max_wait,
            deadline: order.deadline,
        };
        handle.check_out(request).await
    }
}

/// An attempt to open a link to one database.
struct LinkAttempt<'a> {
    upstream: &'a UpstreamId,
    term: Option<Term>,
    floor: Option<LogPosition>,
    expected_wait: Duration,
    max_wait: Duration,
}

impl LinkAttempt<'_> {
    fn request(&self, order: &OpenLinkRequest<'_>) -> LinkRequest {
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
            catch_up_ms: u64::try_from(self.max_wait.as_millis()).unwrap_or(u64::MAX),
            traceparent: order.trace.to_string(),
        }
    }
}

/// Records a failure of the database or of the path to it.
fn record_failure<T>(
    route: &mut RouteGuard,
    result: Result<T, CheckOutError>,
) -> Result<T, CheckOutError> {
    if let Err(CheckOutError::Refused(error)) = &result
        && error.kind == ErrorKind::UpstreamUnreachable
    {
        route.record_failure();
    }
    result
}

/// Returns whether a data centre accepts new work; one missing from the document does.
fn accepts_new_work(document: Option<&Document>, data_centre: &DataCentreId) -> bool {
    let entry = document.and_then(|document| document.data_centres.get(data_centre));
    entry.is_none_or(|entry| entry.state == DataCentreState::Active)
}

/// Returns whether another attempt may soon succeed, on this database or another.
fn is_transient(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::NoPrimary
            | ErrorKind::NoReplica
            | ErrorKind::NoView
            | ErrorKind::UpstreamUnreachable
    )
}
