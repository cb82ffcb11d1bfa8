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

/// Longest wait for control when none is stated.
const PATIENCE: Duration = Duration::from_secs(5);

/// The web console of a daisyseam fleet.
///
/// Every flag has a variable DAISYSEAM_NAME; flags go first. Exit codes: 0 stopped as asked,
/// 1 failed, 2 wrong settings.
#[derive(Clone, Debug, Default, FromArgs)]
pub struct ConsoleOptions {
    /// name of the cluster
    #[argh(option)]
    pub cluster: Option<String>,
    /// control instances, IP:PORT separated by commas
    #[argh(option)]
    pub control: Option<String>,
    /// address to serve, IP:PORT, 127.0.0.1:8090 by default
    #[argh(option)]
    pub listen: Option<String>,
    /// file of operators, a line each: name, a colon, password hash
    #[argh(option)]
    pub operators: Option<String>,
    /// longest wait for control, in milliseconds, 5000 by default
    #[argh(option)]
    pub patience: Option<String>,
    /// certificates of the fleet's authority, PEM
    #[argh(option)]
    pub tls_authority: Option<String>,
    /// the console's certificate in the role of an operator, PEM
    #[argh(option)]
    pub tls_certificate: Option<String>,
    /// key of that certificate, PEM
    #[argh(option)]
    pub tls_key: Option<String>,
    /// set the cookie for HTTPS only; for a console behind a TLS terminator
    #[argh(switch)]
    pub secure_cookie: bool,
    /// read a password from standard input, print its hash and end
    #[argh(switch)]
    pub hash_password: bool,
}

/// Checked settings of the console.
#[derive(Clone)]
pub struct ConsoleSettings {
    /// Name of the cluster.
    pub cluster: ClusterId,
    /// Control instances.
    pub control: Vec<SocketAddr>,
    /// Address to serve.
    pub listen: SocketAddr,
    /// File of operators.
    pub operators: PathBuf,
    /// Longest wait for control.
    pub patience: Duration,
    /// How connections to control are secured.
    pub security: PeerSecurity,
    /// Whether the cookie is for HTTPS only.
    pub secure_cookie: bool,
}

impl ConsoleSettings {
    /// Checks flags and variables.
    ///
    /// # Errors
    ///
    /// Every problem that was found.
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
        let patience = reader.millis("patience", options.patience, PATIENCE);
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
            patience,
            security,
            secure_cookie: options.secure_cookie,
        })
    }
}
