//! Names of instances that are configured by address only.

use crate::settings::ControlSettings;
use daisyseam_model::{
    ClusterId,
    InstanceId, //
};
use daisyseam_store::{
    FolderIdentity,
    FolderOwner, //
};
use std::net::SocketAddr;

/// Returns the name of an initial voter, which all instances derive from its address alone.
pub(crate) fn address_name(address: SocketAddr) -> InstanceId {
    name(&address_text(address))
}

/// Returns a new name, made unique by a random suffix.
pub(crate) fn fresh_name(address: SocketAddr) -> InstanceId {
    let incarnation: u32 = rand::random();
    name(&format!("{}-{incarnation:08x}", address_text(address)))
}

/// Returns the identity of an instance with an empty folder.
///
/// The names of the initial voters may be used only when the whole system starts for the first
/// time. Later, an empty folder has lost what was promised under such a name.
pub(crate) fn first_identity(settings: &ControlSettings, own: SocketAddr) -> FolderIdentity {
    if settings.bootstrap && settings.seeds.contains(&own) {
        let voters = settings.seeds.iter();
        let voters = voters.map(|address| (address_name(*address), *address));
        return identity(&settings.cluster, address_name(own), voters.collect());
    }
    fresh_identity(&settings.cluster, own)
}

/// Returns the identity of a spare that waits to become a member.
pub(crate) fn fresh_identity(cluster: &ClusterId, own: SocketAddr) -> FolderIdentity {
    identity(cluster, fresh_name(own), Vec::new())
}

fn identity(
    cluster: &ClusterId,
    instance: InstanceId,
    voters: Vec<(InstanceId, SocketAddr)>,
) -> FolderIdentity {
    let cluster = cluster.clone();
    FolderIdentity {
        owner: FolderOwner { cluster, instance },
        voters,
    }
}

fn address_text(address: SocketAddr) -> String {
    let digits = |byte: char| {
        if byte.is_ascii_alphanumeric() {
            byte
        } else {
            '-'
        }
    };
    let text = address.to_string().to_lowercase();
    let text: String = text.chars().map(digits).collect();
    format!("m-{}", text.trim_matches('-'))
}

fn name(text: &str) -> InstanceId {
    InstanceId::new(text).expect("an address yields a short name of letters, digits and hyphens")
}
