//! The two firms: their places, delays and documents with settable rates.

use crate::{
    experiment::ExperimentError,
    fleet::{
        FleetPlan,
        TestFleet,
        example_key, //
    },
    load::CallerTarget, //
};
use sha2::{
    Digest,
    Sha256, //
};
use std::{
    fmt::Write,
    net::SocketAddr,
    time::Duration, //
};
use tokio::time::Instant;

/// Time for a fleet to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Service of every document made here.
pub(super) const SERVICE: &str = "records";
/// Group behind it.
pub(super) const GROUP: &str = "records-db";

/// Which firm a fleet is laid out for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DeploymentShape {
    /// Kalahari Shellrest Systems.
    Shellrest,
    /// Brandvold & Sons.
    Brandvold,
}

impl DeploymentShape {
    /// Reads the name of a shape.
    pub fn parse(name: &str) -> Option<Self> {
        match name {
            "shellrest" => Some(Self::Shellrest),
            "brandvold" => Some(Self::Brandvold),
            _ => None,
        }
    }

    fn plan(self) -> FleetPlan {
        match self {
            Self::Shellrest => FleetPlan::shellrest(),
            Self::Brandvold => FleetPlan::brandvold(),
        }
    }

    fn places(self) -> [&'static str; 3] {
        match self {
            Self::Shellrest => ["khomas", "erongo", "otjozondjupa"],
            Self::Brandvold => ["saskatoon", "winnipeg", "calgary"],
        }
    }
}

/// An organisation of a document.
#[derive(Clone, Debug)]
pub(super) struct RatedOrganisation {
    pub(super) name: String,
    pub(super) rate: f64,
    pub(super) burst: f64,
}

/// Names organisations alike and gives each the same rate.
pub(super) fn equal_organisations(count: usize, rate: f64, burst: f64) -> Vec<RatedOrganisation> {
    let named = (1..=count).map(|number| RatedOrganisation {
        name: format!("organisation-{number}"),
        rate,
        burst,
    });
    named.collect()
}

/// Plans a fleet with one group and stated organisations.
pub(super) fn plan(
    shape: DeploymentShape,
    organisations: &[RatedOrganisation],
    queue_timeout: Duration,
    seed: u64,
) -> FleetPlan {
    let mut plan = shape.plan();
    plan.text = document(shape, organisations, queue_timeout);
    plan.seed = seed;
    plan
}

/// Starts a fleet and waits until it serves.
pub(super) async fn start(plan: FleetPlan) -> Result<TestFleet, ExperimentError> {
    let deadline = Instant::now() + READY_TIMEOUT;
    let fleet = TestFleet::start_ready(plan, deadline).await;
    fleet.map_err(ExperimentError::of)
}

/// Returns how an organisation reaches an address.
pub(super) fn target(address: SocketAddr, organisation: &str) -> CallerTarget {
    CallerTarget {
        address,
        user: organisation.to_owned(),
        password: example_key(organisation),
        service: SERVICE.to_owned(),
    }
}

fn document(
    shape: DeploymentShape,
    organisations: &[RatedOrganisation],
    queue_timeout: Duration,
) -> String {
    let mut text = String::from("number = 1\ncluster = \"bench\"\n\n[limits]\n");
    let millis = queue_timeout.as_millis();
    let _ = writeln!(text, "queue_timeout_ms = {millis}\n");
    for place in shape.places() {
        let _ = writeln!(text, "[[region]]\nname = \"{place}\"\n");
        let _ = writeln!(text, "[[data_centre]]\nname = \"{place}-1\"");
        let _ = writeln!(text, "region = \"{place}\"\nstate = \"active\"\n");
    }
    let _ = writeln!(
        text,
        "[[group]]\nname = \"{GROUP}\"\ndatabases = 3\nslots = 5\n"
    );
    let _ = writeln!(
        text,
        "[[service]]\nname = \"{SERVICE}\"\ngroup = \"{GROUP}\"\n"
    );
    for organisation in organisations {
        let RatedOrganisation { name, rate, burst } = organisation;
        let hash = hex::encode(Sha256::digest(example_key(name).as_bytes()));
        let _ = writeln!(
            text,
            "[[organisation]]\nname = \"{name}\"\nrate = {rate:?}\nburst = {burst:?}\n\n\
             [[organisation.key]]\nhash = \"sha256:{hash}\"\n"
        );
    }
    text
}
