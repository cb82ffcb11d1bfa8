//! Control instances that know each other only by address.

#[expect(dead_code, reason = "other tests use the rest")]
mod support;

use crate::support::{
    DOCUMENT,
    cluster,
    free_addresses,
    request_leader,
    submit, //
};
use daisyseam_control::{
    ControlDaemon,
    ControlSettings, //
};
use daisyseam_wire::{
    ShowRequest,
    control_message::Body, //
};
use serde_json::Map;
use std::{
    net::SocketAddr,
    path::Path,
    time::Duration, //
};
use tempfile::TempDir;

const STOP: Duration = Duration::from_secs(10);

/// Instances with a data folder each; the first three are the seeds.
struct SeedCluster {
    folder: TempDir,
    addresses: Vec<SocketAddr>,
    daemons: Vec<Option<ControlDaemon>>,
}

impl SeedCluster {
    async fn start(count: usize) -> Self {
        let mut cluster = Self {
            folder: tempfile::tempdir().expect("a folder"),
            addresses: free_addresses(count),
            daemons: (0..count).map(|_| None).collect(),
        };
        for number in 0..count {
            cluster.run(number, true).await;
        }
        cluster
    }

    fn folder(&self, number: usize) -> std::path::PathBuf {
        self.folder.path().join(number.to_string())
    }

    fn settings(&self, number: usize, bootstrap: bool) -> ControlSettings {
        ControlSettings {
            repair_delay: Duration::from_millis(1_000),
            ..ControlSettings::from_seeds(
                cluster(),
                "khomas-1".parse().expect("a sound name"),
                self.addresses[number],
                Some("127.0.0.1:0".parse().expect("an address")),
                self.folder(number),
                self.addresses.iter().take(3).copied().collect(),
                bootstrap,
            )
        }
    }

    async fn run(&mut self, number: usize, bootstrap: bool) {
        let settings = self.settings(number, bootstrap);
        let daemon = ControlDaemon::start(settings).await.expect("it starts");
        self.daemons[number] = Some(daemon);
    }

    async fn stop(&mut self, number: usize) {
        let daemon = self.daemons[number].take().expect("it runs");
        daemon.stop(STOP).await;
    }

    /// Returns the voters according to the leader.
    fn voters(&self) -> Vec<String> {
        let running = self.daemons.iter().flatten();
        let leader = running.filter(|daemon| daemon.is_leader());
        let status = leader.map(ControlDaemon::status).next();
        let voters = status.map(|status| status["control"]["voters"].clone());
        let voters = voters.unwrap_or_default();
        let names = voters.as_object().into_iter().flat_map(Map::keys);
        names.cloned().collect()
    }

    async fn wait_for_voters(&self, what: &str, holds: impl Fn(&[String]) -> bool) -> Vec<String> {
        for _ in 0..1_000 {
            let voters = self.voters();
            if holds(&voters) {
                return voters;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        panic!("{what}: not within 20 seconds: {:?}", self.voters());
    }

    async fn document_number(&self) -> u64 {
        let show = Body::Show(ShowRequest {
            number: 0,
            linearizable: true,
        });
        match request_leader(&self.addresses, show).await.1 {
            Body::Shown(shown) => shown.number,
            other => panic!("{other:?}"),
        }
    }
}

fn name(address: SocketAddr) -> String {
    format!("m-{}", address.to_string().replace(['.', ':'], "-"))
}

fn wipe(folder: &Path) {
    std::fs::remove_dir_all(folder).expect("it is there");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn instances_that_know_addresses_only_agree_on_the_seeds_as_voters() {
    let cluster = SeedCluster::start(4).await;
    let accepted = submit(&cluster.addresses, "change-1", 0, DOCUMENT).await;
    assert!(accepted.accepted);
    let mut seeds: Vec<String> = cluster.addresses[..3].iter().copied().map(name).collect();
    seeds.sort();
    let mut voters = cluster
        .wait_for_voters("voters", |voters| voters.len() == 3)
        .await;
    voters.sort();
    assert_eq!(voters, seeds);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_restart_with_bootstrap_and_a_full_folder_keeps_everything() {
    let mut cluster = SeedCluster::start(3).await;
    let accepted = submit(&cluster.addresses, "change-1", 0, DOCUMENT).await;
    assert!(accepted.accepted);
    for number in 0..3 {
        cluster.stop(number).await;
    }
    for (number, bootstrap) in [(0, true), (1, false), (2, true)] {
        cluster.run(number, bootstrap).await;
    }
    assert_eq!(cluster.document_number().await, 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_instance_that_lost_its_folder_comes_back_under_another_name() {
    let mut cluster = SeedCluster::start(3).await;
    assert!(
        submit(&cluster.addresses, "change-1", 0, DOCUMENT)
            .await
            .accepted
    );
    let lost = name(cluster.addresses[2]);
    cluster.stop(2).await;
    wipe(&cluster.folder(2));
    cluster.run(2, false).await;
    let taken_in = |voters: &[String]| {
        let fresh = |voter: &String| voter.starts_with(&lost) && *voter != lost;
        voters.len() == 3 && voters.iter().any(fresh)
    };
    cluster.wait_for_voters("taken in", taken_in).await;
    // It counts towards the majority now: two of the three are enough.
    cluster.stop(0).await;
    assert_eq!(cluster.document_number().await, 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_member_that_was_replaced_comes_back_as_a_spare_under_another_name() {
    let mut cluster = SeedCluster::start(4).await;
    assert!(
        submit(&cluster.addresses, "change-1", 0, DOCUMENT)
            .await
            .accepted
    );
    let away = cluster.daemons[..3].iter().flatten();
    let away = away.enumerate().find(|(_, daemon)| !daemon.is_leader());
    let (away, _) = away.expect("two follow");
    let lost = name(cluster.addresses[away]);
    cluster.stop(away).await;
    let replaced = |voters: &[String]| voters.len() == 3 && !voters.contains(&lost);
    cluster.wait_for_voters("replaced", replaced).await;
    cluster.run(away, false).await;
    for _ in 0..500 {
        let status = cluster.daemons[away].as_ref().expect("it runs").status();
        if status["control"]["instance"]
            .as_str()
            .is_some_and(|me| me != lost)
        {
            assert_eq!(cluster.document_number().await, 1);
            return;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("the instance still has its former name");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_member_that_was_replaced_and_serves_no_pages_can_be_taken_in_again() {
    let mut cluster = SeedCluster::start(4).await;
    let accepted = submit(&cluster.addresses, "change-1", 0, DOCUMENT).await;
    assert!(accepted.accepted);
    let followers = cluster.daemons[..3].iter().flatten().enumerate();
    let followers: Vec<usize> = followers
        .filter(|(_, daemon)| !daemon.is_leader())
        .map(|(number, _)| number)
        .collect();
    let (away, next) = (followers[0], followers[1]);
    let lost = name(cluster.addresses[away]);
    cluster.stop(away).await;
    let replaced = |voters: &[String]| voters.len() == 3 && !voters.contains(&lost);
    cluster.wait_for_voters("replaced", replaced).await;
    let settings = ControlSettings {
        http_listen: None,
        ..cluster.settings(away, false)
    };
    let daemon = ControlDaemon::start(settings).await.expect("it starts");
    cluster.daemons[away] = Some(daemon);
    cluster.stop(next).await;
    let taken_in = |voters: &[String]| {
        let fresh = |voter: &String| voter.starts_with(&lost) && *voter != lost;
        voters.len() == 3 && voters.iter().any(fresh)
    };
    cluster.wait_for_voters("taken in again", taken_in).await;
}
