//! What an entry daemon is started with.

use crate::security::{
    CallerCertificate,
    EntrySecurity, //
};
use argh::FromArgs;
use daisyseam_model::{
    ClusterId,
    DataCentreId,
    InstanceId, //
};
use daisyseam_runtime::{
    SecurityFlags,
    SettingProblem,
    SettingReader, //
};
use std::{
    net::{
        IpAddr,
        Ipv4Addr,
        SocketAddr, //
    },
    path::PathBuf, //
};

/// Ports that are used when none is given.
const CALLER_PORT: u16 = 6_432;
const PEER_PORT: u16 = 6_433;
const HTTP_PORT: u16 = 6_434;

/// Settings of one entry daemon.
#[derive(Clone, Debug)]
pub struct EntrySettings {
    /// Cluster it belongs to.
    pub cluster: ClusterId,
    /// Its name.
    pub instance: InstanceId,
    /// Data centre it runs in.
    pub data_centre: DataCentreId,
    /// Address for callers.
    pub caller_listen: SocketAddr,
    /// Address for other entry instances.
    pub peer_listen: SocketAddr,
    /// Address that other instances are told, if it differs from the one listened on.
    pub peer_advertise: Option<SocketAddr>,
    /// Address for health pages and announcements.
    pub http_listen: SocketAddr,
    /// Control instances.
    pub control: Vec<SocketAddr>,
    /// Address that outgoing connections start from.
    pub source: Option<IpAddr>,
    /// User at the databases.
    pub upstream_user: String,
    /// Password at the databases.
    pub upstream_password: String,
    /// Address that metrics are sent to.
    pub metrics: Option<SocketAddr>,
    /// File that spans are appended to.
    pub spans: Option<PathBuf>,
}

/// The entry daemon of daisyseam: it speaks PostgreSQL to callers and reaches databases for them.
///
/// Each flag may be given as a variable instead, `--http-listen` as `DAISYSEAM_HTTP_LISTEN`; a
/// flag goes first. Addresses are IP numbers with a port. Exit codes: 0 stopped as asked, 1 failed
/// while running, 2 a setting is not valid, 3 the graceful stop was cut short by its deadline.
#[derive(Clone, Debug, Default, FromArgs)]
pub struct EntryArguments {
    /// cluster it belongs to
    #[argh(option)]
    pub cluster: Option<String>,
    /// name of this instance, unique in the cluster
    #[argh(option)]
    pub instance: Option<String>,
    /// data centre it runs in
    #[argh(option)]
    pub data_centre: Option<String>,
    /// address for callers [0.0.0.0:6432]
    #[argh(option)]
    pub caller_listen: Option<String>,
    /// address for other entry instances [0.0.0.0:6433]
    #[argh(option)]
    pub peer_listen: Option<String>,
    /// address that other instances are told, needed if the one listened on is 0.0.0.0
    #[argh(option)]
    pub peer_advertise: Option<String>,
    /// address for /live, /ready, /status and /announce [0.0.0.0:6434]
    #[argh(option)]
    pub http_listen: Option<String>,
    /// addresses of the control instances, separated by commas
    #[argh(option)]
    pub control: Option<String>,
    /// IP number that outgoing connections start from
    #[argh(option)]
    pub source: Option<String>,
    /// user at the databases [daisyseam]
    #[argh(option)]
    pub upstream_user: Option<String>,
    /// password at the databases; better given as DAISYSEAM_UPSTREAM_PASSWORD
    #[argh(option)]
    pub upstream_password: Option<String>,
    /// address that StatsD metrics are sent to
    #[argh(option)]
    pub metrics: Option<String>,
    /// file that spans are appended to, as OTLP in JSON lines
    #[argh(option)]
    pub spans: Option<String>,
    /// PEM file of the authority that signs the fleet's certificates
    #[argh(option)]
    pub tls_authority: Option<String>,
    /// PEM file of this instance's certificate
    #[argh(option)]
    pub tls_certificate: Option<String>,
    /// PEM file of that certificate's key
    #[argh(option)]
    pub tls_key: Option<String>,
    /// PEM file of the certificate that callers are shown
    #[argh(option)]
    pub caller_certificate: Option<String>,
    /// PEM file of that certificate's key
    #[argh(option)]
    pub caller_key: Option<String>,
    /// log level: error, warn, info, debug or trace [info]
    #[argh(option)]
    pub log_level: Option<String>,
    /// file for logs [standard error]
    #[argh(option)]
    pub log_file: Option<String>,
    /// worker threads [1]
    #[argh(option)]
    pub threads: Option<String>,
    /// longest graceful stop, in milliseconds [10000]
    #[argh(option)]
    pub stop_ms: Option<String>,
}

impl EntrySettings {
    /// Reads the settings from flags and variables and notes every problem.
    pub fn read(arguments: EntryArguments, reader: &mut SettingReader) -> Option<Self> {
        let cluster = reader.required("cluster", arguments.cluster);
        let instance = reader.required("instance", arguments.instance);
        let data_centre = reader.required("data-centre", arguments.data_centre);
        let caller = any_address(CALLER_PORT);
        let caller_listen = reader.with_default("caller-listen", arguments.caller_listen, caller);
        let peer = any_address(PEER_PORT);
        let given: Option<String> = reader.optional("peer-listen", arguments.peer_listen);
        let readable = |text: &String| text.parse::<SocketAddr>().is_ok();
        let understood = given.as_ref().is_none_or(readable);
        let peer_listen = reader.with_default("peer-listen", given, peer);
        let peer_advertise = reader.optional("peer-advertise", arguments.peer_advertise);
        let http = any_address(HTTP_PORT);
        let http_listen = reader.with_default("http-listen", arguments.http_listen, http);
        let control: Vec<SocketAddr> = reader.list("control", arguments.control);
        if control.is_empty() {
            reader.problem("control", "names no control instance".to_owned());
        }
        if understood && peer_advertise.is_none() && peer_listen.ip().is_unspecified() {
            let words = "is needed, since peers cannot connect to an unspecified address";
            reader.problem("peer-advertise", words.to_owned());
        }
        let source = reader.optional("source", arguments.source);
        let user = "daisyseam".to_owned();
        let upstream_user = reader.with_default("upstream-user", arguments.upstream_user, user);
        let upstream_password = reader.optional("upstream-password", arguments.upstream_password);
        let metrics = reader.optional("metrics", arguments.metrics);
        let spans = reader.optional("spans", arguments.spans);
        Some(Self {
            cluster: cluster?,
            instance: instance?,
            data_centre: data_centre?,
            caller_listen,
            peer_listen,
            peer_advertise,
            http_listen,
            control,
            source,
            upstream_user,
            upstream_password: upstream_password.unwrap_or_default(),
            metrics,
            spans,
        })
    }

    /// Reads the settings on their own.
    ///
    /// # Errors
    ///
    /// Every problem that was found.
    pub fn from_arguments(
        arguments: EntryArguments,
        mut reader: SettingReader,
    ) -> Result<Self, Vec<SettingProblem>> {
        let settings = Self::read(arguments, &mut reader);
        reader.finish(settings)
    }
}

impl EntrySecurity {
    /// Reads the files that the settings name and notes every problem.
    pub fn read_settings(
        arguments: &EntryArguments,
        cluster: &ClusterId,
        reader: &mut SettingReader,
    ) -> Option<Self> {
        let flags = SecurityFlags {
            authority: arguments.tls_authority.clone(),
            certificate: arguments.tls_certificate.clone(),
            key: arguments.tls_key.clone(),
        };
        let peers = flags.read(reader, cluster);
        let given = arguments.caller_certificate.clone();
        let certificate: Option<PathBuf> = reader.optional("caller-certificate", given);
        let key: Option<PathBuf> = reader.optional("caller-key", arguments.caller_key.clone());
        let callers = match (certificate, key) {
            (None, None) => None,
            (Some(certificate), Some(key)) => {
                let read = CallerCertificate::read(certificate, key)
                    .map_err(|error| reader.problem("caller-certificate", error.to_string()));
                Some(read.ok()?)
            }
            _ => {
                let words = "is given together with --caller-key, or not at all";
                reader.problem("caller-certificate", words.to_owned());
                None
            }
        };
        Some(Self {
            peers: peers?,
            callers,
        })
    }
}

fn any_address(port: u16) -> SocketAddr {
    SocketAddr::new(Ipv4Addr::UNSPECIFIED.into(), port)
}
