//! What a fleet is made of.

use super::{
    FleetError,
    NetworkDelays,
    NetworkSite, //
};
use daisyseam_model::{
    DataCentreId,
    document::Document, //
};
use std::{
    ops::RangeInclusive,
    time::Duration, //
};

/// Sizes, delays and the document of a fleet.
#[derive(Clone, Debug)]
pub struct FleetPlan {
    /// Text of the document.
    pub text: String,
    /// Entry instances, dealt to the data centres in turn.
    pub entries: usize,
    /// Control instances, dealt to the data centres in turn.
    pub controls: usize,
    /// One-way delays.
    pub delays: NetworkDelays,
    /// Connections that each database admits.
    pub connections: usize,
    /// Time that a database takes to open a connection.
    pub open_delay: Duration,
    /// Time that a database takes for a statement.
    pub service_time: Duration,
    /// Bounds of the replicas' lag.
    pub lag: RangeInclusive<Duration>,
    /// Worker threads of an entry instance.
    pub entry_threads: usize,
    /// Worker threads of a database.
    pub database_threads: usize,
    /// Worker threads that carry the network.
    pub network_threads: usize,
    /// Whether databases record the bytes they receive.
    pub records_bytes: bool,
    /// Seed of all random draws.
    pub seed: u64,
}

impl FleetPlan {
    /// Plans a fleet of 6 entries and 3 control instances at the brief's delays.
    pub fn new(text: &str) -> Self {
        Self {
            text: text.to_owned(),
            entries: 6,
            controls: 3,
            delays: NetworkDelays {
                in_region: Duration::from_millis(1),
                between_regions: Duration::from_millis(20),
                client: Duration::from_millis(1),
            },
            connections: 30,
            open_delay: Duration::from_millis(10),
            service_time: Duration::from_millis(1),
            lag: Duration::from_millis(50)..=Duration::from_millis(500),
            entry_threads: 1,
            database_threads: 1,
            network_threads: 2,
            records_bytes: false,
            seed: 1,
        }
    }

    /// Plans the fleet of `examples/shellrest.toml`.
    pub fn shellrest() -> Self {
        Self::new(include_str!("../../../../examples/shellrest.toml"))
    }

    /// Plans the fleet of `examples/brandvold.toml`.
    pub fn brandvold() -> Self {
        let mut plan = Self::new(include_str!("../../../../examples/brandvold.toml"));
        plan.delays.between_regions = Duration::from_millis(10);
        plan.connections = 50;
        plan
    }

    /// Makes the network and the databases fast, for tests that look at something else.
    pub fn without_delays(mut self) -> Self {
        self.delays = NetworkDelays {
            in_region: Duration::ZERO,
            between_regions: Duration::ZERO,
            client: Duration::ZERO,
        };
        self.open_delay = Duration::ZERO;
        self.service_time = Duration::ZERO;
        self.lag = Duration::ZERO..=Duration::ZERO;
        self
    }

    /// Reads the document.
    ///
    /// # Errors
    ///
    /// Every problem, when it is not valid.
    pub fn document(&self) -> Result<Document, FleetError> {
        Document::parse(&self.text).map_err(|problems| {
            let words: Vec<_> = problems
                .iter()
                .map(|problem| problem.message.clone())
                .collect();
            FleetError::Document(words.join("; "))
        })
    }

    /// Places the data centres of a document.
    pub(super) fn sites(&self, document: &Document) -> Vec<NetworkSite> {
        let regions: Vec<_> = document.regions.keys().collect();
        document
            .data_centres
            .iter()
            .map(|(name, entry)| NetworkSite {
                name: name.clone(),
                region: regions
                    .iter()
                    .position(|region| **region == entry.region)
                    .unwrap_or_default(),
            })
            .collect()
    }
}

/// Returns a document's text with another number, and one data centre out or all in service.
///
/// # Panics
///
/// When the text is not laid out as the example documents are.
pub fn next_document(text: &str, from: u64, out: Option<&DataCentreId>) -> String {
    let number = format!("number = {from}\n");
    assert!(text.contains(&number), "the document has the number {from}");
    let text = text.replacen(&number, &format!("number = {}\n", from + 1), 1);
    let text = text.replace("state = \"out\"", "state = \"active\"");
    let Some(out) = out else { return text };
    let start = text.find(&format!("name = \"{out}\""));
    let start = start.expect("the data centre is in the document");
    let (before, after) = text.split_at(start);
    format!(
        "{before}{}",
        after.replacen("state = \"active\"", "state = \"out\"", 1)
    )
}

/// Returns the key of an organisation of the example documents.
pub fn example_key(organisation: &str) -> String {
    format!("example-key-{organisation}")
}
