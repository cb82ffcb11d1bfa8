//! A fake caller controlled by the test.

use bytes::Bytes;
use daisyseam_engine::{
    CallerDisconnect,
    CallerRequest,
    CallerStream,
    RequestVerb,
    SessionAnswer,
    SessionStart,
    StatementKind,
    TransactionMode, //
};
use daisyseam_model::{
    ErrorKind,
    RequestError, //
};
use tokio::sync::mpsc;

/// The caller's end of a session.
pub struct FakeCaller {
    requests: mpsc::UnboundedSender<CallerRequest>,
    events: mpsc::UnboundedReceiver<CallerEvent>,
    next_id: u32,
}

/// An event sent to the caller.
#[derive(Debug)]
pub enum CallerEvent {
    Opened,
    Answer(SessionAnswer),
    Refused(RequestError),
    Closed,
}

/// The engine's end of a session.
pub struct FakeStream {
    start: Option<SessionStart>,
    requests: mpsc::UnboundedReceiver<CallerRequest>,
    events: mpsc::UnboundedSender<CallerEvent>,
}

pub fn pair(service: &str, key: &str) -> (FakeCaller, FakeStream) {
    let (requests, received) = mpsc::unbounded_channel();
    let (told, events) = mpsc::unbounded_channel();
    let start = SessionStart {
        service: service.to_owned(),
        key: key.to_owned(),
    };
    let caller = FakeCaller {
        requests,
        events,
        next_id: 0,
    };
    let stream = FakeStream {
        start: Some(start),
        requests: received,
        events: told,
    };
    (caller, stream)
}

pub fn read(text: &str) -> RequestVerb {
    run(StatementKind::Read, text)
}

pub fn write(text: &str) -> RequestVerb {
    run(StatementKind::Write, text)
}

fn run(kind: StatementKind, text: &str) -> RequestVerb {
    RequestVerb::Run {
        kind,
        text: bytes(text),
    }
}

pub fn set(name: &str, value: &str) -> RequestVerb {
    RequestVerb::Set {
        name: bytes(name),
        value: bytes(value),
    }
}

pub fn prepare(name: &str, text: &str) -> RequestVerb {
    RequestVerb::Prepare {
        name: bytes(name),
        kind: StatementKind::Read,
        text: bytes(text),
    }
}

pub fn execute(name: &str, arguments: &str) -> RequestVerb {
    RequestVerb::Execute {
        name: bytes(name),
        arguments: bytes(arguments),
    }
}

pub const BEGIN: RequestVerb = RequestVerb::Begin(TransactionMode::ReadWrite);

pub const BEGIN_READ: RequestVerb = RequestVerb::Begin(TransactionMode::ReadOnly);

fn bytes(text: &str) -> Bytes {
    Bytes::copy_from_slice(text.as_bytes())
}

impl FakeCaller {
    pub async fn opened(&mut self) {
        let event = self.event().await;
        assert!(matches!(event, CallerEvent::Opened), "{event:?}");
    }

    pub async fn event(&mut self) -> CallerEvent {
        self.events.recv().await.unwrap_or(CallerEvent::Closed)
    }

    pub fn send(&mut self, verb: RequestVerb) {
        self.next_id += 1;
        let id = Bytes::from(format!("q{}", self.next_id));
        let _ = self.requests.send(CallerRequest { id, verb });
    }

    pub async fn answer(&mut self) -> SessionAnswer {
        match self.event().await {
            CallerEvent::Answer(answer) => answer,
            event => panic!("{event:?}"),
        }
    }

    pub async fn ask(&mut self, verb: RequestVerb) -> SessionAnswer {
        self.send(verb);
        self.answer().await
    }

    /// Sends a request and expects success; returns the receipt.
    pub async fn ok(&mut self, verb: RequestVerb) -> String {
        let words = format!("{verb:?}");
        let answer = self.ask(verb).await;
        let receipt = answer
            .outcome
            .unwrap_or_else(|error| panic!("{words}: {error}"));
        let receipt = receipt.unwrap_or_default();
        String::from_utf8(receipt.to_vec()).unwrap()
    }

    /// Sends a request and expects an error; returns its kind.
    pub async fn fail(&mut self, verb: RequestVerb) -> ErrorKind {
        self.ask(verb).await.outcome.unwrap_err().kind
    }
}

impl CallerStream for FakeStream {
    async fn start(&mut self) -> Result<SessionStart, CallerDisconnect> {
        self.start.take().ok_or(CallerDisconnect::Ended)
    }

    async fn opened(&mut self) -> Result<(), CallerDisconnect> {
        self.tell(CallerEvent::Opened)
    }

    async fn request(&mut self) -> Result<Result<CallerRequest, RequestError>, CallerDisconnect> {
        self.requests
            .recv()
            .await
            .map(Ok)
            .ok_or(CallerDisconnect::Lost)
    }

    async fn answer(&mut self, answer: &SessionAnswer) -> Result<(), CallerDisconnect> {
        self.tell(CallerEvent::Answer(answer.clone()))
    }

    async fn refuse(&mut self, error: &RequestError) {
        let _ = self.tell(CallerEvent::Refused(error.clone()));
    }

    async fn close(&mut self) {
        let _ = self.tell(CallerEvent::Closed);
    }
}

impl FakeStream {
    fn tell(&self, event: CallerEvent) -> Result<(), CallerDisconnect> {
        self.events.send(event).map_err(|_| CallerDisconnect::Lost)
    }
}
