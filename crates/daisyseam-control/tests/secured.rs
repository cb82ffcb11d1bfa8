//! Control with mutual TLS: members elect a leader, and each role may send only its own requests.

#[expect(dead_code, reason = "the other test files use the rest")]
mod support;

use crate::support::{
    DOCUMENT,
    cluster,
    free_addresses,
    member_names,
    settings, //
};
use daisyseam_control::ControlDaemon;
use daisyseam_wire::{
    ControlMessage,
    MessageStream,
    PeerRole,
    PeerSecurity,
    SecurityFiles,
    ShowRequest,
    SubmitRequest,
    control_message::Body, //
};
use rcgen::{
    BasicConstraints,
    CertificateParams,
    CertifiedIssuer,
    IsCa,
    KeyPair, //
};
use std::{
    fs,
    net::SocketAddr,
    path::PathBuf,
    time::Duration, //
};
use tempfile::TempDir;
use tokio::net::TcpStream;

type Authority = CertifiedIssuer<'static, KeyPair>;

fn authority() -> Authority {
    let mut params = CertificateParams::new(Vec::new()).expect("no names");
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    let key = KeyPair::generate().expect("a key");
    CertifiedIssuer::self_signed(params, key).expect("a certificate")
}

fn security(folder: &TempDir, authority: &Authority, role: &str) -> PeerSecurity {
    let write = |file: String, text: String| -> PathBuf {
        let path = folder.path().join(file);
        fs::write(&path, text).expect("it is written");
        path
    };
    let key = KeyPair::generate().expect("a key");
    let name = format!("{role}.shellrest.daisyseam");
    let params = CertificateParams::new(vec![name]).expect("a name");
    let certificate = params.signed_by(&key, authority).expect("a certificate");
    let files = SecurityFiles {
        authority: write("authority.pem".to_owned(), authority.pem()),
        certificate: write(format!("{role}.pem"), certificate.pem()),
        key: write(format!("{role}.key"), key.serialize_pem()),
    };
    PeerSecurity::from_files(cluster(), files).expect("sound files")
}

/// Sends a request; returns `None` if the connection is refused or closed.
async fn request(security: &PeerSecurity, address: SocketAddr, body: Body) -> Option<Body> {
    let socket = TcpStream::connect(address).await.ok()?;
    let socket = security.client(socket, PeerRole::Control).await.ok()?;
    let mut stream = MessageStream::<_, ControlMessage>::new(socket, cluster());
    let message = ControlMessage { body: Some(body) };
    stream.send(&message).await.ok()?;
    stream.receive().await.ok()?.body
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn members_elect_over_tls_and_only_an_operator_submits() {
    let folder = tempfile::tempdir().expect("a folder");
    let authority = authority();
    let control = security(&folder, &authority, "control");
    let operator = security(&folder, &authority, "operator");
    let entry = security(&folder, &authority, "entry");
    let addresses = free_addresses(3);
    let named = member_names(&addresses);
    let mut daemons = Vec::new();
    for number in 0..3 {
        let settings = settings(&named, number, folder.path());
        let daemon = ControlDaemon::start_secured(settings, control.clone()).await;
        daemons.push(daemon.expect("it starts"));
    }
    let submit = Body::Submit(SubmitRequest {
        id: "change-1".to_owned(),
        replaces: 0,
        text: DOCUMENT.to_owned(),
        operator: "amalia".to_owned(),
    });
    let accepted = 'submit: loop {
        for address in &addresses {
            let answer = request(&operator, *address, submit.clone()).await;
            if let Some(Body::Submitted(reply)) = answer {
                break 'submit reply.accepted;
            }
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    };
    assert!(accepted);
    let show = Body::Show(ShowRequest::default());
    for address in &addresses {
        assert_eq!(request(&entry, *address, submit.clone()).await, None);
        let shown = request(&entry, *address, show.clone()).await;
        assert!(matches!(shown, Some(Body::Shown(_))), "{shown:?}");
        let plain = PeerSecurity::plain(cluster());
        assert_eq!(request(&plain, *address, show.clone()).await, None);
    }
    for daemon in daemons {
        daemon.stop(Duration::from_secs(10)).await;
    }
}
