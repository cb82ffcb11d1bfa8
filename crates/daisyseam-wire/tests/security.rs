//! Mutual TLS between processes: roles, clusters, authorities and reload.

use daisyseam_model::ClusterId;
use daisyseam_wire::{
    PeerRole,
    PeerSecurity,
    SecurityError,
    SecurityFiles, //
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
    io, //
};
use tempfile::TempDir;
use test_case::test_case;
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::{
        TcpListener,
        TcpStream, //
    }, //
};

type Authority = CertifiedIssuer<'static, KeyPair>;

fn cluster() -> ClusterId {
    ClusterId::new("shellrest").expect("a name")
}

fn authority() -> Authority {
    let mut params = CertificateParams::new(Vec::new()).expect("no names");
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    let key = KeyPair::generate().expect("a key");
    CertifiedIssuer::self_signed(params, key).expect("a certificate")
}

/// Writes the files of a process whose certificate has one name.
fn issue(
    folder: &TempDir,
    authority: &Authority,
    trusted: &Authority,
    name: &str,
) -> SecurityFiles {
    let key = KeyPair::generate().expect("a key");
    let params = CertificateParams::new(vec![name.to_owned()]).expect("a name");
    let certificate = params.signed_by(&key, authority).expect("a certificate");
    let write = |file: &str, text: &str| {
        let path = folder.path().join(format!("{name}-{file}"));
        fs::write(&path, text).expect("the file is written");
        path
    };
    SecurityFiles {
        authority: write("authority.pem", &trusted.pem()),
        certificate: write("certificate.pem", &certificate.pem()),
        key: write("key.pem", &key.serialize_pem()),
    }
}

fn security(files: &SecurityFiles) -> PeerSecurity {
    PeerSecurity::from_files(cluster(), files.clone()).expect("the files are sound")
}

/// Sends a word from the client to the server and back, and returns what each saw.
async fn exchange(
    client: &PeerSecurity,
    server: &PeerSecurity,
    wanted: PeerRole,
    allowed: &[PeerRole],
) -> (io::Result<()>, io::Result<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let serving = async {
        let (socket, _) = listener.accept().await?;
        let mut socket = server.server(socket, allowed).await?;
        let mut word = [0; 4];
        socket.read_exact(&mut word).await?;
        socket.write_all(&word).await?;
        socket.flush().await
    };
    let asking = async {
        let socket = TcpStream::connect(address).await?;
        let mut socket = client.client(socket, wanted).await?;
        socket.write_all(b"ping").await?;
        socket.flush().await?;
        let mut word = [0; 4];
        socket.read_exact(&mut word).await?;
        // A plain client reads the server's TLS alert here.
        match &word {
            b"ping" => Ok(()),
            _ => Err(io::Error::from(io::ErrorKind::InvalidData)),
        }
    };
    tokio::join!(asking, serving)
}

#[tokio::test]
async fn two_processes_with_the_right_roles_talk() {
    let folder = TempDir::new().expect("a folder");
    let authority = authority();
    let entry = security(&issue(
        &folder,
        &authority,
        &authority,
        "entry.shellrest.daisyseam",
    ));
    let control = security(&issue(
        &folder,
        &authority,
        &authority,
        "control.shellrest.daisyseam",
    ));
    let (asked, served) = exchange(&entry, &control, PeerRole::Control, &[PeerRole::Entry]).await;
    asked.expect("the client is answered");
    served.expect("the server is asked");
}

#[test_case("operator.shellrest.daisyseam"; "an operator's certificate")]
#[test_case("entry.brandvold.daisyseam"; "another cluster's certificate")]
#[tokio::test]
async fn a_client_of_another_role_is_refused(name: &str) {
    let folder = TempDir::new().expect("a folder");
    let authority = authority();
    let client = security(&issue(&folder, &authority, &authority, name));
    let control = security(&issue(
        &folder,
        &authority,
        &authority,
        "control.shellrest.daisyseam",
    ));
    let (asked, served) = exchange(&client, &control, PeerRole::Control, &[PeerRole::Entry]).await;
    let refusal = served.expect_err("the role is not allowed");
    assert_eq!(refusal.kind(), io::ErrorKind::PermissionDenied);
    asked.expect_err("nothing is answered");
}

#[tokio::test]
async fn a_server_of_another_role_is_refused() {
    let folder = TempDir::new().expect("a folder");
    let authority = authority();
    let entry = security(&issue(
        &folder,
        &authority,
        &authority,
        "entry.shellrest.daisyseam",
    ));
    let other = security(&issue(
        &folder,
        &authority,
        &authority,
        "operator.shellrest.daisyseam",
    ));
    let (asked, served) = exchange(&entry, &other, PeerRole::Control, &[PeerRole::Entry]).await;
    asked.expect_err("an operator is no control instance");
    served.expect_err("the client goes away");
}

#[tokio::test]
async fn a_certificate_of_another_authority_is_refused() {
    let folder = TempDir::new().expect("a folder");
    let (own, foreign) = (authority(), authority());
    let client = security(&issue(&folder, &foreign, &own, "entry.shellrest.daisyseam"));
    let control = security(&issue(&folder, &own, &own, "control.shellrest.daisyseam"));
    let (asked, served) = exchange(&client, &control, PeerRole::Control, &[PeerRole::Entry]).await;
    asked.expect_err("nothing is answered");
    served.expect_err("the authority is not trusted");
}

#[tokio::test]
async fn a_plain_client_is_refused_by_a_secure_server() {
    let folder = TempDir::new().expect("a folder");
    let authority = authority();
    let plain = PeerSecurity::plain(cluster());
    let control = security(&issue(
        &folder,
        &authority,
        &authority,
        "control.shellrest.daisyseam",
    ));
    let (asked, served) = exchange(&plain, &control, PeerRole::Control, &[PeerRole::Entry]).await;
    asked.expect_err("nothing is answered");
    served.expect_err("it is no TLS");
}

#[tokio::test]
async fn reload_takes_new_files_and_keeps_the_old_ones_when_they_are_damaged() {
    let folder = TempDir::new().expect("a folder");
    let authority = authority();
    let files = issue(&folder, &authority, &authority, "entry.shellrest.daisyseam");
    let entry = security(&files);
    let control = security(&issue(
        &folder,
        &authority,
        &authority,
        "control.shellrest.daisyseam",
    ));
    fs::write(&files.key, "damaged").expect("the file is written");
    let error = entry.reload().expect_err("the key is damaged");
    assert!(matches!(error, SecurityError::File(path, _) if path.ends_with("key.pem")));
    let (asked, _) = exchange(&entry, &control, PeerRole::Control, &[PeerRole::Entry]).await;
    asked.expect("the earlier certificate is in use");
    issue(&folder, &authority, &authority, "entry.shellrest.daisyseam");
    entry.reload().expect("the new files are sound");
    let (asked, _) = exchange(&entry, &control, PeerRole::Control, &[PeerRole::Entry]).await;
    asked.expect("the new certificate is in use");
}
