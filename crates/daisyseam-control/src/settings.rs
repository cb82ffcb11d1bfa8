//! Settings of the control daemon.

use crate::identity::address_name;
use argh::FromArgs;
use daisyseam_coord::{
    log::LogSettings,
    promotion::PromotionSettings,
    usage::UsageSettings,
    view_lease::LeaseSettings, //
};
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
use daisyseam_wire::PeerSecurity;
use std::{
    net::{
        IpAddr,
        SocketAddr, //
    },
    path::PathBuf,
    str::FromStr,
    time::Duration, //
};

/// Default deadline for a graceful stop.
const DEFAULT_STOP_DEADLINE: Duration = Duration::from_secs(10);

/// Default time without a response after which a spare replaces a member.
pub const REPAIR_DELAY: Duration = Duration::from_secs(5);

/// Same as [`REPAIR_DELAY`], but for an instance that starts from seeds.
const SEED_REPAIR_DELAY: Duration = Duration::from_secs(2);

/// Validated settings.
#[derive(Clone, Debug)]
pub struct ControlSettings {
    /// Cluster that the instance belongs to.
    pub cluster: ClusterId,
    /// Name of the instance.
    pub instance: InstanceId,
    /// Data centre of the instance.
    pub data_centre: DataCentreId,
    /// Address that entries, operators and other members connect to.
    pub listen: SocketAddr,
    /// Address under which others reach the instance, if it is not `listen`.
    pub advertise: Option<SocketAddr>,
    /// Address of the health pages; `None` to serve no pages.
    pub http_listen: Option<SocketAddr>,
    /// Folder of the durable state.
    pub data_folder: PathBuf,
    /// The initial voters with their addresses, including this instance unless it is a spare.
    pub members: Vec<(InstanceId, SocketAddr)>,
    /// Whether the instance is a spare that waits to replace a lost member.
    pub spare: bool,
    /// Addresses of some control instances.
    ///
    /// If there are any, names are derived from addresses, and `instance`, `members` and `spare`
    /// are ignored.
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole system starts for the first time, with `seeds` as its voters.
    pub bootstrap: bool,
    /// Time without a response after which a spare replaces a member.
    pub repair_delay: Duration,
    /// Number of data folders that may be lost at once without losing decisions.
    pub tolerated_losses: usize,
    /// Source address of outgoing connections.
    pub source: Option<IpAddr>,
    /// Address that metrics are sent to.
    pub metrics: Option<SocketAddr>,
    /// Settings of usage reports; `None` if requests are not counted.
    pub usage: Option<UsageSettings>,
    /// Timing and sizes.
    pub tuning: ControlTuning,
}

/// Timing and sizes, which depend on the network delay between the members.
#[derive(Clone, Debug, Default)]
pub struct ControlTuning {
    /// Settings of the replicated log.
    pub log: LogSettings,
    /// Settings of the leases on views.
    pub lease: LeaseSettings,
    /// Settings of primary changes.
    pub promotion: PromotionSettings,
    /// Bytes of applied entries after which a snapshot is taken; `None` for the default.
    pub snapshot_bytes: Option<usize>,
}

/// Duration of a lease on the view if the members are in several regions: it outlasts a change
/// of the leader.
const WIDE_AREA_LEASE_DURATION: Duration = Duration::from_millis(2_000);

impl ControlSettings {
    /// Returns the settings of an instance that knows other members only by address, with timing
    /// for several regions; a spare replaces a member after two seconds without a response.
    pub fn from_seeds(
        cluster: ClusterId,
        data_centre: DataCentreId,
        listen: SocketAddr,
        http_listen: Option<SocketAddr>,
        data_folder: PathBuf,
        seeds: Vec<SocketAddr>,
        bootstrap: bool,
    ) -> Self {
        Self {
            cluster,
            instance: address_name(listen),
            data_centre,
            listen,
            advertise: None,
            http_listen,
            data_folder,
            members: Vec::new(),
            spare: false,
            seeds,
            bootstrap,
            repair_delay: SEED_REPAIR_DELAY,
            tolerated_losses: 0,
            source: None,
            metrics: None,
            usage: None,
            tuning: ControlTuning::wide_area(),
        }
    }
}

impl ControlTuning {
    /// Returns the tuning for members in several regions, between which traffic is costly.
    pub fn wide_area() -> Self {
        Self {
            log: LogSettings::wide_area(),
            lease: LeaseSettings {
                duration: WIDE_AREA_LEASE_DURATION,
                ..LeaseSettings::default()
            },
            snapshot_bytes: Some(2 << 20),
            ..Self::default()
        }
    }
}

/// the control daemon of a daisyseam fleet; each flag --x-y has the variable DAISYSEAM_X_Y
#[derive(Clone, Debug, Default, FromArgs)]
pub struct ControlFlags {
    /// name of the cluster
    #[argh(option)]
    pub cluster: Option<String>,
    /// name of this instance
    #[argh(option)]
    pub instance: Option<String>,
    /// data centre of this instance
    #[argh(option)]
    pub data_centre: Option<String>,
    /// address to listen on, 127.0.0.1:7000
    #[argh(option)]
    pub listen: Option<String>,
    /// address under which others reach this instance
    #[argh(option)]
    pub advertise: Option<String>,
    /// address of the health pages
    #[argh(option)]
    pub http_listen: Option<String>,
    /// folder of the durable state
    #[argh(option)]
    pub data_folder: Option<String>,
    /// initial members, as name=address separated by commas
    #[argh(option)]
    pub members: Option<String>,
    /// wait to replace a lost member
    #[argh(switch)]
    pub spare: bool,
    /// data folders that may be lost at once (n, default 0): spares become voters up to 2n + 1
    #[argh(option)]
    pub tolerated_losses: Option<String>,
    /// source address of outgoing connections
    #[argh(option)]
    pub source: Option<String>,
    /// address that metrics are sent to
    #[argh(option)]
    pub metrics: Option<String>,
    /// certificates of the authority that signs the fleet's, in PEM
    #[argh(option)]
    pub tls_authority: Option<String>,
    /// this instance's certificate and its chain, in PEM
    #[argh(option)]
    pub tls_certificate: Option<String>,
    /// key of that certificate, in PEM
    #[argh(option)]
    pub tls_key: Option<String>,
    /// deadline of a graceful stop in milliseconds
    #[argh(option)]
    pub stop_deadline_ms: Option<String>,
}

impl ControlFlags {
    /// Reads the settings, the security of connections and the deadline for a graceful stop.
    ///
    /// # Errors
    ///
    /// All problems of the settings.
    pub fn read(
        self,
        mut reader: SettingReader,
    ) -> Result<(ControlSettings, PeerSecurity, Duration), Vec<SettingProblem>> {
        let cluster = reader.required("cluster", self.cluster);
        let instance = reader.required("instance", self.instance);
        let data_centre = reader.required("data-centre", self.data_centre);
        let listen = reader.required("listen", self.listen);
        let advertise = reader.optional("advertise", self.advertise);
        let http_listen = reader.required("http-listen", self.http_listen);
        let data_folder = reader.required("data-folder", self.data_folder);
        let members: Vec<MemberSetting> = reader.list("members", self.members);
        let spare = self.spare || reader.with_default("spare", None, false);
        let tolerated_losses = reader.with_default("tolerated-losses", self.tolerated_losses, 0);
        let source = reader.optional("source", self.source);
        let metrics = reader.optional("metrics", self.metrics);
        let deadline = reader.millis(
            "stop-deadline-ms",
            self.stop_deadline_ms,
            DEFAULT_STOP_DEADLINE,
        );
        if members.is_empty() {
            reader.problem("members", "names no member".to_owned());
        }
        let named = members
            .iter()
            .any(|member| Some(&member.name) == instance.as_ref());
        if instance.is_some() && named == spare {
            let message = if spare {
                "names this instance although it is a spare"
            } else {
                "does not name this instance"
            };
            reader.problem("members", message.to_owned());
        }
        let files = SecurityFlags {
            authority: self.tls_authority,
            certificate: self.tls_certificate,
            key: self.tls_key,
        };
        let security = cluster
            .as_ref()
            .and_then(|cluster| files.read(&mut reader, cluster));
        let settings = || {
            Some(ControlSettings {
                cluster: cluster?,
                instance: instance?,
                data_centre: data_centre?,
                listen: listen?,
                advertise,
                http_listen: Some(http_listen?),
                data_folder: data_folder?,
                members: members
                    .into_iter()
                    .map(|member| (member.name, member.address))
                    .collect(),
                spare,
                seeds: Vec::new(),
                bootstrap: false,
                repair_delay: REPAIR_DELAY,
                tolerated_losses,
                source,
                metrics,
                usage: None,
                tuning: ControlTuning::default(),
            })
        };
        let settings = settings().zip(security);
        let (settings, security) = reader.finish(settings)?;
        Ok((settings, security, deadline))
    }
}

/// One item of `--members`.
#[derive(Clone, Debug)]
struct MemberSetting {
    name: InstanceId,
    address: SocketAddr,
}

impl FromStr for MemberSetting {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let parts = text.split_once('=');
        let (name, address) = parts.ok_or_else(|| format!("`{text}` is not name=address"))?;
        Ok(Self {
            name: name.parse().map_err(|error| format!("{error}"))?,
            address: address
                .parse()
                .map_err(|error| format!("`{address}`: {error}"))?,
        })
    }
}
