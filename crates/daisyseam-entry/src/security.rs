//! TLS towards callers and between processes, with files that may change while the daemon runs.

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

/// How the daemon proves itself.
#[derive(Clone)]
pub struct EntrySecurity {
    /// Between the system's processes.
    pub peers: PeerSecurity,
    /// Towards callers; none if they are not offered TLS.
    pub callers: Option<CallerCertificate>,
}

impl EntrySecurity {
    /// Leaves every connection plain.
    pub fn plain(cluster: ClusterId) -> Self {
        Self {
            peers: PeerSecurity::plain(cluster),
            callers: None,
        }
    }

    /// Reads all files again; new connections use them, open ones go on.
    ///
    /// # Errors
    ///
    /// [`SecurityError`] of the first file that cannot be used; what it belongs to stays as it
    /// was.
    pub fn reload(&self) -> Result<(), SecurityError> {
        let callers = self.callers.as_ref().map(CallerCertificate::reload);
        self.peers.reload()?;
        callers.unwrap_or(Ok(()))
    }
}

/// The certificate that callers are shown; cheap to clone.
#[derive(Clone, Debug)]
pub struct CallerCertificate {
    shared: Arc<CertificateFiles>,
}

#[derive(Debug)]
struct CertificateFiles {
    certificate: PathBuf,
    key: PathBuf,
    present: ArcSwap<CertifiedKey>,
}

impl CallerCertificate {
    /// Reads a certificate with its chain and its key from PEM files.
    ///
    /// # Errors
    ///
    /// [`SecurityError`] that names the file.
    pub fn read(certificate: PathBuf, key: PathBuf) -> Result<Self, SecurityError> {
        let present = read_pair(&certificate, &key)?;
        let files = CertificateFiles {
            certificate,
            key,
            present: ArcSwap::from_pointee(present),
        };
        Ok(Self {
            shared: Arc::new(files),
        })
    }

    /// Reads the files again.
    ///
    /// # Errors
    ///
    /// [`SecurityError`]; the earlier certificate stays in use then.
    pub fn reload(&self) -> Result<(), SecurityError> {
        let files = &self.shared;
        let present = read_pair(&files.certificate, &files.key)?;
        files.present.store(Arc::new(present));
        Ok(())
    }

    /// Makes an acceptor that always shows the present certificate.
    ///
    /// # Errors
    ///
    /// [`SecurityError::Config`] when TLS cannot be set up.
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
        Some(self.present.load_full())
    }
}

fn read_pair(certificate: &Path, key: &Path) -> Result<CertifiedKey, SecurityError> {
    let failed =
        |path: &Path, words: String| SecurityError::File(path.display().to_string(), words);
    let chain: Vec<CertificateDer<'static>> = CertificateDer::pem_file_iter(certificate)
        .and_then(Iterator::collect)
        .map_err(|error| failed(certificate, error.to_string()))?;
    if chain.is_empty() {
        return Err(failed(certificate, "it holds no certificate".to_owned()));
    }
    let secret =
        PrivateKeyDer::from_pem_file(key).map_err(|error| failed(key, error.to_string()))?;
    CertifiedKey::from_der(chain, secret, &provider())
        .map_err(|error| failed(key, error.to_string()))
}

fn provider() -> Arc<CryptoProvider> {
    Arc::new(ring::default_provider())
}
