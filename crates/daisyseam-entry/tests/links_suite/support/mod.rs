//! Fakes for the environment of an entry instance: a database and a control instance.

mod control;
mod database;

pub(crate) use self::{
    control::{
        FakeControl,
        ViewParts, //
    },
    database::FakeDatabase, //
};
use daisyseam_entry::{
    DatabaseLink,
    EntryDaemon,
    EntrySettings,
    HeldView,
    LinkError,
    OpenLinkRequest,
    StatementAccess,
    ViewCell,
    fleet::{
        BrokerSettings,
        FleetBroker, //
    },
    holder::{
        HolderTable,
        TableSettings, //
    },
    peer::{
        IncarnationCell,
        PeerClient,
        PeerServer,
        PeerSettings,
        ServerSettings, //
    }, //
};
use daisyseam_model::{
    ClusterId,
    FleetView,
    GroupId,
    Incarnation,
    LogPosition,
    Position,
    Term,
    UpstreamId, //
};
use daisyseam_runtime::{
    Dialer,
    MetricClient,
    SpanExporter,
    TimerService,
    TraceContext, //
};
use daisyseam_wire::PeerSecurity;
use pgwire::messages::{
    PgWireBackendMessage,
    PgWireFrontendMessage,
    simplequery::Query, //
};
use std::{
    future::Future,
    net::{
        Ipv4Addr,
        SocketAddr, //
    },
    time::Duration, //
};
use tokio::{
    net::TcpListener,
    time::Instant, //
};

/// Limit on the duration of a hanging test; the result of a correct run does not depend on it.
pub(crate) const TEST_TIMEOUT: Duration = Duration::from_secs(30);

pub(crate) const LOOPBACK: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

pub(crate) fn cluster() -> ClusterId {
    ClusterId::new("shellrest").expect("a name")
}

pub(crate) fn group() -> GroupId {
    GroupId::new("bookings-db").expect("a name")
}

pub(crate) fn upstream(name: &str) -> UpstreamId {
    UpstreamId::new(name).expect("a name")
}

pub(crate) fn position(term: u64, position: u64) -> LogPosition {
    LogPosition {
        term: Term(term),
        position: Position(position),
    }
}

pub(crate) fn deadline() -> Instant {
    Instant::now() + TEST_TIMEOUT
}

/// Waits for a future, but fails the test if it takes too long.
pub(crate) async fn within<F: Future>(future: F) -> F::Output {
    tokio::time::timeout(TEST_TIMEOUT, future)
        .await
        .expect("timed out")
}

/// Polls until a condition holds.
pub(crate) async fn eventually(what: &str, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + TEST_TIMEOUT;
    while !holds() {
        assert!(Instant::now() < end, "timed out waiting until {what}");
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}

pub(crate) fn order(group: &GroupId, access: StatementAccess) -> OpenLinkRequest<'_> {
    OpenLinkRequest {
        group,
        organisation: None,
        access,
        deadline: deadline(),
        trace: TraceContext::start(false),
    }
}

/// Runs a query over a link and returns the text of its single value.
pub(crate) async fn query<L: DatabaseLink>(link: &mut L, text: &str) -> Result<String, LinkError> {
    let message = PgWireFrontendMessage::Query(Query::new(text.to_owned()));
    link.send(message).await?;
    link.flush().await?;
    let mut value = String::new();
    loop {
        match link.receive().await? {
            PgWireBackendMessage::DataRow(row) => {
                value = String::from_utf8(row.data[4..].to_vec()).expect("text");
            }
            PgWireBackendMessage::ReadyForQuery(_) => return Ok(value),
            _ => {}
        }
    }
}

/// The database side of an instance, with a view set by the test.
pub(crate) struct Instance {
    pub(crate) cell: ViewCell,
    pub(crate) table: HolderTable,
    pub(crate) broker: FleetBroker,
    pub(crate) server: PeerServer,
}

impl Instance {
    pub(crate) async fn start(name: &str, incarnation: u64) -> Self {
        Self::start_secured(name, incarnation, PeerSecurity::plain(cluster())).await
    }

    pub(crate) async fn start_secured(
        name: &str,
        incarnation: u64,
        security: PeerSecurity,
    ) -> Self {
        let timer = TimerService::start();
        let cell = ViewCell::new();
        let dialer = Dialer::default();
        let own = IncarnationCell::default();
        own.set(Incarnation(incarnation));
        let table = HolderTable::new(TableSettings {
            instance: name.parse().expect("a name"),
            user: "daisyseam".to_owned(),
            password: "secret".to_owned(),
            http: daisyseam_entry::database::HttpProbe::client(None).expect("a client"),
            cell: cell.clone(),
            dialer,
            timer: timer.clone(),
        });
        let listener = TcpListener::bind(LOOPBACK).await.expect("a port");
        let server = PeerServer::start(
            listener,
            ServerSettings {
                cluster: cluster(),
                table: table.clone(),
                cell: cell.clone(),
                timer: timer.clone(),
                spans: SpanExporter::disabled(),
                security: security.clone(),
            },
        )
        .expect("a server");
        let peers = PeerClient::new(PeerSettings {
            cluster: cluster(),
            incarnation: own,
            dialer,
            timer: timer.clone(),
            security,
        });
        let broker = FleetBroker::new(BrokerSettings {
            instance: name.parse().expect("a name"),
            data_centre: "khomas-1".parse().expect("a name"),
            cell: cell.clone(),
            table: table.clone(),
            peers,
            timer,
            metrics: MetricClient::new(None).expect("no socket is needed"),
        });
        Self {
            cell,
            table,
            broker,
            server,
        }
    }

    /// Applies a view under a lease that outlasts the test.
    pub(crate) async fn apply_view(&self, view: &FleetView) {
        self.apply_view_until(view, Some(deadline() + TEST_TIMEOUT))
            .await;
    }

    pub(crate) async fn apply_view_until(&self, view: &FleetView, lease_until: Option<Instant>) {
        self.cell.replace(HeldView {
            view: view.clone().into(),
            lease_until,
        });
        self.table.apply(view).await.finish().await;
    }
}

/// Starts an entry daemon with one control instance.
pub(crate) async fn start_daemon(name: &str, control: SocketAddr) -> EntryDaemon {
    let settings = EntrySettings {
        cluster: cluster(),
        instance: name.parse().expect("a name"),
        data_centre: "khomas-1".parse().expect("a name"),
        caller_listen: LOOPBACK,
        peer_listen: LOOPBACK,
        peer_advertise: None,
        http_listen: LOOPBACK,
        control: vec![control],
        source: None,
        upstream_user: "daisyseam".to_owned(),
        upstream_password: "secret".to_owned(),
        metrics: None,
        spans: None,
    };
    EntryDaemon::start(settings)
        .await
        .expect("the daemon starts")
}
