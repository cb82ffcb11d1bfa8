//! Steps common to all requests: authorization, rate limiting, routing and opening a link.

use super::{
    CallerSession,
    RequestFailure, //
};
use crate::{
    LinkBroker,
    OpenLinkRequest,
    RateGate,
    StatementAccess,
    caller::{
        answer::SendProgress,
        checked_out_link::CheckedOutLink,
        classify::{
            ClassifiedStatement,
            StatementHints,
            StatementKind, //
        },
        exchange::ExchangePort,
        prepared::BatchPart, //
    }, //
};
use daisyseam_model::{
    ErrorKind,
    FleetView,
    GroupId,
    RequestError,
    document::{
        Document,
        RequestLimits, //
    }, //
};
use daisyseam_runtime::HopSpan;
use std::{
    sync::Arc,
    time::Duration, //
};
use tokio::{
    io::{
        AsyncRead,
        AsyncWrite, //
    },
    time::Instant, //
};

/// Maximum time that a request waits for a valid view lease.
const VIEW_LEASE_TIMEOUT: Duration = Duration::from_secs(2);

/// Statements or messages that are executed as one request.
#[derive(Debug)]
pub(super) enum RequestUnit<'a> {
    /// The text of a simple query.
    Simple(&'a str),
    /// Messages of the extended protocol.
    Extended(&'a [BatchPart]),
}

/// Requirements of a unit.
#[derive(Clone, Debug, Default)]
pub(super) struct UnitRequirements {
    /// Whether the unit must run on the primary.
    pub(super) write: bool,
    /// Whether the unit has an effect only inside a transaction block.
    pub(super) requires_block: bool,
    /// Whether the unit is accepted in a failed transaction.
    pub(super) allowed_after_error: bool,
    /// Whether the unit may be executed more than once.
    pub(super) idempotent: bool,
    /// Number of statements in the unit.
    pub(super) statements: usize,
    /// Tables that the unit reads; written tables are not listed.
    pub(super) tables: Vec<String>,
    /// Maximum staleness given in a comment hint.
    pub(super) max_age: Option<Duration>,
    /// Trace context given in a comment hint.
    pub(super) trace: Option<daisyseam_runtime::TraceContext>,
}

impl UnitRequirements {
    /// Adds the requirements of a statement.
    pub(super) fn add(&mut self, statement: &ClassifiedStatement, hints: &StatementHints) {
        self.statements += 1;
        match &statement.kind {
            StatementKind::Read { tables } => self.tables.extend(tables.iter().cloned()),
            StatementKind::Block {
                allowed_after_error,
            } => {
                self.requires_block = true;
                self.allowed_after_error = *allowed_after_error;
            }
            _ => self.write = true,
        }
        self.idempotent = !self.write || hints.idempotent;
        self.max_age = hints.max_age.or(self.max_age);
        self.trace = hints.trace.or(self.trace);
    }
}

/// Group, limits and span of a request.
pub(super) struct RequestContext {
    pub(super) group: GroupId,
    pub(super) limits: RequestLimits,
    pub(super) span: HopSpan,
}

impl RequestContext {
    /// Returns the deadline of a statement that starts now.
    pub(super) fn statement_deadline(&self) -> Instant {
        Instant::now() + self.limits.statement_timeout
    }
}

impl<B, G, S> CallerSession<B, G, S>
where
    B: LinkBroker,
    G: RateGate,
    S: AsyncRead + AsyncWrite + Unpin,
{
    /// Checks the caller against the current view; waits briefly for the lease if it has expired.
    pub(super) async fn check_caller(
        &mut self,
    ) -> Result<(Arc<FleetView>, GroupId), RequestFailure> {
        let (view, group) = match self.identity.check(&self.shared.context.view) {
            Err(ErrorKind::NoView) => self.check_with_view_lease().await?,
            checked => checked?,
        };
        if self.group.as_ref() != Some(&group) {
            self.group = Some(group.clone());
            self.reported_position = None;
            self.floor_from_token = false;
        }
        Ok((view, group))
    }

    async fn check_with_view_lease(&mut self) -> Result<(Arc<FleetView>, GroupId), ErrorKind> {
        let context = &self.shared.context;
        let until = Instant::now() + VIEW_LEASE_TIMEOUT;
        let mut changes = context.view.subscribe();
        loop {
            // Subscribing before the check ensures that no change is missed.
            match self.identity.check(&context.view) {
                Err(ErrorKind::NoView) => {}
                checked => return checked,
            }
            let changed = context.timer.within(until, changes.changed()).await;
            if !matches!(changed, Some(Ok(()))) {
                return Err(ErrorKind::NoView);
            }
        }
    }

    /// Checks the caller, route and rate limit before anything is sent.
    pub(super) async fn start_request(
        &mut self,
        requirements: &UnitRequirements,
    ) -> Result<RequestContext, RequestFailure> {
        self.progress = SendProgress::Unsent;
        let (view, group) = self.check_caller().await?;
        let document = view.document.as_ref().ok_or(ErrorKind::NoView)?;
        self.check_route(document, requirements)?;
        let limits = document.limits.clone();
        let deadline = Instant::now() + limits.queue_timeout;
        for _ in 0..requirements.statements {
            self.admit(deadline).await?;
        }
        let mut span = self
            .shared
            .context
            .spans
            .start("caller.request", requirements.trace.or(self.trace));
        span.set("service", self.identity.service.as_str());
        span.set("access", if requirements.write { "write" } else { "read" });
        self.shared.context.metrics.count("caller.requests");
        Ok(RequestContext {
            group,
            limits,
            span,
        })
    }

    async fn admit(&mut self, deadline: Instant) -> Result<(), RequestError> {
        let gate = &self.shared.context.gate;
        match self.identity.organisation() {
            Some(organisation) => gate.admit(organisation, deadline).await,
            None => gate.admit_open(&self.identity.service, deadline).await,
        }
    }

    /// Restricts an open route to reading its tables.
    fn check_route(
        &self,
        document: &Document,
        requirements: &UnitRequirements,
    ) -> Result<(), RequestError> {
        if self.identity.keyed.is_some() {
            return Ok(());
        }
        let route = document.open_routes.get(&self.identity.service);
        let route = route.ok_or(ErrorKind::KeyWithdrawn)?;
        if requirements.write || requirements.requires_block {
            let detail = "an open route is read-only";
            return Err(RequestError::new(ErrorKind::OpenRouteDenied, detail));
        }
        let denied = requirements
            .tables
            .iter()
            .find(|table| !route.tables.contains(table));
        match denied {
            Some(table) => {
                let detail = format!("table {table} cannot be read through an open route");
                Err(RequestError::new(ErrorKind::OpenRouteDenied, detail))
            }
            None => Ok(()),
        }
    }

    /// Determines which databases may serve a read.
    pub(super) async fn read_access(
        &mut self,
        request: &RequestContext,
        max_age: Option<Duration>,
    ) -> Result<StatementAccess, RequestFailure> {
        let floor = self.floors.floor(&request.group).position();
        if let Some(age) = max_age.or(self.max_age) {
            return Ok(StatementAccess::ReadWithin { age, floor });
        }
        if let Some(position) = floor {
            return Ok(StatementAccess::ReadAtLeast(position));
        }
        let deadline = Instant::now() + request.limits.queue_timeout;
        let context = &self.shared.context;
        let answer = context.broker.barrier(&request.group, deadline);
        let barrier = context.timer.within(deadline, answer).await;
        let barrier = barrier.ok_or(ErrorKind::DeadlineBeforeSend)??;
        self.floors.floor_mut(&request.group).raise(barrier);
        Ok(StatementAccess::ReadAtLeast(barrier))
    }

    /// Opens a link to a database; nothing of the request has been sent before.
    pub(super) async fn open_link(
        &mut self,
        request: &RequestContext,
        access: StatementAccess,
    ) -> Result<CheckedOutLink<B::Link>, RequestFailure> {
        let deadline = Instant::now() + request.limits.queue_timeout;
        let context = &self.shared.context;
        let order = OpenLinkRequest {
            group: &request.group,
            organisation: self.identity.organisation(),
            access,
            deadline,
            trace: request.span.context(),
        };
        let opened = tokio::select! {
            biased;
            opened = context.broker.open(order) => opened,
            () = self.cancel_registration.flag.requested() => {
                let detail = "cancelled before being sent to a database";
                Err(RequestError::new(ErrorKind::Cancelled, detail))
            }
            () = context.timer.at(deadline) => Err(ErrorKind::DeadlineBeforeSend.into()),
        };
        let link = match opened {
            Ok(opened) => CheckedOutLink::new(opened),
            Err(error) => return Err(self.explain_open_error(request, error).await.into()),
        };
        // The key may have been withdrawn while the request was waiting.
        if let Err(kind) = self.identity.check(&self.shared.context.view) {
            link.release();
            return Err(kind.into());
        }
        Ok(link)
    }

    /// Blames the token instead of the databases if it refers to a position beyond every
    /// acknowledged write.
    async fn explain_open_error(
        &mut self,
        request: &RequestContext,
        error: RequestError,
    ) -> RequestError {
        let floor = self.floors.floor(&request.group);
        let Some(claimed) = floor.position().filter(|_| self.floor_from_token) else {
            return error;
        };
        let deadline = Instant::now() + request.limits.queue_timeout;
        let context = &self.shared.context;
        let answer = context.broker.barrier(&request.group, deadline);
        match context.timer.within(deadline, answer).await {
            Some(Ok(barrier)) if barrier < claimed => {
                let detail = "the token refers to a position beyond all acknowledged writes";
                RequestError::new(ErrorKind::InvalidToken, detail)
            }
            _ => error,
        }
    }

    /// Returns the port for an exchange over a link.
    pub(super) fn port<'a>(
        &'a mut self,
        link: &'a mut CheckedOutLink<B::Link>,
        deadline: Instant,
    ) -> ExchangePort<'a, S, B::Link> {
        ExchangePort {
            stream: &mut self.stream,
            link,
            timer: &self.shared.context.timer,
            cancel: &self.cancel_registration.flag,
            deadline,
        }
    }
}
