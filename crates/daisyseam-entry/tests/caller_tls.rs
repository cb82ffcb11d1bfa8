//! TLS for callers, trace spans and counters.

mod caller_support;

use caller_support::{
    CallerFixture,
    KEY,
    raw::{
        RawCaller,
        tags, //
    }, //
};
use daisyseam_runtime::SpanExporter;
use pgwire::messages::{
    PgWireFrontendMessage,
    simplequery::Query, //
};
use rcgen::{
    CertifiedKey,
    generate_simple_self_signed, //
};
use rustls::{
    ClientConfig,
    RootCertStore,
    ServerConfig,
    crypto::ring,
    pki_types::{
        PrivateKeyDer,
        PrivatePkcs8KeyDer,
        ServerName, //
    }, //
};
use std::sync::Arc;
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::TcpStream, //
};
use tokio_rustls::{
    TlsAcceptor,
    TlsConnector, //
};

fn tls_endpoints() -> (TlsAcceptor, TlsConnector) {
    let CertifiedKey { cert, signing_key } =
        generate_simple_self_signed(vec!["localhost".to_owned()]).unwrap();
    let key = PrivatePkcs8KeyDer::from(signing_key.serialize_der());
    let provider = Arc::new(ring::default_provider());
    let server = ServerConfig::builder_with_provider(Arc::clone(&provider))
        .with_safe_default_protocol_versions()
        .unwrap()
        .with_no_client_auth()
        .with_single_cert(vec![cert.der().clone()], PrivateKeyDer::from(key))
        .unwrap();
    let mut roots = RootCertStore::empty();
    roots.add(cert.der().clone()).unwrap();
    let client = ClientConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .unwrap()
        .with_root_certificates(roots)
        .with_no_client_auth();
    let acceptor = TlsAcceptor::from(Arc::new(server));
    (acceptor, TlsConnector::from(Arc::new(client)))
}

const SSL_REQUEST: [u8; 8] = [0, 0, 0, 8, 4, 210, 22, 47];

#[tokio::test]
async fn a_caller_can_use_tls() {
    let (acceptor, connector) = tls_endpoints();
    let fixture = CallerFixture::with("", SpanExporter::disabled(), Some(acceptor)).await;
    let mut plain = TcpStream::connect(fixture.address()).await.unwrap();
    plain.write_all(&SSL_REQUEST).await.unwrap();
    assert_eq!(plain.read_u8().await.unwrap(), b'S');
    let name = ServerName::try_from("localhost").unwrap();
    let mut stream = connector.connect(name, plain).await.unwrap();
    let body = b"\0\x03\0\0user\0keepers\0database\0bookings\0\0";
    let length = u32::try_from(body.len() + 4).unwrap();
    stream.write_all(&length.to_be_bytes()).await.unwrap();
    stream.write_all(body).await.unwrap();
    stream.flush().await.unwrap();
    assert_eq!(stream.read_u8().await.unwrap(), b'R');
    let mut authentication_request = [0; 8];
    stream
        .read_exact(&mut authentication_request)
        .await
        .unwrap();
    assert_eq!(authentication_request, [0, 0, 0, 8, 0, 0, 0, 3]);
    let length = u32::try_from(KEY.len() + 5).unwrap();
    let password = [b"p", &length.to_be_bytes()[..], KEY.as_bytes(), b"\0"].concat();
    stream.write_all(&password).await.unwrap();
    stream.flush().await.unwrap();
    let mut authentication_ok = [0; 9];
    stream.read_exact(&mut authentication_ok).await.unwrap();
    assert_eq!(authentication_ok, [b'R', 0, 0, 0, 8, 0, 0, 0, 0]);
}

#[tokio::test]
async fn garbage_after_the_tls_answer_ends_the_connection() {
    let (acceptor, _) = tls_endpoints();
    let fixture = CallerFixture::with("", SpanExporter::disabled(), Some(acceptor)).await;
    let mut caller = RawCaller::connect(fixture.address()).await;
    caller.write(&SSL_REQUEST).await;
    assert_eq!(caller.read_byte().await, b'S');
    caller.write(b"this is no handshake at all").await;
    caller.read_until_closed().await;
    fixture.server.drained().await;
    assert_eq!(fixture.metrics.counters()["caller.tls_failures"], 1);
}

#[tokio::test]
async fn spans_continue_the_trace_of_the_caller() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("spans");
    let spans = SpanExporter::to_file(&path, "entry", "entry-1").unwrap();
    let fixture = CallerFixture::with("", spans, None).await;
    let start = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
    let comment = "00-1bf7651916cd43dd8448eb211c80319c-c7ad6b7169203331-01";
    let options = format!("-c traceparent={start}");
    let parameters = [("options", options.as_str())];
    let mut caller = RawCaller::log_in_with(fixture.address(), "keepers", KEY, &parameters).await;
    let text_with_trace = format!("SELECT 2 /*traceparent='{comment}'*/");
    for text in ["SELECT 1", &text_with_trace] {
        caller
            .send(PgWireFrontendMessage::Query(Query::new(text.to_owned())))
            .await;
        assert!(tags(&caller.read_until_ready().await).contains('C'));
    }
    drop(caller);
    fixture.server.drained().await;
    drop(fixture);
    // The span writer finishes when its last handle drops, which server tasks may hold for a while.
    let written = loop {
        tokio::task::yield_now().await;
        let written = std::fs::read_to_string(&path).unwrap();
        if written.contains("1bf7651916cd43dd8448eb211c80319c") {
            break written;
        }
    };
    assert!(written.contains("0af7651916cd43dd8448eb211c80319c"));
    assert!(written.contains("b7ad6b7169203331"));
    assert!(written.contains("caller.request"));
    assert!(!written.contains(KEY));
}

#[tokio::test]
async fn errors_are_counted_by_their_label() {
    let fixture = CallerFixture::start().await;
    let client = fixture.connect().await;
    client.simple_query("LISTEN a").await.unwrap_err();
    client.simple_query("SELECT 1").await.unwrap();
    let counters = fixture.metrics.counters();
    assert_eq!(counters["caller.errors"], 1);
    assert_eq!(counters["session_state"], 1);
    assert_eq!(counters["caller.requests"], 1);
}
