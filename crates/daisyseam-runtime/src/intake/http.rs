//! HTTP listeners for clients that are not under our control.

use super::{
    ByteGuard,
    ClientListener,
    ConnectionGuard,
    FREE_BYTES,
    Intake,
    counters, //
};
use crate::{
    TimerFuture,
    TimerService, //
};
use axum::{
    Router,
    body::{
        Body,
        Bytes,
        HttpBody, //
    },
    http::{
        HeaderValue,
        Request,
        Response,
        StatusCode,
        header, //
    },
    response::IntoResponse, //
};
use http_body_util::BodyExt;
use hyper::{
    body::{
        Frame,
        Incoming,
        SizeHint, //
    },
    rt::{
        Sleep,
        Timer, //
    },
    server::conn::http1,
    service::service_fn, //
};
use hyper_util::rt::TokioIo;
use std::{
    convert::Infallible,
    future::Future,
    io,
    pin::Pin,
    sync::Arc,
    task::{
        Context,
        Poll,
        ready, //
    },
    time::{
        Duration,
        Instant, //
    }, //
};
use tokio::{
    io::{
        AsyncRead,
        AsyncWrite,
        ReadBuf, //
    },
    net::TcpStream,
    task::{
        AbortHandle,
        JoinSet, //
    }, //
};
use tower::ServiceExt;

/// Largest head of a request, and bytes of an answer that are copied for sending.
const HEAD_BYTES_MAX: usize = 32 << 10;
/// Bytes that a body counts for each of its own: the routes parse and convert it while they hold it.
const BODY_COPIES: usize = 4;

/// Serves routes on a listener in a background task. Bodies of requests are received completely, up
/// to `body_bytes_max`, before a route sees them.
pub fn serve_http<F>(
    listener: ClientListener,
    routes: Router,
    body_bytes_max: usize,
    tune: F,
) -> AbortHandle
where
    F: Fn(&TcpStream) -> io::Result<()> + Send + 'static,
{
    let task = tokio::spawn(async move {
        // Stopping the task ends the connections too: the routes may be those of a stopped daemon.
        let mut served = JoinSet::new();
        loop {
            let connection = tokio::select! {
                connection = listener.accept() => connection,
                Some(_) = served.join_next() => continue,
            };
            if let Err(error) = tune(connection.socket()) {
                log::debug!("cannot set socket options on an HTTP connection: {error}");
            }
            let (stream, slot) = connection.into_socket();
            let server = HttpServer {
                intake: listener.intake().clone(),
                routes: routes.clone(),
                body_bytes_max,
            };
            served.spawn(server.serve(stream, slot));
        }
    });
    task.abort_handle()
}

/// Serves one connection.
#[derive(Clone)]
struct HttpServer {
    intake: Intake,
    routes: Router,
    body_bytes_max: usize,
}

impl HttpServer {
    async fn serve(self, stream: TcpStream, slot: ConnectionGuard) {
        let intake = &self.intake;
        let io = HttpSocket {
            stream,
            intake: intake.clone(),
            blocked: None,
            _slot: slot,
        };
        let service = service_fn(|request| self.clone().answer(request));
        let served = http1::Builder::new()
            .timer(HttpTimer(intake.timer.clone()))
            .header_read_timeout(intake.limits.http_idle_time)
            .max_buf_size(HEAD_BYTES_MAX)
            .serve_connection(TokioIo::new(io), service)
            .await;
        if let Err(error) = served {
            log::debug!("an HTTP connection ended: {error}");
        }
    }

    async fn answer(self, request: Request<Incoming>) -> Result<Response<CountedBody>, Infallible> {
        let (parts, body) = request.into_parts();
        let mut guard = self.intake.budget.guard();
        let bytes = match self.receive_body(body, &mut guard).await {
            Ok(bytes) => bytes,
            Err(status) => return Ok(self.refusal(status)),
        };
        let request = Request::from_parts(parts, Body::from(bytes));
        let Ok(response) = self.routes.clone().oneshot(request).await;
        drop(guard);
        Ok(self.count_response(response))
    }

    /// Receives a body; the error is the status to answer with. Nothing has run then.
    async fn receive_body(
        &self,
        body: Incoming,
        guard: &mut ByteGuard,
    ) -> Result<Vec<u8>, StatusCode> {
        if body.is_end_stream() {
            return Ok(Vec::new());
        }
        let intake = &self.intake;
        let until = intake.timer.now() + intake.limits.message_time;
        let collected = self.collect(body, guard);
        match intake.timer.within(until, collected).await {
            Some(collected) => collected,
            None => {
                let reason = "it did not complete a request in time";
                intake.refused(counters::CLIENTS_TOO_SLOW, reason);
                Err(StatusCode::REQUEST_TIMEOUT)
            }
        }
    }

    async fn collect(
        &self,
        mut body: Incoming,
        guard: &mut ByteGuard,
    ) -> Result<Vec<u8>, StatusCode> {
        let intake = &self.intake;
        let mut bytes = Vec::new();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| StatusCode::BAD_REQUEST)?;
            let Ok(part) = frame.into_data() else {
                continue;
            };
            let length = bytes.len() + part.len();
            if length > self.body_bytes_max {
                return Err(StatusCode::PAYLOAD_TOO_LARGE);
            }
            if length > bytes.capacity() {
                let capacity = length.next_power_of_two().max(FREE_BYTES);
                let charge = match capacity > FREE_BYTES {
                    true => capacity * BODY_COPIES,
                    false => 0,
                };
                let wait = intake.limits.budget_wait;
                if !guard.hold(charge, &intake.timer, wait).await {
                    let reason = "the budget for client data is exhausted";
                    intake.refused(counters::BUDGET_EXHAUSTED, reason);
                    return Err(StatusCode::SERVICE_UNAVAILABLE);
                }
                bytes.reserve_exact(capacity - bytes.len());
            }
            bytes.extend_from_slice(&part);
        }
        Ok(bytes)
    }

    /// Counts the body of a response until it is sent.
    fn count_response(&self, response: Response<Body>) -> Response<CountedBody> {
        let mut guard = self.intake.budget.guard();
        let length = response.body().size_hint().lower();
        let length = usize::try_from(length).unwrap_or(usize::MAX);
        if length > FREE_BYTES && !guard.try_hold(length) {
            let reason = "the budget for client data is exhausted";
            self.intake.refused(counters::BUDGET_EXHAUSTED, reason);
            return self.refusal(StatusCode::SERVICE_UNAVAILABLE);
        }
        let guard = (guard.held() > 0).then(|| Arc::new(guard));
        response.map(|body| CountedBody { body, guard })
    }

    /// Returns an answer after which the connection is closed.
    fn refusal(&self, status: StatusCode) -> Response<CountedBody> {
        let mut response = (status, "not run\n").into_response();
        let headers = response.headers_mut();
        headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
        headers.insert(header::RETRY_AFTER, HeaderValue::from_static("1"));
        response.map(|body| CountedBody { body, guard: None })
    }
}

/// The body of a response with its share of the budget.
struct CountedBody {
    body: Body,
    guard: Option<Arc<ByteGuard>>,
}

impl HttpBody for CountedBody {
    type Data = Bytes;
    type Error = axum::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, axum::Error>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(context));
        let Some(guard) = &self.guard else {
            return Poll::Ready(frame);
        };
        let counted = |bytes| {
            Bytes::from_owner(CountedPart {
                bytes,
                _guard: Arc::clone(guard),
            })
        };
        Poll::Ready(frame.map(|frame| frame.map(|frame| frame.map_data(counted))))
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// A part of a response; it may be sent after its body was dropped.
struct CountedPart {
    bytes: Bytes,
    _guard: Arc<ByteGuard>,
}

impl AsRef<[u8]> for CountedPart {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// A socket that fails when the client reads nothing of an answer for too long.
struct HttpSocket {
    stream: TcpStream,
    intake: Intake,
    blocked: Option<TimerFuture>,
    _slot: ConnectionGuard,
}

impl HttpSocket {
    /// Bounds the time for which sending is blocked.
    fn watch<T>(
        &mut self,
        context: &mut Context<'_>,
        written: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if written.is_ready() {
            self.blocked = None;
            return written;
        }
        let limit = self.intake.limits.answer_time;
        let timer = &self.intake.timer;
        let blocked = self.blocked.get_or_insert_with(|| timer.after(limit));
        if Pin::new(blocked).poll(context).is_pending() {
            return Poll::Pending;
        }
        self.blocked = None;
        let reason = "it did not read an answer in time";
        self.intake.refused(counters::CLIENTS_TOO_SLOW, reason);
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

impl AsyncRead for HttpSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for HttpSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.watch(context, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, parts);
        self.watch(context, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

/// The timer service as the timer of the HTTP library.
#[derive(Clone)]
struct HttpTimer(TimerService);

impl Timer for HttpTimer {
    fn sleep(&self, duration: Duration) -> Pin<Box<dyn Sleep>> {
        Box::pin(HttpSleep(self.0.after(duration)))
    }

    fn sleep_until(&self, deadline: Instant) -> Pin<Box<dyn Sleep>> {
        Box::pin(HttpSleep(self.0.at(deadline.into())))
    }

    fn now(&self) -> Instant {
        self.0.now().into_std()
    }
}

struct HttpSleep(TimerFuture);

impl Future for HttpSleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        Pin::new(&mut self.0).poll(context)
    }
}

impl Sleep for HttpSleep {}
