//! Settings of the daemon.

use crate::identity::address_name;
use argh::FromArgs;
use daisyseam_coord::{
    log::LogSettings,
    promotion::PromotionSettings,
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

/// Deadline of a graceful stop if none is set.
const DEFAULT_STOP_DEADLINE: Duration = Duration::from_secs(10);

/// Silence of a member before a spare replaces it, if none is set.
pub const REPAIR_DELAY: Duration = Duration::from_secs(5);

/// The same for an instance that starts from seeds.
const SEED_REPAIR_DELAY: Duration = Duration::from_secs(2);

/// Checked settings.
#[derive(Clone, Debug)]
pub struct ControlSettings {
    /// Cluster that the instance belongs to.
    pub cluster: ClusterId,
    /// Its name.
    pub instance: InstanceId,
    /// Data centre it runs in.
    pub data_centre: DataCentreId,
    /// Address on which entries, operators and other members are answered.
    pub listen: SocketAddr,
    /// Address under which others reach it, if it is another one.
    pub advertise: Option<SocketAddr>,
    /// Address of the health pages; none for no pages.
    pub http_listen: Option<SocketAddr>,
    /// Folder of the durable state.
    pub data_folder: PathBuf,
    /// The first voters with their addresses, this one included unless it is a spare.
    pub members: Vec<(InstanceId, SocketAddr)>,
    /// Whether it waits to replace a lost member.
    pub spare: bool,
    /// Addresses of some control instances; with any, names come from addresses, and `instance`,
    /// `members` and `spare` are not looked at.
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole system starts for the first time, with `seeds` as its voters.
    pub bootstrap: bool,
    /// Silence of a member before a spare replaces it.
    pub repair_delay: Duration,
    /// Folders that may be lost at once without loss of what was decided.
    pub tolerated_losses: usize,
    /// Address that outgoing connections start from.
    pub source: Option<IpAddr>,
    /// Address that metrics are sent to.
    pub metrics: Option<SocketAddr>,
    /// Times and sizes.
    pub tuning: ControlTuning,
}

/// Times and sizes that fit the distances between the members.
#[derive(Clone, Debug, Default)]
pub struct ControlTuning {
    /// Of the replicated log.
    pub log: LogSettings,
    /// Of the leases on views.
    pub lease: LeaseSettings,
    /// Of changes of primaries.
    pub promotion: PromotionSettings,
    /// Bytes of applied entries after which a snapshot is made, if not as many as by default.
    pub snapshot_bytes: Option<usize>,
}

/// Time that a lease on the view holds where members lie in several areas: it outlasts the change
/// of a leader.
const WIDE_AREA_LEASE_DURATION: Duration = Duration::from_millis(2_000);

impl ControlSettings {
    /// Returns the settings of an instance that knows others by their addresses only, in several
    /// areas; a spare replaces a member that was silent for two seconds.
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
            tuning: ControlTuning::wide_area(),
        }
    }
}

impl ControlTuning {
    /// Returns times for members in several areas that pay for each message.
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
    /// first members, name=address separated by commas
    #[argh(option)]
    pub members: Option<String>,
    /// wait to replace a lost member
    #[argh(switch)]
    pub spare: bool,
    /// folders that may be lost at once, 0: spares become voters until there are twice as many and one
    #[argh(option)]
    pub tolerated_losses: Option<String>,
    /// address that outgoing connections start from
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
    /// Reads the settings, how connections are secured, and the deadline of a graceful stop.
    ///
    /// # Errors
    ///
    /// Every problem at once.
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
                tuning: ControlTuning::default(),
            })
        };
        let settings = settings().zip(security);
        let (settings, security) = reader.finish(settings)?;
        Ok((settings, security, deadline))
    }
}

/// One part of `--members`.
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
