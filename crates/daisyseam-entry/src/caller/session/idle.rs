//! Waiting for the next message of a caller, and closing of idle sessions.

use super::{
    CallerSession,
    PlannedClose,
    RequestFailure,
    block::TransactionBlock, //
};
use crate::{
    LinkBroker,
    RateGate,
    caller::{
        answer::{
            SendProgress,
            error_answer, //
        },
        codec::{
            CallerFrame,
            FrameError, //
        },
        exchange::{
            Exchange,
            ExchangePort,
            ExchangeStep, //
        },
        identity::is_out_of_service,
        startup::mark_fatal, //
    }, //
};
use daisyseam_model::{
    ErrorKind,
    RequestError, //
};
use futures_util::{
    SinkExt,
    StreamExt, //
};
use std::time::Duration;
use tokio::{
    io::{
        AsyncRead,
        AsyncWrite, //
    },
    time::Instant, //
};

/// Interval over which the sessions of a data centre that is taken out of service are closed.
const CLOSE_SPREAD: Duration = Duration::from_secs(1);

/// Time that a transaction without executed statements has left at a graceful stop.
const PENDING_BLOCK_GRACE: Duration = Duration::from_secs(1);

/// Time that an idle caller has for one more request before its connection closes.
///
/// Closing a connection together with an answer avoids cutting off a request in transit.
const IDLE_GRACE: Duration = Duration::from_millis(700);

/// Time limit for sending the final error to a caller, and for a rollback after it disconnected.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Capacity in bytes above which a buffer is freed between requests.
const IDLE_BUFFER_BYTES_MAX: usize = 4_096;

enum IdleEvent {
    Frame(Option<Result<CallerFrame, FrameError>>),
    Stopping,
    ViewChanged,
    Timeout,
}

impl<B, G, S> CallerSession<B, G, S>
where
    B: LinkBroker,
    G: RateGate,
    S: AsyncRead + AsyncWrite + Unpin,
{
    /// Waits for the caller's next message.
    pub(super) async fn next_frame(&mut self) -> Result<CallerFrame, RequestFailure> {
        self.progress = SendProgress::Unsent;
        if self.stream.read_buffer().is_empty() {
            if let Some(kind) = self.due_close() {
                return Err(kind.into());
            }
            self.flush_within_limit().await?;
            self.shrink_buffers();
        }
        let mut idle_deadline = self.idle_deadline();
        loop {
            match self.next_event(idle_deadline).await {
                IdleEvent::Frame(Some(frame)) => {
                    self.message_received = true;
                    return Ok(frame?);
                }
                IdleEvent::Frame(None) => return Err(RequestFailure::Closed),
                IdleEvent::Stopping => {
                    let grace = match self.block.is_idle() {
                        true => IDLE_GRACE,
                        false => PENDING_BLOCK_GRACE,
                    };
                    self.plan_close(Duration::ZERO, grace, ErrorKind::Stopping);
                }
                IdleEvent::ViewChanged => self.handle_view_change()?,
                IdleEvent::Timeout => {
                    self.handle_timeout()?;
                    // The limit applied to the database connection, which was closed.
                    idle_deadline = None;
                }
            }
        }
    }

    async fn next_event(&mut self, idle_deadline: Option<Instant>) -> IdleEvent {
        let context = &self.shared.context;
        let may_close = self.may_close();
        let planned = self.planned_close.filter(|_| may_close);
        let stop_planned = planned.is_some_and(|planned| planned.kind == ErrorKind::Stopping);
        // Only a block that holds a connection has an idle limit; it also keeps the session open.
        let limit = idle_deadline.or(planned.map(|planned| planned.deadline));
        let timeout = async {
            match limit {
                Some(limit) => context.timer.at(limit).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            biased;
            frame = self.stream.next() => IdleEvent::Frame(frame),
            () = context.stop.stopped(), if may_close && !stop_planned => IdleEvent::Stopping,
            Ok(()) = self.view_changes.changed() => IdleEvent::ViewChanged,
            () = timeout => IdleEvent::Timeout,
        }
    }

    /// Flushes answers; closes the connection if the caller does not read them within the statement
    /// timeout.
    async fn flush_within_limit(&mut self) -> Result<(), RequestFailure> {
        let held = self.shared.context.view.held();
        let document = held.view.document.as_ref();
        let limit = document.map_or(CLOSE_TIMEOUT, |document| document.limits.statement_timeout);
        let deadline = Instant::now() + limit;
        let flushed = self
            .shared
            .context
            .timer
            .within(deadline, self.stream.flush());
        match flushed.await {
            Some(flushed) => Ok(flushed?),
            None => Err(RequestFailure::Closed),
        }
    }

    /// Frees buffers that a large message has grown.
    fn shrink_buffers(&mut self) {
        if self.stream.read_buffer().capacity() > IDLE_BUFFER_BYTES_MAX {
            *self.stream.read_buffer_mut() = bytes::BytesMut::new();
        }
        if self.stream.write_buffer().capacity() > IDLE_BUFFER_BYTES_MAX {
            *self.stream.write_buffer_mut() = bytes::BytesMut::new();
        }
    }

    fn idle_deadline(&self) -> Option<Instant> {
        if !self.block.holds_link() {
            return None;
        }
        let held = self.shared.context.view.held();
        let document = held.view.document.as_ref()?;
        Some(Instant::now() + document.limits.idle_in_transaction_timeout)
    }

    /// Handles a new view, which may withdraw the key or take the data centre out of service.
    fn handle_view_change(&mut self) -> Result<(), RequestFailure> {
        match self.identity.check(&self.shared.context.view) {
            // Without a view lease each request is rejected, but the connection stays open.
            Ok(_) | Err(ErrorKind::NoView) => {}
            Err(kind) => return Err(kind.into()),
        }
        let context = &self.shared.context;
        if !is_out_of_service(&context.view.held().view, context.data_centre.as_str()) {
            self.planned_close = None;
        } else if self.planned_close.is_none() {
            // The random process number of the session spreads the closing times.
            let share = f64::from(self.cancel_registration.process_id) / f64::from(i32::MAX);
            let delay = CLOSE_SPREAD.mul_f64(share);
            self.plan_close(delay, IDLE_GRACE, ErrorKind::DataCentreOut);
        }
        Ok(())
    }

    fn plan_close(&mut self, delay: Duration, grace: Duration, kind: ErrorKind) {
        let due = Instant::now() + delay;
        let deadline = due + grace;
        self.planned_close = Some(PlannedClose {
            due,
            deadline,
            kind,
        });
    }

    /// Returns whether the session can close without interrupting a transaction or batch.
    fn may_close(&self) -> bool {
        !self.block.holds_link() && self.batch.is_empty()
    }

    /// Returns why the session closes right after its last answer, or `None` if it stays open.
    fn due_close(&self) -> Option<ErrorKind> {
        if !self.message_received || !self.block.is_idle() || !self.may_close() {
            return None;
        }
        if self.shared.context.stop.is_stopping() {
            return Some(ErrorKind::Stopping);
        }
        let planned = self.planned_close?;
        (planned.due <= Instant::now()).then_some(planned.kind)
    }

    fn handle_timeout(&mut self) -> Result<(), RequestFailure> {
        if !self.block.holds_link() {
            let kind = self
                .planned_close
                .map_or(ErrorKind::Stopping, |planned| planned.kind);
            return Err(kind.into());
        }
        // Dropping the link closes the database connection, which rolls the transaction back.
        self.block = TransactionBlock::Failed;
        self.shared
            .context
            .metrics
            .count("caller.idle_in_transaction");
        Ok(())
    }

    /// Sends the error for which the connection is closed.
    pub(super) async fn send_fatal_error(&mut self, error: &RequestError) {
        self.shared.count_error(error.kind);
        let mut error = error.clone();
        error.kind = self.progress.reportable_kind(error.kind);
        let answer = mark_fatal(error_answer(&error, self.progress));
        let deadline = Instant::now() + CLOSE_TIMEOUT;
        let sending = self.stream.send(answer);
        // The caller may have disconnected already.
        let _ = self.shared.context.timer.within(deadline, sending).await;
    }

    /// Rolls back the open transaction of a session that ended, so that its database connection can
    /// be reused.
    pub(super) async fn roll_back_abandoned_block(&mut self) {
        let TransactionBlock::Open(mut open) = self.block.take() else {
            return;
        };
        if !open.link.has_no_outstanding_answers() {
            return;
        }
        let mut exchange = Exchange::new();
        let mut port = ExchangePort {
            stream: &mut self.stream,
            link: &mut open.link,
            timer: &self.shared.context.timer,
            cancel: &self.cancel_registration.flag,
            deadline: Instant::now() + CLOSE_TIMEOUT,
        };
        if port.query("ROLLBACK").await.is_err() {
            return;
        }
        exchange.expect(ExchangeStep::InternalQuery);
        if exchange.drain(&mut port).await.is_ok() && !exchange.failed {
            open.link.release();
        }
    }
}
