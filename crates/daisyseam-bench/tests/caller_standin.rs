//! The caller side in front of a stand-in, without the fleet between them.

use daisyseam_bench::standin::{
    StandIn,
    StandInSettings, //
};
use daisyseam_entry::{
    DatabaseLink,
    HeldView,
    LinkBroker,
    LinkError,
    OpenLinkRequest,
    OpenedLink,
    RateGate,
    StatementAccess,
    TransactionOutcome,
    ViewCell,
    caller::{
        CallerContext,
        CallerServer, //
    },
    database::{
        DatabaseConnection,
        DatabaseTarget, //
    }, //
};
use daisyseam_model::{
    FleetView,
    GroupId,
    GroupView,
    LogPosition,
    OrganisationId,
    PrimaryState,
    RequestError,
    ServiceId,
    Term,
    UpstreamId,
    ViewNumber,
    document::Document, //
};
use daisyseam_runtime::{
    Dialer,
    MetricClient,
    SpanExporter,
    StopSignal,
    TimerService, //
};
use pgwire::messages::{
    PgWireBackendMessage,
    PgWireFrontendMessage, //
};
use std::{
    sync::Arc,
    time::Duration, //
};
use tempfile::TempDir;
use tokio::{
    net::TcpListener,
    time::Instant, //
};
use tokio_postgres::{
    Client,
    NoTls, //
};

const DOCUMENT: &str = r#"number = 1
cluster = "test"

[[region]]
name = "khomas"

[[data_centre]]
name = "dc-1"
region = "khomas"

[[group]]
name = "group"
databases = 1
slots = 5

[[service]]
name = "bookings"
group = "group"

[[organisation]]
name = "keepers"
rate = 50
burst = 100

[[organisation.key]]
hash = "sha256:2c70e12b7a0646f92279f427c7b38e7334d8e5389cff167a1dc30e73f826b683"
"#;

/// Opens a connection of its own for each link.
#[derive(Clone)]
struct DirectBroker {
    target: Arc<DatabaseTarget>,
    timer: TimerService,
    database: Arc<StandIn>,
}

struct DirectLink(DatabaseConnection);

impl LinkBroker for DirectBroker {
    type Link = DirectLink;

    async fn open(
        &self,
        order: OpenLinkRequest<'_>,
    ) -> Result<OpenedLink<DirectLink>, RequestError> {
        let opened = DatabaseConnection::open(&self.target, Dialer::default(), &self.timer);
        let position = self.database.state().end;
        Ok(OpenedLink {
            link: DirectLink(opened.await.expect("a connection")),
            upstream: UpstreamId::new("db-0").unwrap(),
            term: Term(1),
            primary: true,
            position: match order.access {
                StatementAccess::ReadAtLeast(floor) => position.max(floor),
                _ => position,
            },
        })
    }

    async fn confirm(
        &self,
        _group: &GroupId,
        at: LogPosition,
        _deadline: Instant,
    ) -> Result<(), RequestError> {
        assert!(self.database.state().end >= at);
        Ok(())
    }

    async fn barrier(
        &self,
        _group: &GroupId,
        _deadline: Instant,
    ) -> Result<LogPosition, RequestError> {
        Ok(self.database.state().end)
    }

    async fn outcome(&self, _: &GroupId, _: Term, _: u64, _: Instant) -> TransactionOutcome {
        TransactionOutcome::Unknown
    }
}

impl DatabaseLink for DirectLink {
    async fn send(&mut self, message: PgWireFrontendMessage) -> Result<(), LinkError> {
        self.0.split().0.send(&message).await
    }

    async fn flush(&mut self) -> Result<(), LinkError> {
        self.0.flush().await
    }

    async fn receive(&mut self) -> Result<PgWireBackendMessage, LinkError> {
        self.0.split().1.receive().await
    }

    async fn cancel(&mut self) {
        self.0.cancel_handle().send().await;
    }

    fn release(self) {
        assert!(self.0.is_clean(), "given back with something open");
    }
}

#[derive(Clone)]
struct OpenGate;

impl RateGate for OpenGate {
    async fn admit(&self, _: &OrganisationId, _: Instant) -> Result<(), RequestError> {
        Ok(())
    }

    async fn admit_open(&self, _: &ServiceId, _: Instant) -> Result<(), RequestError> {
        Ok(())
    }
}

struct Stage {
    _folder: TempDir,
    _database: Arc<StandIn>,
    _server: CallerServer,
    client: Client,
}

impl Stage {
    async fn start() -> Self {
        let folder = TempDir::new().unwrap();
        let settings = StandInSettings::local("db-0", "group", folder.path().join("db-0"));
        let database = Arc::new(StandIn::start(settings).unwrap());
        database.promote(Term(1)).unwrap();
        let timer = TimerService::start();
        let target = DatabaseTarget {
            address: database.address(),
            user: "system".to_owned(),
            password: "system".to_owned(),
        };
        let context = CallerContext {
            cluster: "test".parse().unwrap(),
            instance: "entry-1".parse().unwrap(),
            data_centre: "dc-1".parse().unwrap(),
            view: view(),
            broker: DirectBroker {
                target: Arc::new(target),
                timer: timer.clone(),
                database: Arc::clone(&database),
            },
            gate: OpenGate,
            timer,
            metrics: MetricClient::new(None).unwrap(),
            spans: SpanExporter::disabled(),
            stop: StopSignal::new(),
            tls: None,
        };
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let server = CallerServer::start(listener, context).unwrap();
        let mut config = tokio_postgres::Config::new();
        config
            .host("127.0.0.1")
            .port(server.address().port())
            .user("keepers")
            .password("key")
            .dbname("bookings");
        let (client, connection) = config.connect(NoTls).await.unwrap();
        tokio::spawn(connection);
        let table = "CREATE TABLE weighing (id BIGSERIAL PRIMARY KEY, animal TEXT, grams INT)";
        client.batch_execute(table).await.unwrap();
        Self {
            _folder: folder,
            _database: database,
            _server: server,
            client,
        }
    }
}

fn view() -> ViewCell {
    let group = GroupView {
        term: Term(1),
        primary: PrimaryState::Active("db-0".parse().unwrap()),
        lineage_start: LogPosition::default(),
    };
    let view = FleetView {
        number: ViewNumber(1),
        document: Some(Arc::new(Document::parse(DOCUMENT).unwrap())),
        groups: [("group".parse().unwrap(), group)].into(),
        ..FleetView::default()
    };
    let cell = ViewCell::new();
    cell.replace(HeldView {
        view: Arc::new(view),
        lease_until: Some(Instant::now() + Duration::from_secs(3_600)),
    });
    cell
}

#[tokio::test]
async fn prepared_statements_write_and_read_typed_values() {
    let stage = Stage::start().await;
    let insert = "INSERT INTO weighing (animal, grams) VALUES ($1, $2) RETURNING id";
    let insert = stage.client.prepare(insert).await.unwrap();
    let select = "SELECT animal, grams FROM weighing WHERE grams > $1 ORDER BY grams";
    let select = stage.client.prepare(select).await.unwrap();
    for (animal, grams) in [("Schildi", 1_400), ("Panzer", 2_100)] {
        let row = stage.client.query_one(&insert, &[&animal, &grams]).await;
        assert!(row.unwrap().get::<_, i64>(0) > 0);
    }
    let rows = stage.client.query(&select, &[&1_000]).await.unwrap();
    let found: Vec<(String, i32)> = rows.iter().map(|row| (row.get(0), row.get(1))).collect();
    let expected = [("Schildi".to_owned(), 1_400), ("Panzer".to_owned(), 2_100)];
    assert_eq!(found, expected);
}

#[tokio::test]
async fn transactions_commit_whole_or_not_at_all() {
    let mut stage = Stage::start().await;
    let count = "SELECT count(*) FROM weighing";
    for (commit, expected) in [(false, 0_i64), (true, 2)] {
        let transaction = stage.client.transaction().await.unwrap();
        for grams in [1, 2] {
            let insert = "INSERT INTO weighing (animal, grams) VALUES ('a', $1)";
            transaction.execute(insert, &[&grams]).await.unwrap();
        }
        match commit {
            true => transaction.commit().await.unwrap(),
            false => transaction.rollback().await.unwrap(),
        }
        let row = stage.client.query_one(count, &[]).await.unwrap();
        assert_eq!(row.get::<_, i64>(0), expected);
    }
}

#[tokio::test]
async fn savepoints_and_errors_leave_the_session_usable() {
    let stage = Stage::start().await;
    let client = &stage.client;
    client
        .batch_execute("BEGIN; INSERT INTO weighing (animal) VALUES ('a')")
        .await
        .unwrap();
    client.batch_execute("SAVEPOINT s").await.unwrap();
    client
        .batch_execute("INSERT INTO weighing (animal) VALUES ('b')")
        .await
        .unwrap();
    client
        .batch_execute("ROLLBACK TO SAVEPOINT s; COMMIT")
        .await
        .unwrap();
    let error = client.query("SELECT * FROM nowhere", &[]).await;
    assert_eq!(error.unwrap_err().code().unwrap().code(), "42P01");
    let row = client.query_one("SELECT count(*) FROM weighing", &[]);
    assert_eq!(row.await.unwrap().get::<_, i64>(0), 1);
}

#[tokio::test]
async fn the_stand_in_says_that_a_savepoint_brings_a_failed_transaction_back() {
    let stage = Stage::start().await;
    let client = &stage.client;
    client.batch_execute("BEGIN; SAVEPOINT s").await.unwrap();
    let error = client.batch_execute("INSERT INTO nowhere VALUES (1)");
    error.await.unwrap_err();
    client
        .batch_execute("ROLLBACK TO SAVEPOINT s")
        .await
        .unwrap();
    client.batch_execute("SELECT 1").await.unwrap();
    client.batch_execute("COMMIT").await.unwrap();
}

#[tokio::test]
async fn read_only_transactions_and_carried_settings_run() {
    let mut stage = Stage::start().await;
    stage
        .client
        .batch_execute("SET search_path = public")
        .await
        .unwrap();
    let builder = stage.client.build_transaction().read_only(true);
    let transaction = builder.start().await.unwrap();
    let row = transaction.query_one("SELECT count(*) FROM weighing", &[]);
    assert_eq!(row.await.unwrap().get::<_, i64>(0), 0);
    transaction.commit().await.unwrap();
    let insert = "INSERT INTO weighing (animal) VALUES ('a')";
    assert_eq!(stage.client.execute(insert, &[]).await.unwrap(), 1);
}
