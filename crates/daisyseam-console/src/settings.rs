//! Settings of the console.

use argh::FromArgs;
use daisyseam_model::ClusterId;
use daisyseam_runtime::{
    SecurityFlags,
    SettingProblem,
    SettingReader, //
};
use daisyseam_wire::PeerSecurity;
use std::{
    net::SocketAddr,
    path::PathBuf,
    time::Duration, //
};

/// Default timeout for a reply of control.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(5);

/// The web console of a daisyseam fleet.
///
/// Every flag has an environment variable DAISYSEAM_NAME; flags take precedence. Exit codes: 0
/// stopped on request, 1 failure, 2 invalid settings.
#[derive(Clone, Debug, Default, FromArgs)]
pub struct ConsoleOptions {
    /// name of the cluster
    #[argh(option)]
    pub cluster: Option<String>,
    /// control instances, IP:PORT separated by commas
    #[argh(option)]
    pub control: Option<String>,
    /// address to listen on, IP:PORT, 127.0.0.1:8090 by default
    #[argh(option)]
    pub listen: Option<String>,
    /// operators file, one NAME:HASH per line, with the hash of the password
    #[argh(option)]
    pub operators: Option<String>,
    /// timeout for a reply of control, in milliseconds, 5000 by default
    #[argh(option)]
    pub patience: Option<String>,
    /// CA certificates of the fleet, PEM
    #[argh(option)]
    pub tls_authority: Option<String>,
    /// certificate of the console, with the role of an operator, PEM
    #[argh(option)]
    pub tls_certificate: Option<String>,
    /// private key of that certificate, PEM
    #[argh(option)]
    pub tls_key: Option<String>,
    /// restrict the cookie to HTTPS; for a console behind a TLS terminator
    #[argh(switch)]
    pub secure_cookie: bool,
    /// read a password from standard input, print its hash and exit
    #[argh(switch)]
    pub hash_password: bool,
}

/// Validated settings of the console.
#[derive(Clone)]
pub struct ConsoleSettings {
    /// Name of the cluster.
    pub cluster: ClusterId,
    /// Addresses of control instances.
    pub control: Vec<SocketAddr>,
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Path of the operators file.
    pub operators: PathBuf,
    /// Timeout for a reply of control.
    pub timeout: Duration,
    /// TLS settings of connections to control.
    pub security: PeerSecurity,
    /// Whether the cookie is restricted to HTTPS.
    pub secure_cookie: bool,
}

impl ConsoleSettings {
    /// Reads and validates flags and environment variables.
    ///
    /// # Errors
    ///
    /// All problems that were found.
    pub fn read(
        options: ConsoleOptions,
        mut reader: SettingReader,
    ) -> Result<Self, Vec<SettingProblem>> {
        let cluster = reader.required("cluster", options.cluster);
        let control: Vec<SocketAddr> = reader.list("control", options.control);
        if control.is_empty() {
            reader.problem("control", "names no control instance".to_owned());
        }
        let local = SocketAddr::from(([127, 0, 0, 1], 8_090));
        let listen = reader.with_default("listen", options.listen, local);
        let operators: Option<PathBuf> = reader.required("operators", options.operators);
        let timeout = reader.millis("patience", options.patience, DEFAULT_TIMEOUT);
        let flags = SecurityFlags {
            authority: options.tls_authority,
            certificate: options.tls_certificate,
            key: options.tls_key,
        };
        let cluster: Option<ClusterId> = cluster;
        let security = cluster
            .as_ref()
            .and_then(|cluster| flags.read(&mut reader, cluster));
        let read = cluster.zip(operators).zip(security);
        let ((cluster, operators), security) = reader.finish(read)?;
        Ok(Self {
            cluster,
            control,
            listen,
            operators,
            timeout,
            security,
            secure_cookie: options.secure_cookie,
        })
    }
}
