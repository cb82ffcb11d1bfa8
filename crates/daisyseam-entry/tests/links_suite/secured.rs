//! Tests of TLS between instances and with callers.

use crate::support::{
    FakeDatabase,
    Instance,
    LOOPBACK,
    ViewParts,
    cluster,
    group,
    order,
    position,
    query,
    within, //
};
use daisyseam_entry::{
    LinkBroker,
    StatementAccess,
    security::CallerCertificate, //
};
use daisyseam_model::announce::UpstreamRole;
use daisyseam_wire::{
    PeerSecurity,
    SecurityFiles, //
};
use rcgen::{
    BasicConstraints,
    CertificateParams,
    CertifiedIssuer,
    IsCa,
    KeyPair, //
};
use rustls::{
    ClientConfig,
    RootCertStore,
    crypto::ring,
    pki_types::ServerName, //
};
use std::{
    fs,
    path::PathBuf,
    sync::Arc,
    time::Duration, //
};
use tempfile::TempDir;
use test_case::test_case;
use tokio::net::{
    TcpListener,
    TcpStream, //
};
use tokio_rustls::TlsConnector;

type Authority = CertifiedIssuer<'static, KeyPair>;

fn authority() -> Authority {
    let mut params = CertificateParams::new(Vec::new()).expect("no names");
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    let key = KeyPair::generate().expect("a key");
    CertifiedIssuer::self_signed(params, key).expect("a certificate")
}

fn write(folder: &TempDir, file: &str, text: &str) -> PathBuf {
    let path = folder.path().join(file);
    fs::write(&path, text).expect("it is written");
    path
}

/// Issues a certificate for a name, and writes it and its key.
fn issue(folder: &TempDir, authority: &Authority, name: &str) -> (PathBuf, PathBuf) {
    let key = KeyPair::generate().expect("a key");
    let params = CertificateParams::new(vec![name.to_owned()]).expect("a name");
    let certificate = params.signed_by(&key, authority).expect("a certificate");
    (
        write(folder, &format!("{name}.pem"), &certificate.pem()),
        write(folder, &format!("{name}.key"), &key.serialize_pem()),
    )
}

fn security(folder: &TempDir, authority: &Authority, role: &str) -> PeerSecurity {
    let (certificate, key) = issue(folder, authority, &format!("{role}.shellrest.daisyseam"));
    let files = SecurityFiles {
        authority: write(folder, "authority.pem", &authority.pem()),
        certificate,
        key,
    };
    PeerSecurity::from_files(cluster(), files).expect("valid files")
}

#[test_case("entry", true; "another entry is served")]
#[test_case("operator", false; "an operator is not")]
#[tokio::test]
async fn a_peer_is_served_according_to_the_role_in_its_certificate(role: &str, served: bool) {
    let folder = TempDir::new().expect("a folder");
    let authority = authority();
    let database = FakeDatabase::start(UpstreamRole::Primary, position(1, 10)).await;
    let own = security(&folder, &authority, "entry");
    let holder = Instance::start_secured("entry-1", 1, own).await;
    let shown = security(&folder, &authority, role);
    let other = Instance::start_secured("entry-2", 2, shown).await;
    let view = ViewParts::new()
        .instance("entry-1", 1, holder.server.address())
        .instance("entry-2", 2, other.server.address())
        .database("one", &database, Some("entry-1"));
    holder.apply_view(&view.0).await;
    other.apply_view(&view.0).await;
    let group = group();
    let mut order = order(&group, StatementAccess::Write);
    if !served {
        order.deadline = tokio::time::Instant::now() + Duration::from_millis(300);
    }
    match within(other.broker.open(order)).await {
        Ok(mut opened) => {
            assert!(served, "an operator got a link");
            let answer = query(&mut opened.link, "SELECT secured").await;
            assert_eq!(answer.expect("an answer"), "SELECT secured");
        }
        Err(error) => assert!(!served, "{error}"),
    }
}

/// Connects as a caller that trusts one authority; returns whether it accepts the certificate.
async fn accepts_certificate(certificate: &CallerCertificate, trusted: &Authority) -> bool {
    let listener = TcpListener::bind(LOOPBACK).await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let acceptor = certificate.acceptor().expect("an acceptor");
    let serving = tokio::spawn(async move {
        let (socket, _) = listener.accept().await.expect("a caller");
        acceptor.accept(socket).await.is_ok()
    });
    let mut roots = RootCertStore::empty();
    roots.add(trusted.der().clone()).expect("a certificate");
    let config = ClientConfig::builder_with_provider(Arc::new(ring::default_provider()))
        .with_safe_default_protocol_versions()
        .expect("a version")
        .with_root_certificates(roots)
        .with_no_client_auth();
    let socket = TcpStream::connect(address).await.expect("it listens");
    let name = ServerName::try_from("proxy.example").expect("a name");
    let connected = TlsConnector::from(Arc::new(config)).connect(name, socket);
    let connected = within(connected).await.is_ok();
    within(serving).await.expect("the task completes");
    connected
}

#[tokio::test]
async fn a_changed_caller_certificate_is_presented_and_a_damaged_one_ignored() {
    let folder = TempDir::new().expect("a folder");
    let (first, second) = (authority(), authority());
    let (file, key) = issue(&folder, &first, "proxy.example");
    let certificate = CallerCertificate::read(file.clone(), key).expect("valid files");
    assert!(accepts_certificate(&certificate, &first).await);
    assert!(!accepts_certificate(&certificate, &second).await);
    issue(&folder, &second, "proxy.example");
    certificate.reload().expect("valid files");
    assert!(accepts_certificate(&certificate, &second).await);
    fs::write(&file, "rubbish").expect("it is written");
    let refused = certificate.reload().expect_err("it is damaged");
    assert!(refused.to_string().contains("proxy.example.pem"));
    assert!(accepts_certificate(&certificate, &second).await);
}
