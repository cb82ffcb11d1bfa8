//! Settings of the entry daemon, from flags and environment variables.

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

/// Default ports.
const CALLER_PORT: u16 = 6_432;
const PEER_PORT: u16 = 6_433;
const HTTP_PORT: u16 = 6_434;

/// Settings of an entry daemon.
#[derive(Clone, Debug)]
pub struct EntrySettings {
    /// Cluster of the instance.
    pub cluster: ClusterId,
    /// Name of the instance.
    pub instance: InstanceId,
    /// Data centre of the instance.
    pub data_centre: DataCentreId,
    /// Listen address for callers.
    pub caller_listen: SocketAddr,
    /// Listen address for other entry instances.
    pub peer_listen: SocketAddr,
    /// Address advertised to other instances, if it differs from the listen address.
    pub peer_advertise: Option<SocketAddr>,
    /// Listen address for health pages and announcements.
    pub http_listen: SocketAddr,
    /// Addresses of the control instances.
    pub control: Vec<SocketAddr>,
    /// Source address of outgoing connections.
    pub source: Option<IpAddr>,
    /// User name for the databases.
    pub upstream_user: String,
    /// Password for the databases.
    pub upstream_password: String,
    /// Address to send metrics to.
    pub metrics: Option<SocketAddr>,
    /// File to append spans to.
    pub spans: Option<PathBuf>,
}

/// The entry daemon of daisyseam, which serves PostgreSQL clients and proxies to databases.
///
/// Each flag can also be set by an environment variable, such as `DAISYSEAM_HTTP_LISTEN` for
/// `--http-listen`; flags take precedence. Addresses are an IP address and a port. Exit codes:
/// 0 stopped on request, 1 run-time failure, 2 invalid setting, 3 the graceful stop exceeded its
/// deadline.
#[derive(Clone, Debug, Default, FromArgs)]
pub struct EntryArguments {
    /// cluster of this instance
    #[argh(option)]
    pub cluster: Option<String>,
    /// name of this instance, unique in the cluster
    #[argh(option)]
    pub instance: Option<String>,
    /// data centre of this instance
    #[argh(option)]
    pub data_centre: Option<String>,
    /// listen address for callers [0.0.0.0:6432]
    #[argh(option)]
    pub caller_listen: Option<String>,
    /// listen address for other entry instances [0.0.0.0:6433]
    #[argh(option)]
    pub peer_listen: Option<String>,
    /// address advertised to other instances, required if the listen address is 0.0.0.0
    #[argh(option)]
    pub peer_advertise: Option<String>,
    /// listen address for /live, /ready, /status and /announce [0.0.0.0:6434]
    #[argh(option)]
    pub http_listen: Option<String>,
    /// addresses of the control instances, separated by commas
    #[argh(option)]
    pub control: Option<String>,
    /// source IP address of outgoing connections
    #[argh(option)]
    pub source: Option<String>,
    /// user name for the databases [daisyseam]
    #[argh(option)]
    pub upstream_user: Option<String>,
    /// password for the databases; preferably set by DAISYSEAM_UPSTREAM_PASSWORD
    #[argh(option)]
    pub upstream_password: Option<String>,
    /// address to send StatsD metrics to
    #[argh(option)]
    pub metrics: Option<String>,
    /// file to append spans to, as OTLP in JSON lines
    #[argh(option)]
    pub spans: Option<String>,
    /// PEM file of the certificate authority of the fleet
    #[argh(option)]
    pub tls_authority: Option<String>,
    /// PEM file of this instance's certificate
    #[argh(option)]
    pub tls_certificate: Option<String>,
    /// PEM file of the private key of this instance's certificate
    #[argh(option)]
    pub tls_key: Option<String>,
    /// PEM file of the server certificate for callers
    #[argh(option)]
    pub caller_certificate: Option<String>,
    /// PEM file of the private key of the server certificate for callers
    #[argh(option)]
    pub caller_key: Option<String>,
    /// log level: error, warn, info, debug or trace [info]
    #[argh(option)]
    pub log_level: Option<String>,
    /// log file [standard error]
    #[argh(option)]
    pub log_file: Option<String>,
    /// worker threads [1]
    #[argh(option)]
    pub threads: Option<String>,
    /// time limit of a graceful stop, in milliseconds [10000]
    #[argh(option)]
    pub stop_ms: Option<String>,
}

impl EntrySettings {
    /// Reads the settings from flags and environment variables and records every problem.
    pub fn read(arguments: EntryArguments, reader: &mut SettingReader) -> Option<Self> {
        let cluster = reader.required("cluster", arguments.cluster);
        let instance = reader.required("instance", arguments.instance);
        let data_centre = reader.required("data-centre", arguments.data_centre);
        let caller = any_address(CALLER_PORT);
        let caller_listen = reader.with_default("caller-listen", arguments.caller_listen, caller);
        let peer = any_address(PEER_PORT);
        let peer_listen_text: Option<String> =
            reader.optional("peer-listen", arguments.peer_listen);
        let parses = |text: &String| text.parse::<SocketAddr>().is_ok();
        let peer_listen_valid = peer_listen_text.as_ref().is_none_or(parses);
        let peer_listen = reader.with_default("peer-listen", peer_listen_text, peer);
        let peer_advertise = reader.optional("peer-advertise", arguments.peer_advertise);
        let http = any_address(HTTP_PORT);
        let http_listen = reader.with_default("http-listen", arguments.http_listen, http);
        let control: Vec<SocketAddr> = reader.list("control", arguments.control);
        if control.is_empty() {
            reader.problem("control", "names no control instance".to_owned());
        }
        if peer_listen_valid && peer_advertise.is_none() && peer_listen.ip().is_unspecified() {
            let detail = "is required, since peers cannot connect to an unspecified address";
            reader.problem("peer-advertise", detail.to_owned());
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

    /// Reads the settings without those of the process.
    ///
    /// # Errors
    ///
    /// All problems found.
    pub fn from_arguments(
        arguments: EntryArguments,
        mut reader: SettingReader,
    ) -> Result<Self, Vec<SettingProblem>> {
        let settings = Self::read(arguments, &mut reader);
        reader.finish(settings)
    }
}

impl EntrySecurity {
    /// Reads the files named in the settings and records every problem.
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
        let certificate_text = arguments.caller_certificate.clone();
        let certificate: Option<PathBuf> = reader.optional("caller-certificate", certificate_text);
        let key: Option<PathBuf> = reader.optional("caller-key", arguments.caller_key.clone());
        let callers = match (certificate, key) {
            (None, None) => None,
            (Some(certificate), Some(key)) => {
                let read = CallerCertificate::read(certificate, key)
                    .map_err(|error| reader.problem("caller-certificate", error.to_string()));
                Some(read.ok()?)
            }
            _ => {
                let detail = "must be set together with --caller-key";
                reader.problem("caller-certificate", detail.to_owned());
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
