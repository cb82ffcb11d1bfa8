//! A whole fleet in one process, on loopback: data centres, control, entries, databases.

mod network;
mod node;
mod plan;

pub use self::{
    network::{
        FleetNetwork,
        NetworkDelays,
        NetworkSite,
        PortForwarder, //
    },
    node::{
        CONTROL_THREAD,
        ControlNode,
        DatabaseNode,
        ENTRY_THREAD,
        EntryNode, //
    },
    plan::{
        FleetPlan,
        example_key,
        next_document, //
    }, //
};
use crate::standin::StandInError;
use daisyseam_model::{
    DataCentreId,
    FleetView,
    GroupId,
    PrimaryState,
    UpstreamId,
    document::Document, //
};
use daisyseam_wire::{
    ControlMessage,
    MessageStream,
    StreamError,
    SubmitReply,
    SubmitRequest,
    control_message::Body, //
};
use displaydoc::Display;
use std::{
    error::Error,
    io,
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};
use tempfile::TempDir;
use tokio::{
    net::TcpStream,
    runtime::{
        Builder,
        Runtime, //
    },
    time::{
        Instant,
        sleep,
        timeout_at, //
    }, //
};

/// Time for one control instance to answer a submission.
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(3);
/// Pause between two looks at the fleet.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Why a fleet could not be started or brought to a state.
#[derive(Debug, Display)]
pub enum FleetError {
    /// the document is not valid: {0}
    Document(String),
    /// a port or folder cannot be had: {0}
    Io(io::Error),
    /// a stand-in database did not start: {0}
    Database(StandInError),
    /// a daemon did not start: {0}
    Daemon(String),
    /// the fleet did not get there in time: {0}
    Late(String),
}

impl Error for FleetError {}

impl From<io::Error> for FleetError {
    fn from(error: io::Error) -> Self {
        Self::Io(error)
    }
}

impl From<StandInError> for FleetError {
    fn from(error: StandInError) -> Self {
        Self::Database(error)
    }
}

/// A running fleet; dropping it stops everything as a crash would.
pub struct TestFleet {
    plan: FleetPlan,
    document: Document,
    network: FleetNetwork,
    /// Entry instances.
    pub entries: Vec<EntryNode>,
    /// Control instances.
    pub controls: Vec<ControlNode>,
    /// Databases of all groups.
    pub databases: Vec<DatabaseNode>,
    _folder: TempDir,
    runtime: Option<Runtime>,
}

impl TestFleet {
    /// Starts everything; no document is submitted yet.
    ///
    /// # Errors
    ///
    /// When the document is not valid or a part does not start.
    pub async fn start(plan: FleetPlan) -> Result<Self, FleetError> {
        let document = plan.document()?;
        let folder = TempDir::new()?;
        let runtime = Builder::new_multi_thread()
            .worker_threads(plan.network_threads)
            .thread_name("network")
            .enable_all()
            .build()?;
        let network =
            FleetNetwork::new(plan.sites(&document), plan.delays, runtime.handle().clone());
        let mut fleet = Self {
            network,
            entries: Vec::new(),
            controls: Vec::new(),
            databases: Vec::new(),
            _folder: folder,
            runtime: Some(runtime),
            plan,
            document,
        };
        fleet.lay_out()?;
        for index in 0..fleet.controls.len() {
            fleet.start_control(index).await?;
        }
        for index in 0..fleet.entries.len() {
            fleet.start_entry(index).await?;
        }
        for index in 0..fleet.databases.len() {
            fleet.start_database(index)?;
        }
        Ok(fleet)
    }

    /// Starts a fleet, submits its document and waits until every service takes writes.
    ///
    /// # Errors
    ///
    /// As [`TestFleet::start`], or when the fleet is not ready by the deadline.
    pub async fn start_ready(plan: FleetPlan, deadline: Instant) -> Result<Self, FleetError> {
        let fleet = Self::start(plan).await?;
        fleet.submit(&fleet.plan.text, 0, "first", deadline).await?;
        fleet.wait_ready(deadline).await?;
        Ok(fleet)
    }

    /// Returns the network.
    pub fn network(&self) -> &FleetNetwork {
        &self.network
    }

    /// Returns the document with which the fleet was planned.
    pub fn document(&self) -> &Document {
        &self.document
    }

    /// Returns the text of the document with which the fleet was planned.
    pub fn document_text(&self) -> &str {
        &self.plan.text
    }

    /// Starts a control instance on its data folder.
    ///
    /// # Errors
    ///
    /// When it does not start.
    pub async fn start_control(&mut self, index: usize) -> Result<(), FleetError> {
        let members = self
            .controls
            .iter()
            .map(|node| (node.instance().clone(), node.address()))
            .collect();
        let cluster = self.document.cluster.clone();
        self.controls[index].start(cluster, members).await
    }

    /// Starts an entry instance.
    ///
    /// # Errors
    ///
    /// When it does not start.
    pub async fn start_entry(&mut self, index: usize) -> Result<(), FleetError> {
        let control = self.controls.iter().map(ControlNode::address).collect();
        let cluster = self.document.cluster.clone();
        self.entries[index].start(cluster, control).await
    }

    /// Starts a database on its folder.
    ///
    /// # Errors
    ///
    /// When it does not start.
    pub fn start_database(&mut self, index: usize) -> Result<(), FleetError> {
        let site = self.databases[index].data_centre().clone();
        let near: Vec<SocketAddr> = self
            .entries
            .iter()
            .filter(|entry| *entry.data_centre() == site)
            .map(EntryNode::http_address)
            .collect();
        self.databases[index].start(&self.plan, self.document.cluster.clone(), near)
    }

    /// Submits a document until some control instance decides on it.
    ///
    /// # Errors
    ///
    /// When it is refused, or nobody decides by the deadline.
    pub async fn submit(
        &self,
        text: &str,
        replaces: u64,
        id: &str,
        deadline: Instant,
    ) -> Result<u64, FleetError> {
        let request = SubmitRequest {
            id: id.to_owned(),
            replaces,
            text: text.to_owned(),
            operator: "bench".to_owned(),
        };
        let mut last = "no control instance answered".to_owned();
        while Instant::now() < deadline {
            for node in &self.controls {
                match self.submit_to(node.address(), &request).await {
                    Ok(reply) if reply.accepted => return Ok(reply.number),
                    Ok(reply) if reply.busy => last = reply.error,
                    Ok(reply) => {
                        let words = format!("{} {}", reply.error, reply.problems.join("; "));
                        return Err(FleetError::Document(words));
                    }
                    Err(words) => last = words,
                }
            }
            sleep(POLL_INTERVAL).await;
        }
        Err(FleetError::Late(format!("submission: {last}")))
    }

    /// Submits a document to one control instance, once.
    ///
    /// # Errors
    ///
    /// Words on why there is no decision.
    pub async fn submit_to(
        &self,
        address: SocketAddr,
        request: &SubmitRequest,
    ) -> Result<SubmitReply, String> {
        let asked = async {
            let socket = TcpStream::connect(address).await?;
            let mut stream: MessageStream<_, ControlMessage> =
                MessageStream::new(socket, self.document.cluster.clone());
            let body = Some(Body::Submit(request.clone()));
            stream.send(&ControlMessage { body }).await?;
            stream.receive().await
        };
        let deadline = Instant::now() + SUBMIT_TIMEOUT;
        let answer: Result<ControlMessage, StreamError> = timeout_at(deadline, asked)
            .await
            .map_err(|_| "no answer in time".to_owned())?;
        match answer.map_err(|error| error.to_string())?.body {
            Some(Body::Submitted(reply)) => Ok(reply),
            Some(Body::NotLeader(_)) => Err("it does not lead".to_owned()),
            other => Err(format!("an answer to something else: {other:?}")),
        }
    }

    /// Waits until each entry holds a valid view that satisfies a condition.
    ///
    /// # Errors
    ///
    /// [`FleetError::Late`] at the deadline, naming what was waited for.
    pub async fn wait_view(
        &self,
        what: &str,
        deadline: Instant,
        condition: impl Fn(&FleetView) -> bool,
    ) -> Result<(), FleetError> {
        for entry in &self.entries {
            let Some(cell) = entry.view() else { continue };
            let mut changes = cell.subscribe();
            while !cell.valid().is_ok_and(|view| condition(&view)) {
                if timeout_at(deadline, changes.changed()).await.is_err() {
                    let words = format!("{what} at {}: {:?}", entry.instance(), cell.held());
                    return Err(FleetError::Late(words));
                }
            }
        }
        Ok(())
    }

    /// Waits until every group has a primary and every database a holder, everywhere.
    ///
    /// # Errors
    ///
    /// [`FleetError::Late`] at the deadline.
    pub async fn wait_ready(&self, deadline: Instant) -> Result<(), FleetError> {
        let wanted = self.databases.len();
        self.wait_view(
            "all databases held and all groups active",
            deadline,
            |view| {
                let held = view
                    .upstreams
                    .values()
                    .filter(|upstream| upstream.holder.is_some());
                held.count() >= wanted && self.groups_active(view)
            },
        )
        .await
    }

    /// Waits until every group has a primary, everywhere.
    ///
    /// # Errors
    ///
    /// [`FleetError::Late`] at the deadline.
    pub async fn wait_active(&self, deadline: Instant) -> Result<(), FleetError> {
        let condition = |view: &FleetView| self.groups_active(view);
        self.wait_view("all groups active", deadline, condition)
            .await
    }

    fn groups_active(&self, view: &FleetView) -> bool {
        view.document.as_ref().is_some_and(|document| {
            document.groups.keys().all(|group| {
                let state = view.groups.get(group);
                state.is_some_and(|state| state.primary.active().is_some())
            })
        })
    }

    /// Returns the newest view that any entry holds.
    pub fn newest_view(&self) -> Arc<FleetView> {
        let held = self.entries.iter().filter_map(EntryNode::view);
        let views = held.map(|cell| Arc::clone(&cell.held().view));
        views.max_by_key(|view| view.number).unwrap_or_default()
    }

    /// Returns the database that may take writes of a group, by the newest view.
    pub fn primary(&self, group: &GroupId) -> Option<UpstreamId> {
        match &self.newest_view().groups.get(group)?.primary {
            PrimaryState::Active(upstream) | PrimaryState::Draining(upstream) => {
                Some(upstream.clone())
            }
            PrimaryState::Fenced => None,
        }
    }

    /// Returns a database by its name.
    pub fn database(&self, upstream: &UpstreamId) -> Option<&DatabaseNode> {
        self.databases
            .iter()
            .find(|node| node.upstream() == upstream)
    }

    /// Returns the entry instances of a data centre.
    pub fn entries_in<'a>(
        &'a self,
        data_centre: &'a DataCentreId,
    ) -> impl Iterator<Item = &'a EntryNode> {
        self.entries
            .iter()
            .filter(move |entry| entry.data_centre() == data_centre)
    }

    fn lay_out(&mut self) -> Result<(), FleetError> {
        let sites: Vec<_> = self.document.data_centres.keys().cloned().collect();
        for index in 0..self.plan.controls {
            let site = &sites[index % sites.len()];
            let folder = self._folder.path().join(format!("control-{index}"));
            let node = ControlNode::lay_out(index, site, &self.network, folder)?;
            self.controls.push(node);
        }
        for index in 0..self.plan.entries {
            let site = &sites[index % sites.len()];
            let node = EntryNode::lay_out(index, site, &self.network, &self.plan)?;
            self.entries.push(node);
        }
        let groups: Vec<_> = self
            .document
            .groups
            .iter()
            .map(|(group, entry)| (group.clone(), entry.databases))
            .collect();
        for (number, (group, databases)) in groups.iter().enumerate() {
            for index in 0..*databases {
                // Each group starts in another data centre, so that primaries are spread.
                let site = &sites[(number + index) % sites.len()];
                let folder = self._folder.path().join(format!("{group}-{index}"));
                let node = DatabaseNode::lay_out(group, index, site, &self.network, folder)?;
                self.databases.push(node);
            }
        }
        Ok(())
    }
}

impl Drop for TestFleet {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}
