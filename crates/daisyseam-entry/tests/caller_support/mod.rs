//! Test fixture: a caller server that uses a fake database and rate gate.
#![allow(
    dead_code,
    unreachable_pub,
    reason = "each test binary uses only some of the shared helpers"
)]

pub mod fake;
pub mod raw;

use self::fake::{
    FakeBroker,
    FakeDatabase, //
    FakeGate,
};
use daisyseam_entry::{
    HeldView,
    ViewCell,
    caller::{
        CallerContext,
        CallerServer, //
    }, //
};
use daisyseam_model::{
    ClusterId,
    DataCentreId,
    FleetView,
    GroupId,
    GroupView,
    InstanceId,
    LogPosition,
    PrimaryState,
    Term,
    UpstreamId,
    ViewNumber,
    document::Document, //
};
use daisyseam_runtime::{
    MetricClient,
    SpanExporter,
    StopSignal,
    TimerService, //
};
use sha2::{
    Digest,
    Sha256, //
};
use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};
use tokio::{
    net::TcpListener,
    task::JoinHandle,
    time::Instant, //
};
use tokio_postgres::{
    Client,
    Config,
    NoTls, //
};
use tokio_rustls::TlsAcceptor;

/// Key of the organisation `keepers`.
pub const KEY: &str = "k-4f2a91c07d";
/// Key of the organisation `vets`.
pub const VETS_KEY: &str = "k-77b0e35a12";

/// A caller server with fake dependencies.
pub struct CallerFixture {
    pub database: FakeDatabase,
    pub gate: FakeGate,
    pub view: ViewCell,
    pub stop: StopSignal,
    pub metrics: MetricClient,
    pub server: CallerServer,
}

impl CallerFixture {
    /// Starts a caller server on a free port.
    pub async fn start() -> Self {
        Self::with_limits("").await
    }

    /// Starts a caller server with the given lines in the `limits` table of its document.
    pub async fn with_limits(limits: &str) -> Self {
        Self::with(limits, SpanExporter::disabled(), None).await
    }

    /// Starts a caller server with limits, spans and TLS.
    pub async fn with(limits: &str, spans: SpanExporter, tls: Option<TlsAcceptor>) -> Self {
        let database = FakeDatabase::default();
        let gate = FakeGate::default();
        let view = ViewCell::new();
        let stop = StopSignal::new();
        let metrics = MetricClient::new(None).unwrap();
        publish(&view, 1, &document(limits));
        let context = CallerContext {
            cluster: ClusterId::new("shellrest").unwrap(),
            instance: InstanceId::new("entry-1").unwrap(),
            data_centre: DataCentreId::new("khomas-1").unwrap(),
            view: view.clone(),
            broker: FakeBroker::new(&database),
            gate: gate.clone(),
            timer: TimerService::start(),
            metrics: metrics.clone(),
            spans,
            stop: stop.clone(),
            tls,
        };
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let server = CallerServer::start(listener, context).unwrap();
        Self {
            database,
            gate,
            view,
            stop,
            metrics,
            server,
        }
    }

    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    pub fn config(&self) -> Config {
        let mut config = Config::new();
        config
            .host("127.0.0.1")
            .port(self.address().port())
            .user("keepers")
            .password(KEY)
            .dbname("bookings");
        config
    }

    /// Connects as the organisation `keepers`.
    pub async fn connect(&self) -> Client {
        self.connect_with(&self.config()).await.unwrap()
    }

    pub async fn connect_with(&self, config: &Config) -> Result<Client, tokio_postgres::Error> {
        let (client, _) = self.connect_with_task(config).await?;
        Ok(client)
    }

    /// Connects; returns the client and the task that drives its connection.
    pub async fn connect_with_task(
        &self,
        config: &Config,
    ) -> Result<(Client, JoinHandle<()>), tokio_postgres::Error> {
        let (client, connection) = config.connect(NoTls).await?;
        let task = tokio::spawn(async move {
            // The client reports connection errors.
            let _ = connection.await;
        });
        Ok((client, task))
    }

    /// Publishes a view with another document.
    pub fn publish(&self, number: u64, text: &str) {
        publish(&self.view, number, text);
    }

    /// Expires the lease on the view.
    pub fn expire_view_lease(&self) {
        let view = Arc::clone(&self.view.held().view);
        let lease_until = Some(Instant::now());
        self.view.replace(HeldView { view, lease_until });
    }
}

/// Returns the text of a document with the given lines in its `limits` table.
pub fn document(limits: &str) -> String {
    format!(
        r#"number = 1
cluster = "shellrest"

[limits]
{limits}

[[region]]
name = "khomas"

[[data_centre]]
name = "khomas-1"
region = "khomas"

[[group]]
name = "bookings-db"
databases = 3
slots = 5

[[service]]
name = "bookings"
group = "bookings-db"

[[service]]
name = "deposits"
group = "bookings-db"

[[organisation]]
name = "keepers"
rate = 50
burst = 100
services = ["bookings"]

[[organisation.key]]
hash = "sha256:{}"

[[organisation]]
name = "vets"
rate = 50
burst = 100

[[organisation.key]]
hash = "sha256:{}"

[[open_route]]
service = "bookings"
tables = ["notices"]
rate = 10
burst = 10
"#,
        hex(KEY),
        hex(VETS_KEY)
    )
}

/// Returns the SHA-256 hash of a key in hexadecimal.
pub fn hex(key: &str) -> String {
    let digest = Sha256::digest(key);
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn publish(cell: &ViewCell, number: u64, text: &str) {
    let document = Document::parse(text).unwrap();
    let primary = UpstreamId::new("bookings-a").unwrap();
    let group = GroupView {
        term: Term(3),
        primary: PrimaryState::Active(primary),
        lineage_start: LogPosition::default(),
    };
    let view = FleetView {
        number: ViewNumber(number),
        document: Some(Arc::new(document)),
        groups: [(GroupId::new("bookings-db").unwrap(), group)].into(),
        ..FleetView::default()
    };
    cell.replace(HeldView {
        view: Arc::new(view),
        lease_until: Some(Instant::now() + Duration::from_secs(3_600)),
    });
}
