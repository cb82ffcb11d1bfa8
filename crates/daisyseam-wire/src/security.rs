//! Mutual TLS between the system's processes, with names checked against roles.
//!
//! A certificate carries the DNS name `ROLE.CLUSTER.daisyseam`, where the role is `entry`,
//! `control` or `operator`. Both sides show one, and each checks that the other's role may do
//! what it is about to do.

use arc_swap::ArcSwap;
use daisyseam_model::ClusterId;
use displaydoc::Display;
use rustls::{
    ClientConfig,
    RootCertStore,
    ServerConfig,
    client::verify_server_name,
    pki_types::{
        CertificateDer,
        PrivateKeyDer,
        ServerName,
        pem::PemObject, //
    },
    server::{
        ParsedCertificate,
        WebPkiClientVerifier, //
    }, //
};
use std::{
    error::Error,
    io,
    path::PathBuf,
    pin::Pin,
    sync::Arc,
    task::{
        Context,
        Poll, //
    }, //
};
use tokio::{
    io::{
        AsyncRead,
        AsyncWrite,
        ReadBuf, //
    },
    net::TcpStream, //
};
use tokio_rustls::{
    TlsAcceptor,
    TlsConnector,
    TlsStream, //
};

/// Why secure connections cannot be set up.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum SecurityError {
    /// the file `{0}` cannot be used: {1}
    File(String, String),
    /// the certificates cannot be used: {0}
    Config(String),
}

impl Error for SecurityError {}

/// What a process is, as its certificate names it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PeerRole {
    /// An entry daemon.
    Entry,
    /// A control daemon.
    Control,
    /// An operator's program.
    Operator,
}

impl PeerRole {
    /// Returns the DNS name that a certificate of this role carries.
    pub fn dns_name(self, cluster: &ClusterId) -> String {
        let role = match self {
            Self::Entry => "entry",
            Self::Control => "control",
            Self::Operator => "operator",
        };
        format!("{role}.{cluster}.daisyseam")
    }
}

/// Files that a process proves itself with, in PEM.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SecurityFiles {
    /// Certificates of the authority that signs the fleet's.
    pub authority: PathBuf,
    /// The process's own certificate and its chain.
    pub certificate: PathBuf,
    /// The key of that certificate.
    pub key: PathBuf,
}

/// Secures connections between the system's processes, or leaves them plain.
#[derive(Clone)]
pub struct PeerSecurity {
    cluster: ClusterId,
    material: Option<Arc<SecurityMaterial>>,
}

impl PeerSecurity {
    /// Leaves connections plain.
    pub fn plain(cluster: ClusterId) -> Self {
        Self {
            cluster,
            material: None,
        }
    }

    /// Reads the files.
    ///
    /// # Errors
    ///
    /// [`SecurityError`] that names the file.
    pub fn from_files(cluster: ClusterId, files: SecurityFiles) -> Result<Self, SecurityError> {
        let configs = TlsConfigs::read(&files)?;
        let material = SecurityMaterial {
            files,
            configs: ArcSwap::from_pointee(configs),
        };
        Ok(Self {
            cluster,
            material: Some(Arc::new(material)),
        })
    }

    /// Reads the files again; new connections use them, open ones go on.
    ///
    /// # Errors
    ///
    /// [`SecurityError`]; the earlier certificates stay in use then.
    pub fn reload(&self) -> Result<(), SecurityError> {
        if let Some(material) = &self.material {
            let configs = TlsConfigs::read(&material.files)?;
            material.configs.store(Arc::new(configs));
        }
        Ok(())
    }

    /// Secures a connection that this process opened to a process of a role.
    ///
    /// # Errors
    ///
    /// When the other side is not of that role or the connection fails.
    pub async fn client(&self, socket: TcpStream, role: PeerRole) -> io::Result<PeerSocket> {
        let Some(material) = &self.material else {
            return Ok(PeerSocket::Plain(socket));
        };
        let name = ServerName::try_from(role.dns_name(&self.cluster)).map_err(io::Error::other)?;
        let connector = TlsConnector::from(Arc::clone(&material.configs.load().client));
        let stream = connector.connect(name, socket).await?;
        Ok(PeerSocket::Secure(Box::new(TlsStream::Client(stream))))
    }

    /// Secures a connection that another process opened, if its role is one of those allowed.
    ///
    /// # Errors
    ///
    /// When the other side is of no allowed role or the connection fails.
    pub async fn server(&self, socket: TcpStream, allowed: &[PeerRole]) -> io::Result<PeerSocket> {
        let (socket, _) = self.server_of(socket, allowed).await?;
        Ok(socket)
    }

    /// Secures a connection that another process opened and tells its role; none without TLS.
    ///
    /// # Errors
    ///
    /// When the other side is of no allowed role or the connection fails.
    pub async fn server_of(
        &self,
        socket: TcpStream,
        allowed: &[PeerRole],
    ) -> io::Result<(PeerSocket, Option<PeerRole>)> {
        let Some(material) = &self.material else {
            return Ok((PeerSocket::Plain(socket), None));
        };
        let acceptor = TlsAcceptor::from(Arc::clone(&material.configs.load().server));
        let stream = acceptor.accept(socket).await?;
        let certificates = stream.get_ref().1.peer_certificates();
        let shown = certificates.and_then(|certificates| certificates.first());
        let role = shown.and_then(|shown| self.role_of(shown, allowed));
        let Some(role) = role else {
            let words = "the peer's certificate names no role that may do this";
            return Err(io::Error::new(io::ErrorKind::PermissionDenied, words));
        };
        let stream = Box::new(TlsStream::Server(stream));
        Ok((PeerSocket::Secure(stream), Some(role)))
    }

    /// Returns the first of the roles that the certificate names.
    fn role_of(&self, shown: &CertificateDer<'_>, allowed: &[PeerRole]) -> Option<PeerRole> {
        let certificate = ParsedCertificate::try_from(shown).ok()?;
        let mut roles = allowed.iter().copied();
        roles.find(|role| {
            ServerName::try_from(role.dns_name(&self.cluster))
                .is_ok_and(|name| verify_server_name(&certificate, &name).is_ok())
        })
    }
}

/// A connection between two of the system's processes.
pub enum PeerSocket {
    /// Without TLS.
    Plain(TcpStream),
    /// With mutual TLS.
    Secure(Box<TlsStream<TcpStream>>),
}

impl AsyncRead for PeerSocket {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Self::Plain(socket) => Pin::new(socket).poll_read(context, buffer),
            Self::Secure(socket) => Pin::new(socket).poll_read(context, buffer),
        }
    }
}

impl AsyncWrite for PeerSocket {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        match self.get_mut() {
            Self::Plain(socket) => Pin::new(socket).poll_write(context, bytes),
            Self::Secure(socket) => Pin::new(socket).poll_write(context, bytes),
        }
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Self::Plain(socket) => Pin::new(socket).poll_flush(context),
            Self::Secure(socket) => Pin::new(socket).poll_flush(context),
        }
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Self::Plain(socket) => Pin::new(socket).poll_shutdown(context),
            Self::Secure(socket) => Pin::new(socket).poll_shutdown(context),
        }
    }
}

struct SecurityMaterial {
    files: SecurityFiles,
    configs: ArcSwap<TlsConfigs>,
}

struct TlsConfigs {
    client: Arc<ClientConfig>,
    server: Arc<ServerConfig>,
}

impl TlsConfigs {
    fn read(files: &SecurityFiles) -> Result<Self, SecurityError> {
        let roots = read_roots(files)?;
        let chain = read_chain(&files.certificate)?;
        let key = PrivateKeyDer::from_pem_file(&files.key)
            .map_err(|error| file_error(&files.key, error))?;
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let client = ClientConfig::builder_with_provider(Arc::clone(&provider))
            .with_safe_default_protocol_versions()
            .map_err(config_error)?
            .with_root_certificates(Arc::clone(&roots))
            .with_client_auth_cert(chain.clone(), key.clone_key())
            .map_err(config_error)?;
        let verifier = WebPkiClientVerifier::builder_with_provider(roots, Arc::clone(&provider))
            .build()
            .map_err(config_error)?;
        let server = ServerConfig::builder_with_provider(provider)
            .with_safe_default_protocol_versions()
            .map_err(config_error)?
            .with_client_cert_verifier(verifier)
            .with_single_cert(chain, key)
            .map_err(config_error)?;
        Ok(Self {
            client: Arc::new(client),
            server: Arc::new(server),
        })
    }
}

fn read_roots(files: &SecurityFiles) -> Result<Arc<RootCertStore>, SecurityError> {
    let mut roots = RootCertStore::empty();
    for certificate in read_chain(&files.authority)? {
        roots
            .add(certificate)
            .map_err(|error| file_error(&files.authority, error))?;
    }
    Ok(Arc::new(roots))
}

fn read_chain(path: &PathBuf) -> Result<Vec<CertificateDer<'static>>, SecurityError> {
    let chain = CertificateDer::pem_file_iter(path)
        .and_then(Iterator::collect::<Result<Vec<_>, _>>)
        .map_err(|error| file_error(path, error))?;
    if chain.is_empty() {
        return Err(file_error(path, "it holds no certificate"));
    }
    Ok(chain)
}

fn file_error(path: &std::path::Path, error: impl std::fmt::Display) -> SecurityError {
    SecurityError::File(path.display().to_string(), error.to_string())
}

fn config_error(error: impl std::fmt::Display) -> SecurityError {
    SecurityError::Config(error.to_string())
}
