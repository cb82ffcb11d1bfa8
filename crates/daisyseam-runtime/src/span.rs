//! Trace spans, one per hop, that continue the caller's trace context; exported as OTLP JSON lines.

use opentelemetry_proto::tonic::{
    collector::trace::v1::ExportTraceServiceRequest,
    common::v1::{
        AnyValue,
        InstrumentationScope,
        KeyValue,
        any_value::Value, //
    },
    resource::v1::Resource,
    trace::v1::{
        ResourceSpans,
        ScopeSpans,
        Span, //
        span::SpanKind,
    }, //
};
use parking_lot::Mutex;
use rand::Rng;
use std::{
    fs::{
        File,
        OpenOptions, //
    },
    io::{
        self,
        BufWriter,
        Write, //
    },
    path::Path,
    sync::{
        Arc,
        mpsc, //
    },
    thread::JoinHandle,
    time::SystemTime, //
};

/// Maximum number of queued spans; further ones are dropped, since tracing must not delay requests.
const QUEUE_LENGTH_MAX: usize = 8_192;

/// The trace and the span of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TraceContext {
    /// Identifier of the trace.
    pub trace: [u8; 16],
    /// Identifier of the parent span of the next hop.
    pub span: [u8; 8],
    /// Whether the trace is recorded.
    pub sampled: bool,
}

impl TraceContext {
    /// Parses a W3C `traceparent` header.
    pub fn parse(text: &str) -> Option<Self> {
        let mut parts = text.trim().split('-');
        let (version, trace, span, flags) =
            (parts.next()?, parts.next()?, parts.next()?, parts.next()?);
        let lengths = (version.len(), trace.len(), span.len(), flags.len());
        if lengths != (2, 32, 16, 2) || version == "ff" || !trace.is_ascii() || !span.is_ascii() {
            return None;
        }
        let context = Self {
            trace: u128::from_str_radix(trace, 16).ok()?.to_be_bytes(),
            span: u64::from_str_radix(span, 16).ok()?.to_be_bytes(),
            sampled: u8::from_str_radix(flags, 16).ok()? & 1 == 1,
        };
        let valid = context.trace != [0; 16] && context.span != [0; 8];
        valid.then_some(context)
    }

    /// Starts a new trace.
    pub fn start(sampled: bool) -> Self {
        let mut random = rand::rng();
        Self {
            trace: random.random(),
            span: random.random(),
            sampled,
        }
    }
}

impl std::fmt::Display for TraceContext {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            formatter,
            "00-{:032x}-{:016x}-{:02x}",
            u128::from_be_bytes(self.trace),
            u64::from_be_bytes(self.span),
            u8::from(self.sampled)
        )
    }
}

/// Writes finished spans to a file, if one is set; cheap to clone.
#[derive(Clone)]
pub struct SpanExporter {
    queue: Option<Arc<ExportQueue>>,
}

impl SpanExporter {
    /// Creates an exporter that records nothing.
    pub fn disabled() -> Self {
        Self { queue: None }
    }

    /// Creates an exporter that appends to a file, one JSON line per OTLP request.
    ///
    /// # Errors
    ///
    /// When the file cannot be opened.
    pub fn to_file(path: &Path, service: &str, instance: &str) -> io::Result<Self> {
        let file = OpenOptions::new().create(true).append(true).open(path)?;
        let (sender, receiver) = mpsc::sync_channel(QUEUE_LENGTH_MAX);
        let resource = Resource {
            attributes: vec![
                attribute("service.name", service),
                attribute("service.instance.id", instance),
            ],
            ..Resource::default()
        };
        let writer = std::thread::Builder::new()
            .name("spans".to_owned())
            .spawn(move || write_spans(&receiver, file, &resource))?;
        let queue = ExportQueue {
            sender: Some(sender),
            writer: Mutex::new(Some(writer)),
        };
        Ok(Self {
            queue: Some(Arc::new(queue)),
        })
    }

    /// Starts the span of one hop; dropping the span ends it.
    pub fn start(&self, name: &'static str, parent: Option<TraceContext>) -> HopSpan {
        let recorded = self.queue.is_some() && parent.is_none_or(|parent| parent.sampled);
        let mut context = parent.unwrap_or_else(|| TraceContext::start(recorded));
        if recorded {
            context.span = rand::rng().random();
        }
        HopSpan {
            exporter: self.clone(),
            name,
            parent,
            context,
            start: SystemTime::now(),
            attributes: Vec::new(),
            recorded,
        }
    }
}

/// The span of one hop.
pub struct HopSpan {
    exporter: SpanExporter,
    name: &'static str,
    parent: Option<TraceContext>,
    context: TraceContext,
    start: SystemTime,
    attributes: Vec<KeyValue>,
    recorded: bool,
}

impl HopSpan {
    /// Returns the context to pass to the next hop.
    pub fn context(&self) -> TraceContext {
        self.context
    }

    /// Adds an attribute, which must not contain a key or a password.
    pub fn set(&mut self, name: &'static str, value: &str) {
        if self.recorded {
            self.attributes.push(attribute(name, value));
        }
    }
}

impl Drop for HopSpan {
    fn drop(&mut self) {
        let Some(queue) = self.exporter.queue.as_ref().filter(|_| self.recorded) else {
            return;
        };
        let span = Span {
            trace_id: self.context.trace.to_vec(),
            span_id: self.context.span.to_vec(),
            parent_span_id: self
                .parent
                .map(|parent| parent.span.to_vec())
                .unwrap_or_default(),
            name: self.name.to_owned(),
            kind: SpanKind::Internal.into(),
            start_time_unix_nano: unix_nanos(self.start),
            end_time_unix_nano: unix_nanos(SystemTime::now()),
            attributes: std::mem::take(&mut self.attributes),
            ..Span::default()
        };
        if let Some(sender) = &queue.sender {
            // The span is dropped if the queue is full.
            let _ = sender.try_send(span);
        }
    }
}

struct ExportQueue {
    sender: Option<mpsc::SyncSender<Span>>,
    writer: Mutex<Option<JoinHandle<()>>>,
}

impl Drop for ExportQueue {
    fn drop(&mut self) {
        self.sender = None;
        if let Some(writer) = self.writer.lock().take() {
            // The writer thread ends after it has written all queued spans.
            let _ = writer.join();
        }
    }
}

fn write_spans(receiver: &mpsc::Receiver<Span>, file: File, resource: &Resource) {
    let mut file = BufWriter::new(file);
    while let Ok(first) = receiver.recv() {
        let mut spans = vec![first];
        spans.extend(receiver.try_iter());
        let request = ExportTraceServiceRequest {
            resource_spans: vec![ResourceSpans {
                resource: Some(resource.clone()),
                scope_spans: vec![ScopeSpans {
                    scope: Some(InstrumentationScope {
                        name: "daisyseam".to_owned(),
                        ..InstrumentationScope::default()
                    }),
                    spans,
                    ..ScopeSpans::default()
                }],
                ..ResourceSpans::default()
            }],
        };
        if let Err(error) = write_line(&mut file, &request) {
            log::warn!("cannot write spans: {error}");
        }
    }
}

fn write_line(file: &mut BufWriter<File>, request: &ExportTraceServiceRequest) -> io::Result<()> {
    serde_json::to_writer(&mut *file, request)?;
    file.write_all(b"\n")?;
    file.flush()
}

fn attribute(key: &str, value: &str) -> KeyValue {
    KeyValue {
        key: key.to_owned(),
        value: Some(AnyValue {
            value: Some(Value::StringValue(value.to_owned())),
        }),
    }
}

fn unix_nanos(time: SystemTime) -> u64 {
    let since = time.duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, |since| {
        u64::try_from(since.as_nanos()).unwrap_or(u64::MAX)
    })
}
