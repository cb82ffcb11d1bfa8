//! TLS for callers and between processes, with certificate files that can be reloaded at run time.

use arc_swap::ArcSwap;
use daisyseam_model::ClusterId;
use daisyseam_wire::{
    PeerSecurity,
    SecurityError, //
};
use rustls::{
    ServerConfig,
    crypto::{
        CryptoProvider,
        ring, //
    },
    pki_types::{
        CertificateDer,
        PrivateKeyDer,
        pem::PemObject, //
    },
    server::{
        ClientHello,
        ResolvesServerCert, //
    },
    sign::CertifiedKey, //
};
use std::{
    path::{
        Path,
        PathBuf, //
    },
    sync::Arc, //
};
use tokio_rustls::TlsAcceptor;

/// TLS configuration of the daemon.
#[derive(Clone)]
pub struct EntrySecurity {
    /// For connections between processes of the cluster.
    pub peers: PeerSecurity,
    /// For callers; `None` disables TLS for them.
    pub callers: Option<CallerCertificate>,
}

impl EntrySecurity {
    /// Disables TLS for all connections.
    pub fn plain(cluster: ClusterId) -> Self {
        Self {
            peers: PeerSecurity::plain(cluster),
            callers: None,
        }
    }

    /// Reloads all files for new connections; open ones are not affected.
    ///
    /// # Errors
    ///
    /// [`SecurityError`] for the first file that cannot be used; the previous certificate stays in
    /// use where its files cannot be.
    pub fn reload(&self) -> Result<(), SecurityError> {
        let callers = self.callers.as_ref().map(CallerCertificate::reload);
        self.peers.reload()?;
        callers.unwrap_or(Ok(()))
    }
}

/// Server certificate for callers; cheap to clone.
#[derive(Clone, Debug)]
pub struct CallerCertificate {
    shared: Arc<CertificateFiles>,
}

#[derive(Debug)]
struct CertificateFiles {
    certificate: PathBuf,
    key: PathBuf,
    current: ArcSwap<CertifiedKey>,
}

impl CallerCertificate {
    /// Reads a certificate chain and its private key from PEM files.
    ///
    /// # Errors
    ///
    /// [`SecurityError`] that names the file.
    pub fn read(certificate: PathBuf, key: PathBuf) -> Result<Self, SecurityError> {
        let current = read_certified_key(&certificate, &key)?;
        let files = CertificateFiles {
            certificate,
            key,
            current: ArcSwap::from_pointee(current),
        };
        Ok(Self {
            shared: Arc::new(files),
        })
    }

    /// Reloads the files.
    ///
    /// # Errors
    ///
    /// [`SecurityError`] if a file cannot be used; the previous certificate stays in use.
    pub fn reload(&self) -> Result<(), SecurityError> {
        let files = &self.shared;
        let current = read_certified_key(&files.certificate, &files.key)?;
        files.current.store(Arc::new(current));
        Ok(())
    }

    /// Creates an acceptor that always presents the current certificate.
    ///
    /// # Errors
    ///
    /// [`SecurityError::Config`] if TLS cannot be set up.
    pub fn acceptor(&self) -> Result<TlsAcceptor, SecurityError> {
        let resolver = Arc::clone(&self.shared);
        let config = ServerConfig::builder_with_provider(provider())
            .with_safe_default_protocol_versions()
            .map_err(|error| SecurityError::Config(error.to_string()))?
            .with_no_client_auth()
            .with_cert_resolver(resolver);
        Ok(TlsAcceptor::from(Arc::new(config)))
    }
}

impl ResolvesServerCert for CertificateFiles {
    fn resolve(&self, _hello: ClientHello<'_>) -> Option<Arc<CertifiedKey>> {
        Some(self.current.load_full())
    }
}

fn read_certified_key(certificate: &Path, key: &Path) -> Result<CertifiedKey, SecurityError> {
    let file_error =
        |path: &Path, detail: String| SecurityError::File(path.display().to_string(), detail);
    let chain: Vec<CertificateDer<'static>> = CertificateDer::pem_file_iter(certificate)
        .and_then(Iterator::collect)
        .map_err(|error| file_error(certificate, error.to_string()))?;
    if chain.is_empty() {
        return Err(file_error(
            certificate,
            "contains no certificate".to_owned(),
        ));
    }
    let private_key =
        PrivateKeyDer::from_pem_file(key).map_err(|error| file_error(key, error.to_string()))?;
    CertifiedKey::from_der(chain, private_key, &provider())
        .map_err(|error| file_error(key, error.to_string()))
}

fn provider() -> Arc<CryptoProvider> {
    Arc::new(ring::default_provider())
}
