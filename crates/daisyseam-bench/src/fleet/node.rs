//! The processes of a fleet: each runs on a runtime of its own behind fixed addresses.

use super::{
    FleetError,
    FleetNetwork,
    FleetPlan,
    PortForwarder, //
};
use crate::standin::{
    StandIn,
    StandInSettings, //
};
use daisyseam_control::{
    ControlDaemon,
    ControlSettings,
    ControlTuning,
    REPAIR_DELAY, //
};
use daisyseam_entry::{
    EntryDaemon,
    EntrySettings,
    ViewCell, //
};
use daisyseam_model::{
    ClusterId,
    DataCentreId,
    GroupId,
    InstanceId,
    InvalidName,
    UpstreamId, //
};
use std::{
    fmt::Display,
    future::Future,
    net::{
        IpAddr,
        Ipv4Addr,
        SocketAddr, //
    },
    path::PathBuf,
    str::FromStr,
    time::Duration, //
};
use tokio::runtime::{
    Builder,
    Runtime, //
};

/// A port that the system picks.
const FREE_PORT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Name of every thread of an entry instance.
pub const ENTRY_THREAD: &str = "entry";
/// Name of every thread of a control instance.
pub const CONTROL_THREAD: &str = "control";

/// A daemon and the runtime that it alone runs on.
struct RunningDaemon<D> {
    daemon: Option<D>,
    runtime: Option<Runtime>,
}

impl<D: Send + 'static> RunningDaemon<D> {
    async fn start<E: Display + Send + 'static>(
        thread_name: &str,
        threads: usize,
        start: impl Future<Output = Result<D, E>> + Send + 'static,
    ) -> Result<Self, FleetError> {
        let runtime = Builder::new_multi_thread()
            .worker_threads(threads)
            .thread_name(thread_name)
            .enable_all()
            .build()?;
        let started = runtime.spawn(start).await;
        let mut running = Self {
            daemon: None,
            runtime: Some(runtime),
        };
        match started {
            Ok(Ok(daemon)) => running.daemon = Some(daemon),
            Ok(Err(error)) => return Err(FleetError::Daemon(error.to_string())),
            Err(error) => return Err(FleetError::Daemon(error.to_string())),
        }
        Ok(running)
    }

    fn daemon(&self) -> Option<&D> {
        self.daemon.as_ref()
    }

    /// Ends the daemon by its own means; returns whether it came to an end.
    async fn stop<F>(mut self, stop: impl FnOnce(D) -> F) -> bool
    where
        F: Future<Output = bool> + Send + 'static,
    {
        let (Some(daemon), Some(runtime)) = (self.daemon.take(), &self.runtime) else {
            return false;
        };
        runtime.spawn(stop(daemon)).await.unwrap_or(false)
    }
}

impl<D> Drop for RunningDaemon<D> {
    fn drop(&mut self) {
        let guard = self.runtime.as_ref().map(Runtime::enter);
        self.daemon = None;
        drop(guard);
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

/// An entry instance.
pub struct EntryNode {
    instance: InstanceId,
    data_centre: DataCentreId,
    source: IpAddr,
    threads: usize,
    caller: PortForwarder,
    peer: PortForwarder,
    http: PortForwarder,
    running: Option<RunningDaemon<EntryDaemon>>,
}

impl EntryNode {
    pub(super) fn lay_out(
        index: usize,
        data_centre: &DataCentreId,
        network: &FleetNetwork,
        plan: &FleetPlan,
    ) -> Result<Self, FleetError> {
        Ok(Self {
            instance: name(&format!("entry-{index}"))?,
            data_centre: data_centre.clone(),
            source: network.source(data_centre),
            threads: plan.entry_threads,
            caller: network.forward(data_centre)?,
            peer: network.forward(data_centre)?,
            http: network.forward(data_centre)?,
            running: None,
        })
    }

    pub(super) async fn start(
        &mut self,
        cluster: ClusterId,
        control: Vec<SocketAddr>,
    ) -> Result<(), FleetError> {
        let settings = EntrySettings {
            cluster,
            instance: self.instance.clone(),
            data_centre: self.data_centre.clone(),
            caller_listen: FREE_PORT,
            peer_listen: FREE_PORT,
            peer_advertise: Some(self.peer.address()),
            http_listen: FREE_PORT,
            control,
            source: Some(self.source),
            upstream_user: "daisyseam".to_owned(),
            upstream_password: "upstream-password".to_owned(),
            metrics: None,
            spans: None,
        };
        let starts = EntryDaemon::start(settings);
        let running = RunningDaemon::start(ENTRY_THREAD, self.threads, starts).await?;
        if let Some(daemon) = running.daemon() {
            self.caller.set_target(Some(daemon.caller_address()));
            self.peer.set_target(Some(daemon.peer_address()));
            self.http.set_target(Some(daemon.http_address()));
        }
        self.running = Some(running);
        Ok(())
    }

    /// Returns its name.
    pub fn instance(&self) -> &InstanceId {
        &self.instance
    }

    /// Returns its data centre.
    pub fn data_centre(&self) -> &DataCentreId {
        &self.data_centre
    }

    /// Returns the address that callers connect to.
    pub fn caller_address(&self) -> SocketAddr {
        self.caller.address()
    }

    /// Returns the address on which callers are answered, with no network in between.
    pub fn direct_address(&self) -> Option<SocketAddr> {
        Some(self.running.as_ref()?.daemon()?.caller_address())
    }

    /// Returns the address of its health pages.
    pub fn http_address(&self) -> SocketAddr {
        self.http.address()
    }

    /// Returns whether it runs.
    pub fn is_running(&self) -> bool {
        self.running.is_some()
    }

    /// Returns the view that it holds, if it runs.
    pub fn view(&self) -> Option<&ViewCell> {
        Some(self.running.as_ref()?.daemon()?.view())
    }

    /// Kills it.
    pub fn kill(&mut self) {
        self.clear_targets();
        self.running = None;
    }

    /// Stops it gracefully; returns whether it came to an end before its deadline.
    pub async fn stop(&mut self, deadline: Duration) -> bool {
        let Some(running) = self.running.take() else {
            return true;
        };
        let stopped = running.stop(move |daemon| daemon.stop(deadline)).await;
        self.clear_targets();
        stopped
    }

    fn clear_targets(&self) {
        for forwarder in [&self.caller, &self.peer, &self.http] {
            forwarder.set_target(None);
        }
    }
}

/// A control instance.
pub struct ControlNode {
    instance: InstanceId,
    data_centre: DataCentreId,
    source: IpAddr,
    folder: PathBuf,
    forwarder: PortForwarder,
    running: Option<RunningDaemon<ControlDaemon>>,
}

impl ControlNode {
    pub(super) fn lay_out(
        index: usize,
        data_centre: &DataCentreId,
        network: &FleetNetwork,
        folder: PathBuf,
    ) -> Result<Self, FleetError> {
        Ok(Self {
            instance: name(&format!("control-{index}"))?,
            data_centre: data_centre.clone(),
            source: network.source(data_centre),
            folder,
            forwarder: network.forward(data_centre)?,
            running: None,
        })
    }

    pub(super) async fn start(
        &mut self,
        cluster: ClusterId,
        members: Vec<(InstanceId, SocketAddr)>,
    ) -> Result<(), FleetError> {
        let settings = ControlSettings {
            cluster,
            instance: self.instance.clone(),
            data_centre: self.data_centre.clone(),
            listen: FREE_PORT,
            advertise: Some(self.forwarder.address()),
            http_listen: Some(FREE_PORT),
            tuning: ControlTuning::default(),
            data_folder: self.folder.clone(),
            members,
            spare: false,
            seeds: Vec::new(),
            bootstrap: false,
            tolerated_losses: 0,
            repair_delay: REPAIR_DELAY,
            source: Some(self.source),
            metrics: None,
            usage: None,
        };
        let running =
            RunningDaemon::start(CONTROL_THREAD, 1, ControlDaemon::start(settings)).await?;
        let address = running.daemon().map(ControlDaemon::address);
        self.forwarder.set_target(address);
        self.running = Some(running);
        Ok(())
    }

    /// Returns its name.
    pub fn instance(&self) -> &InstanceId {
        &self.instance
    }

    /// Returns its data centre.
    pub fn data_centre(&self) -> &DataCentreId {
        &self.data_centre
    }

    /// Returns the address on which it is reached.
    pub fn address(&self) -> SocketAddr {
        self.forwarder.address()
    }

    /// Returns the bytes that went through its port so far, both ways together.
    pub fn carried_bytes(&self) -> u64 {
        self.forwarder.carried_bytes()
    }

    /// Returns whether it leads.
    pub fn leads(&self) -> bool {
        let daemon = self.running.as_ref().and_then(RunningDaemon::daemon);
        daemon.is_some_and(ControlDaemon::is_leader)
    }

    /// Kills it.
    pub fn kill(&mut self) {
        self.forwarder.set_target(None);
        self.running = None;
    }

    /// Stops it gracefully; returns whether it came to an end before its deadline.
    pub async fn stop(&mut self, deadline: Duration) -> bool {
        let Some(running) = self.running.take() else {
            return true;
        };
        let stopped = running.stop(move |daemon| daemon.stop(deadline)).await;
        self.forwarder.set_target(None);
        stopped
    }
}

/// A stand-in database.
pub struct DatabaseNode {
    upstream: UpstreamId,
    group: GroupId,
    data_centre: DataCentreId,
    source: IpAddr,
    folder: PathBuf,
    index: usize,
    forwarder: PortForwarder,
    admin: PortForwarder,
    running: Option<StandIn>,
}

impl DatabaseNode {
    pub(super) fn lay_out(
        group: &GroupId,
        index: usize,
        data_centre: &DataCentreId,
        network: &FleetNetwork,
        folder: PathBuf,
    ) -> Result<Self, FleetError> {
        Ok(Self {
            upstream: name(&format!("{group}-{index}"))?,
            group: group.clone(),
            data_centre: data_centre.clone(),
            source: network.source(data_centre),
            folder,
            index,
            forwarder: network.forward(data_centre)?,
            admin: network.forward(data_centre)?,
            running: None,
        })
    }

    pub(super) fn start(
        &mut self,
        plan: &FleetPlan,
        cluster: ClusterId,
        entries: Vec<SocketAddr>,
    ) -> Result<(), FleetError> {
        let settings = StandInSettings {
            cluster,
            upstream: self.upstream.clone(),
            group: self.group.clone(),
            data_centre: self.data_centre.clone(),
            listen: FREE_PORT,
            admin_listen: FREE_PORT,
            advertise: Some(self.forwarder.address()),
            admin_advertise: Some(self.admin.address()),
            entries,
            source: Some(self.source),
            folder: self.folder.clone(),
            connections: plan.connections,
            open_delay: plan.open_delay,
            service_time: plan.service_time,
            lag: plan.lag.clone(),
            threads: plan.database_threads,
            seed: plan.seed.wrapping_mul(1_000) + self.index as u64,
        };
        let database = StandIn::start(settings)?;
        if plan.records_bytes {
            database.recorder().switch_on();
        }
        self.forwarder.set_target(Some(database.address()));
        self.admin.set_target(Some(database.admin_address()));
        self.running = Some(database);
        Ok(())
    }

    /// Returns its name.
    pub fn upstream(&self) -> &UpstreamId {
        &self.upstream
    }

    /// Returns its group.
    pub fn group(&self) -> &GroupId {
        &self.group
    }

    /// Returns its data centre.
    pub fn data_centre(&self) -> &DataCentreId {
        &self.data_centre
    }

    /// Returns the stand-in, if it runs.
    pub fn database(&self) -> Option<&StandIn> {
        self.running.as_ref()
    }

    /// Kills it; its files stay.
    pub fn kill(&mut self) {
        self.forwarder.set_target(None);
        self.admin.set_target(None);
        self.running = None;
    }
}

fn name<T: FromStr<Err = InvalidName>>(text: &str) -> Result<T, FleetError> {
    text.parse()
        .map_err(|error: InvalidName| FleetError::Document(error.to_string()))
}
