//! A small fleet for a script: the project's own programs as processes, and stand-ins for databases, the
//! platform, the operator and consumers, as the users' pages describe them. Included by the cases.

use std::{
    collections::BTreeMap,
    env, fs,
    io::{BufRead, BufReader, ErrorKind, Read, Write},
    net::{IpAddr, Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

pub const HEARTBEAT_MS: u64 = 1_200;
pub const SERVICE: &str = "volo44a";
pub const HOST: &str = "jeje760x1";
pub const TENANT: &str = "nypu920";
pub const KEY: &str = "u6wsjnbanfqasnmgkcuy";

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

/// What was sent, answered and run, with the time since the start.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<fs::File>>,
}

impl Record {
    pub fn new(path: &str) -> Self {
        let file = fs::File::create(path).expect("the record can be written");
        Self { started: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.started.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{at:8.3} {}", text.as_ref());
    }

    pub fn seconds(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }
}

// ---- Processes of the system -------------------------------------------------------------------

/// A program of the deploy file with its settings.
pub struct Machine {
    pub name: String,
    pub ip: IpAddr,
    program: &'static str,
    settings: PathBuf,
    folder: Option<PathBuf>,
    child: Option<Child>,
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.kill();
    }
}

impl Machine {
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn is_running(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    fn start(&mut self) {
        let logs = self.settings.with_extension("log");
        let logs = fs::OpenOptions::new().create(true).append(true).open(logs).unwrap();
        let child = Command::new(self.program)
            .env_clear()
            .env("PATH", env::var("PATH").unwrap_or_default())
            .env("DAISYSEAM_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(logs)
            .spawn();
        self.child = Some(child.expect("the program of the deploy file starts"));
    }
}

/// The addresses of a run: a loopback network of its own, with the same ports on each machine.
#[derive(Clone)]
pub struct Places {
    base: [u8; 2],
    pub control: u16,
    pub frontend: u16,
    ready: u16,
    internal: u16,
    pub provider: SocketAddr,
    pub databases: u16,
}

impl Places {
    pub fn find() -> Self {
        let pid = std::process::id();
        let base = [60 + (pid % 150) as u8, ((pid / 150) % 250) as u8];
        let port = |host: u8| {
            let ip = Ipv4Addr::new(127, base[0], base[1], host);
            TcpListener::bind((ip, 0)).unwrap().local_addr().unwrap().port()
        };
        let provider = SocketAddr::new(Ipv4Addr::new(127, base[0], base[1], 200).into(), port(200));
        Self {
            base,
            control: port(250),
            frontend: port(251),
            ready: port(252),
            internal: port(253),
            provider,
            databases: port(254),
        }
    }

    pub fn ip(&self, host: u8) -> IpAddr {
        Ipv4Addr::new(127, self.base[0], self.base[1], host).into()
    }
}

pub struct Fleet {
    pub places: Places,
    folder: PathBuf,
    pub machines: Vec<Machine>,
    pub record: Record,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for machine in &mut self.machines {
            machine.kill();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl Fleet {
    /// Three members of control and two entries, in three zones; nothing runs yet.
    pub fn new(record: Record) -> Self {
        let places = Places::find();
        let folder = env::temp_dir().join(format!("daisyseam-review-{}", std::process::id()));
        fs::create_dir_all(&folder).unwrap();
        let mut fleet = Self { places, folder, machines: Vec::new(), record };
        for (index, host) in [1u8, 2, 3].into_iter().enumerate() {
            fleet.add(format!("core-z{index}-1"), host, index, "target/release/daisyseam-platform-control", true);
        }
        for (index, host) in [11u8, 12].into_iter().enumerate() {
            fleet.add(format!("frontend-z{index}-1"), host, index, "target/release/daisyseam-platform-entry", false);
        }
        fleet
    }

    fn add(&mut self, name: String, host: u8, zone: usize, program: &'static str, core: bool) {
        let settings = self.folder.join(format!("{name}.yaml"));
        let folder = core.then(|| self.folder.join(format!("{name}-data")));
        let ip = self.places.ip(host);
        let machine = Machine { name, ip, program, settings, folder, child: None };
        self.write_settings(&machine, zone, true);
        self.machines.push(machine);
    }

    fn write_settings(&self, machine: &Machine, zone: usize, bootstrap: bool) {
        let places = &self.places;
        let (ip, name) = (machine.ip, &machine.name);
        let core = machine.folder.is_some();
        let (role, class) = if core { ("control", "core") } else { ("entry", "frontend") };
        let bind = match core {
            true => format!("  control_plane: \"{ip}:{}\"\n", places.control),
            false => format!("  frontend: \"{ip}:{}\"\n  ready: \"{ip}:{}\"\n", places.frontend, places.ready),
        };
        let data = machine.folder.as_ref().map_or("null".to_owned(), |path| format!("\"{}\"", path.display()));
        let seeds: String = [1u8, 2, 3].iter().map(|host| format!("  - \"{}:{}\"\n", places.ip(*host), places.control)).collect();
        let serves = if core { "control" } else { "frontend" };
        let (cpu, memory, fds) = if core { (0.3, 256, 4096) } else { (0.25, 260, 4200) };
        let text = format!(
            "node_name: \"{name}\"\nrole: \"{role}\"\nmachine_class: \"{class}\"\nserves:\n  - \"{serves}\"\nip: \"{ip}\"\n\
             zone: \"z{zone}\"\nregion: \"r{zone}\"\nzones:\n  z0: \"r0\"\n  z1: \"r1\"\n  z2: \"r2\"\nbind_addresses:\n{bind}\
             internal_ports:\n  - {internal}\n  - {internal}\nseed_nodes:\n{seeds}bootstrap: {bootstrap}\nloss_counts: {core}\n\
             limits:\n  cpu_quota: {cpu}\n  cpu_cores: 1\n  memory_mb: {memory}\n  max_fds: {fds}\n  bandwidth_mbps: 1000.0\n  disk_mb: 128\n\
             data_dir: {data}\ndiscovery: \"registration\"\nentrypoint: \"vip\"\nheartbeat_interval_ms: {HEARTBEAT_MS}\n\
             contracts:\n  - \"base\"\n  - \"drain\"\n  - \"config\"\n  - \"recover\"\n  - \"sql\"\n  - \"tenants\"\n  - \"quota\"\n  - \"places\"\n\
             fault_tolerance:\n  machines: 1\n  zones: 1\n  regions: 1\nbounds:\n  seed_lag_s: 3\n  address_reuse_s: 2\n  contact_window_ms: 5000\n\
             \x20 ack_timeout_ms: 6000\n  catch_up_s: 4\n  drain_timeout_ms: 7000\n  grace_period_s: 6\n  loss_slack_ms: 200\n  config_apply_ms: 4000\n\
             \x20 downgrade_slack_ms: 250\n  outer_ms: 15000\n  quota_window_s: 5\n  quota_overshoot: 0.1\n  quota_tolerance: 20\n  evacuation_ms: 5000\n\
             \x20 recovery_s: 12\n  fencing_enforced: false\n  disturbance_window_ms: 300\nconfig_mode: \"highest\"\n\
             provider:\n  address: \"{provider}\"\n  rate_per_s: 50.0\n  duties:\n    - \"promotion\"\n  duty_per_s: 50.0\n",
            internal = places.internal,
            provider = places.provider,
        );
        fs::write(&machine.settings, text).unwrap();
    }

    pub fn start_all(&mut self) {
        for machine in &mut self.machines {
            machine.start();
        }
        self.record.line("all processes of the system started");
    }

    /// The final fault: all processes are killed and are back after a moment, with their disks.
    pub fn kill_all_and_restart(&mut self) {
        for machine in &mut self.machines {
            machine.kill();
        }
        self.record.line("final fault: all processes of the system killed");
        thread::sleep(ms(700));
        for index in 0..self.machines.len() {
            let machine = &self.machines[index];
            let zone = if index < 3 { index } else { index - 3 };
            self.write_settings(machine, zone, false);
        }
        self.start_all();
    }

    pub fn control_addresses(&self) -> Vec<SocketAddr> {
        [1u8, 2, 3].iter().map(|host| SocketAddr::new(self.places.ip(*host), self.places.control)).collect()
    }

    pub fn entry_addresses(&self) -> Vec<SocketAddr> {
        [11u8, 12].iter().map(|host| SocketAddr::new(self.places.ip(*host), self.places.frontend)).collect()
    }
}

// ---- HTTP as a caller of control speaks it -----------------------------------------------------

/// Makes a call; follows a 307 twice. `None` if there was no clear response within a second.
pub fn http(to: SocketAddr, method: &str, path: &str, body: &str) -> Option<(u16, String)> {
    let mut to = to;
    for _ in 0..3 {
        let (status, location, text) = http_once(to, method, path, body)?;
        match (status, location) {
            (307, Some(location)) => {
                to = location.strip_prefix("http://")?.split('/').next()?.parse().ok()?;
            }
            (status, _) => return Some((status, text)),
        }
    }
    None
}

fn http_once(to: SocketAddr, method: &str, path: &str, body: &str) -> Option<(u16, Option<String>, String)> {
    let mut stream = TcpStream::connect_timeout(&to, ms(500)).ok()?;
    stream.set_read_timeout(Some(ms(1_000))).ok()?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {to}\r\nContent-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(head.as_bytes()).ok()?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).ok()?;
    let (head, text) = answer.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let location = head.lines().find_map(|line| {
        let (name, value) = line.split_once(':')?;
        name.eq_ignore_ascii_case("location").then(|| value.trim().to_owned())
    });
    Some((status, location, text.to_owned()))
}

pub fn manifest(version: u64) -> String {
    manifest_with(version, 1)
}

pub fn manifest_with(version: u64, sync_replicas: u64) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-1\",\"host\":\"{HOST}\",\"path_prefix\":\"/\",\"kind\":\"primary\",\
         \"timeout_ms\":1000,\"target_latency_ms\":800,\"priority\":1,\"service\":\"{SERVICE}\",\"max_attempts\":2,\"public\":false,\
         \"allowed_regions\":[]}}],\"services\":[{{\"name\":\"{SERVICE}\",\"health_path\":\"/healthz\",\"max_connections\":33,\
         \"protocol\":\"h1\",\"tls\":false,\"warmup_s\":0.0,\"warmup_per_s\":0.0,\"sync_replicas\":{sync_replicas}}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000,\"tx_idle_ms\":3000}},\
         \"tenants\":[{{\"name\":\"{TENANT}\",\"api_keys\":[\"{KEY}\"],\"priority\":1,\"rate_per_s\":500,\"burst\":500,\"allowed_regions\":[]}}]}}"
    )
}

/// Sends an order to any daemon until it is acknowledged.
pub fn order(fleet: &Fleet, method: &str, path: &str, body: &str, within: Duration) -> bool {
    let until = Instant::now() + within;
    let addresses = fleet.control_addresses();
    let mut next = 0;
    while Instant::now() < until {
        let to = addresses[next % addresses.len()];
        next += 1;
        let answer = http(to, method, path, body);
        fleet.record.line(format!("operator: {method} {path} to {to}: {:?}", answer.as_ref().map(|(status, _)| *status)));
        if matches!(answer, Some((200, _))) {
            return true;
        }
        thread::sleep(ms(150));
    }
    false
}

// ---- Databases ---------------------------------------------------------------------------------

#[derive(Clone, Debug, PartialEq)]
pub struct Write1 {
    pub term: u64,
    pub item: String,
    pub data: String,
}

#[derive(Clone)]
pub struct State {
    pub alive: bool,
    /// Whether it answers and reports; a dark one does not, and keeps its log.
    pub dark: bool,
    /// Whether it receives nothing from the primary.
    pub deaf: bool,
    pub primary: bool,
    pub term: u64,
    pub paused: u64,
    pub log: Vec<Write1>,
    pub born: u64,
    pub sequence: u64,
    pub state: &'static str,
    pub zone: usize,
    pub address: SocketAddr,
    pub life: u64,
}

impl State {
    fn receives(&self) -> bool {
        self.alive && !self.dark && !self.deaf && self.paused == 0
    }
}

/// A service: one primary and its replicas, which receive commits at once.
#[derive(Clone)]
pub struct Service {
    pub states: Arc<Mutex<BTreeMap<String, State>>>,
    pub record: Record,
    control: Vec<SocketAddr>,
    stop: Arc<AtomicBool>,
    receipts: Arc<AtomicU64>,
    /// Replicas that must have a commit before it is acknowledged.
    pub sync: Arc<AtomicU64>,
    /// The log that each database had when it took the lead.
    pub led: Arc<Mutex<Vec<(String, Vec<Write1>)>>>,
}

impl Service {
    pub fn new(fleet: &Fleet) -> Self {
        Self {
            states: Arc::default(),
            record: fleet.record.clone(),
            control: fleet.control_addresses(),
            stop: Arc::default(),
            receipts: Arc::default(),
            sync: Arc::new(AtomicU64::new(1)),
            led: Arc::default(),
        }
    }

    pub fn stop(&self) {
        self.stop.store(true, Ordering::SeqCst);
    }

    /// Starts a database; the first is the primary of term 1, others have the primary's log.
    pub fn start(&self, id: &str, zone: usize, address: SocketAddr) {
        let listener = TcpListener::bind(address).expect("the database's address is free");
        let mut states = self.states.lock().unwrap();
        let source = states.values().find(|state| state.primary && state.alive).cloned();
        states.insert(
            id.to_owned(),
            State {
                alive: true,
                dark: false,
                deaf: false,
                primary: source.is_none(),
                term: source.as_ref().map_or(1, |source| source.term),
                paused: 0,
                log: source.map_or_else(Vec::new, |source| source.log),
                born: unix_ms(),
                sequence: 0,
                state: "ready",
                zone,
                address,
                life: 1,
            },
        );
        drop(states);
        self.record.line(format!("database {id} starts at {address}"));
        let (service, name) = (self.clone(), id.to_owned());
        thread::spawn(move || service.serve(&name, listener));
        let (service, name) = (self.clone(), id.to_owned());
        thread::spawn(move || service.ping(&name));
    }

    pub fn with<T>(&self, id: &str, change: impl FnOnce(&mut State) -> T) -> T {
        change(self.states.lock().unwrap().get_mut(id).expect("a known database"))
    }

    pub fn get(&self, id: &str) -> State {
        self.with(id, |state| state.clone())
    }

    pub fn primary(&self) -> Option<String> {
        let states = self.states.lock().unwrap();
        let leading = states.iter().filter(|(_, state)| state.primary && state.alive);
        leading.max_by_key(|(_, state)| state.term).map(|(id, _)| id.clone())
    }

    /// The database is lost for good: it sends and answers nothing any more.
    pub fn lose(&self, id: &str) {
        self.with(id, |state| {
            state.alive = false;
            state.life += 1;
        });
        self.record.line(format!("database {id} is lost for good"));
    }

    fn serve(&self, id: &str, listener: TcpListener) {
        listener.set_nonblocking(true).unwrap();
        while !self.stop.load(Ordering::SeqCst) {
            if !self.get(id).alive {
                return;
            }
            match listener.accept() {
                Ok((stream, _)) => {
                    let _ = stream.set_nonblocking(false);
                    let (service, name) = (self.clone(), id.to_owned());
                    thread::spawn(move || Session::new(service, name).run(stream));
                }
                Err(_) => thread::sleep(ms(2)),
            }
        }
    }

    /// Reports the database about every `heartbeat_interval_ms`, and a change of its role at once.
    fn ping(&self, id: &str) {
        let mut url: Option<SocketAddr> = None;
        let mut sent_role = None;
        let mut due = Instant::now();
        let mut next = id.len();
        while !self.stop.load(Ordering::SeqCst) {
            let state = self.get(id);
            if !state.alive {
                return;
            }
            if state.dark || (Instant::now() < due && sent_role == Some((state.primary, state.state))) {
                thread::sleep(ms(20));
                continue;
            }
            due = Instant::now() + ms(HEARTBEAT_MS);
            let sequence = self.with(id, |state| {
                state.sequence += 1;
                state.sequence
            });
            let role = if state.primary { "primary" } else { "replica" };
            let body = format!(
                "{{\"service\":\"{SERVICE}\",\"address\":\"{}\",\"zone\":\"z{}\",\"version\":\"v1\",\"capacity\":5,\"state\":\"{}\",\
                 \"warmup_left_ms\":0,\"db_role\":\"{role}\",\"sequence\":{sequence},\"born\":{}}}",
                state.address, state.zone, state.state, state.born
            );
            for _ in 0..4 {
                let to = url.unwrap_or_else(|| {
                    next += 1;
                    self.control[next % self.control.len()]
                });
                let answer = http(to, "PUT", &format!("/instances/{id}"), &body);
                if let Some((200, text)) = &answer {
                    url = text.split("\"heartbeat_url\":\"").nth(1).and_then(|rest| rest.split('"').next()?.parse().ok());
                    sent_role = Some((state.primary, state.state));
                    break;
                }
                url = None;
                if !self.get(id).alive || self.stop.load(Ordering::SeqCst) {
                    return;
                }
            }
        }
    }

    /// `POST /promote`: some hundred ms later the database leads the next term.
    pub fn promote(&self, id: &str) -> u16 {
        let mut states = self.states.lock().unwrap();
        let newest = states.values().map(|state| state.term).max().unwrap_or(0);
        let Some(state) = states.get_mut(id).filter(|state| state.alive) else {
            return 409;
        };
        if state.primary && state.term == newest {
            return 200;
        }
        drop(states);
        let (service, id) = (self.clone(), id.to_owned());
        thread::spawn(move || {
            thread::sleep(ms(600));
            service.take_over(&id);
        });
        200
    }

    fn take_over(&self, id: &str) {
        let mut states = self.states.lock().unwrap();
        let term = states.values().map(|state| state.term).max().unwrap_or(0) + 1;
        let Some(state) = states.get_mut(id).filter(|state| state.alive) else {
            return;
        };
        state.primary = true;
        state.term = term;
        state.paused = 0;
        let log = state.log.clone();
        self.led.lock().unwrap().push((id.to_owned(), log.clone()));
        for (other, state) in states.iter_mut() {
            if other != id && state.receives() && !state.primary {
                state.log = log.clone();
                state.term = term;
            }
        }
        drop(states);
        self.record.line(format!("database {id} leads term {term}"));
        let service = self.clone();
        let id = id.to_owned();
        thread::spawn(move || {
            thread::sleep(ms(1_000));
            let mut states = service.states.lock().unwrap();
            for (other, state) in states.iter_mut() {
                if *other != id && state.primary && state.term < term {
                    state.primary = false;
                }
            }
            drop(states);
            service.follow_all();
        });
    }

    /// Brings each replica that receives to the primary's log.
    fn follow_all(&self) {
        let mut states = self.states.lock().unwrap();
        let newest = states.values().filter(|state| state.primary && state.alive).max_by_key(|state| state.term).cloned();
        let Some(newest) = newest else { return };
        for state in states.values_mut() {
            if state.receives() && !state.primary && state.term <= newest.term {
                state.log = newest.log.clone();
                state.term = newest.term;
            }
        }
    }

    /// Commits at a primary, and waits until enough replicas have it; `None` if the database is gone by then.
    fn commit(&self, id: &str, life: u64, writes: Vec<(String, String)>) -> Option<bool> {
        let (term, end) = {
            let mut states = self.states.lock().unwrap();
            let state = states.get_mut(id)?;
            if !state.primary || !state.alive {
                return Some(false);
            }
            let term = state.term;
            for (item, data) in writes {
                state.log.push(Write1 { term, item, data });
            }
            (term, state.log.len())
        };
        while !self.stop.load(Ordering::SeqCst) {
            let mut states = self.states.lock().unwrap();
            let state = states.get(id).filter(|state| state.alive && state.life == life)?;
            if !state.primary || state.term != term {
                return None;
            }
            let log = state.log.clone();
            let mut copies = 0;
            for (other, state) in states.iter_mut() {
                if other != id && state.receives() && !state.primary && state.term <= term {
                    if state.log.len() < log.len() || state.term < term {
                        state.log = log.clone();
                        state.term = term;
                    }
                }
                copies += u64::from(other != id && !state.primary && state.term == term && state.log.len() >= end);
            }
            drop(states);
            if copies >= self.sync.load(Ordering::SeqCst) {
                return Some(true);
            }
            thread::sleep(ms(10));
        }
        None
    }
}

struct Session {
    service: Service,
    id: String,
    life: u64,
    state: char,
    writes: Vec<(String, String)>,
    prepared: BTreeMap<String, String>,
}

impl Session {
    fn new(service: Service, id: String) -> Self {
        let life = service.get(&id).life;
        Self { service, id, life, state: 'I', writes: Vec::new(), prepared: BTreeMap::new() }
    }

    fn run(mut self, mut stream: TcpStream) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(ms(50))).ok()?;
        let mut reader = BufReader::new(stream.try_clone().ok()?);
        let mut line = Vec::new();
        let mut open = false;
        loop {
            let state = self.service.get(&self.id);
            if state.life != self.life || !state.alive || self.service.stop.load(Ordering::SeqCst) {
                let _ = stream.shutdown(Shutdown::Both);
                return None;
            }
            if state.dark {
                thread::sleep(ms(20));
                continue;
            }
            match reader.read_until(b'\n', &mut line) {
                Ok(0) => return None,
                Ok(_) if line.ends_with(b"\r\n") => {}
                Ok(_) => continue,
                Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => continue,
                Err(_) => return None,
            }
            let text = String::from_utf8_lossy(&line[..line.len() - 2]).into_owned();
            line.clear();
            let answer = match open {
                false => {
                    let fields: Vec<&str> = text.split(' ').collect();
                    let sound = fields.len() >= 3 && fields[0] == "STARTUP" && fields[1] == SERVICE && fields.get(3).is_none_or(|id| *id == self.id);
                    if !sound {
                        let _ = stream.write_all(format!("ERROR MOVED {}\r\n", self.id).as_bytes());
                        return None;
                    }
                    open = true;
                    format!("READY I {}\r\n", self.position())
                }
                true => {
                    let mut parts = text.splitn(3, ' ');
                    if parts.next() != Some("QUERY") {
                        return None;
                    }
                    let (id, query) = (parts.next()?.to_owned(), parts.next()?.to_owned());
                    let outcome = self.query(&id, &query);
                    // A commit that no replica has is not answered.
                    let outcome = outcome?;
                    let body = match outcome {
                        Ok((rows, receipt)) => rows.iter().map(|row| format!("DATAROW {row}\r\n")).collect::<String>() + &format!("COMPLETE {receipt}\r\n"),
                        Err(code) => format!("ERROR {code}\r\n"),
                    };
                    format!("{body}READY {} {}\r\n", self.state, self.position())
                }
            };
            stream.write_all(answer.as_bytes()).ok()?;
        }
    }

    fn position(&self) -> String {
        let state = self.service.get(&self.id);
        format!("{}.{}", state.term, state.log.len())
    }

    fn status(&self) -> (Vec<String>, String) {
        let state = self.service.get(&self.id);
        let role = if state.primary { "primary" } else { "replica" };
        (vec![format!("{role} {} {}.{} {} 0 0 1", state.term, state.term, state.log.len(), state.paused)], "-".to_owned())
    }

    fn receipt(&self) -> String {
        format!("{}.{}", self.id, self.service.receipts.fetch_add(1, Ordering::SeqCst))
    }

    fn query(&mut self, id: &str, text: &str) -> Option<Result<(Vec<String>, String), String>> {
        let mut text = text.to_owned();
        if let Some(rest) = text.strip_prefix("WAITLSN ") {
            let (at, rest) = rest.split_once(' ')?;
            let (term, number) = at.split_once('.')?;
            let wanted: (u64, usize) = (term.parse().ok()?, number.parse().ok()?);
            let state = self.service.get(&self.id);
            if (state.term, state.log.len()) < wanted {
                return Some(Err("LAGGING".to_owned()));
            }
            text = rest.to_owned();
        }
        let (word, rest) = text.split_once(' ').unwrap_or((&text, ""));
        let fine = |row: Vec<String>| Some(Ok((row, "-".to_owned())));
        if id != "-" || matches!(word, "PAUSE" | "RESUME" | "STEPDOWN") {
            self.service.record.line(format!("{} runs for {id}: {text}", self.id));
        }
        match word {
            "STATUS" => Some(Ok(self.status())),
            "PAUSE" => {
                let term: u64 = rest.parse().ok()?;
                self.service.with(&self.id, |state| {
                    if !state.primary && term > state.term {
                        state.paused = state.paused.max(term);
                    }
                });
                Some(Ok(self.status()))
            }
            "RESUME" => {
                self.service.with(&self.id, |state| state.paused = 0);
                self.service.follow_all();
                Some(Ok(self.status()))
            }
            "STEPDOWN" => {
                let term: u64 = rest.parse().ok()?;
                self.service.with(&self.id, |state| state.primary &= state.term >= term);
                Some(Ok(self.status()))
            }
            "BEGIN" => {
                if rest.is_empty() && !self.service.get(&self.id).primary {
                    return Some(Err(format!("READONLY {}", self.id)));
                }
                self.state = 'T';
                fine(Vec::new())
            }
            "ROLLBACK" => {
                self.state = 'I';
                self.writes.clear();
                fine(Vec::new())
            }
            "COMMIT" => {
                self.state = 'I';
                let writes = std::mem::take(&mut self.writes);
                self.finish(writes)
            }
            "SET" | "DISCARD" | "DEALLOCATE" => fine(Vec::new()),
            "PREPARE" => {
                let (name, shape) = rest.split_once(' ')?;
                self.prepared.insert(name.to_owned(), shape.to_owned());
                fine(Vec::new())
            }
            "EXECUTE" => {
                let (name, arguments) = rest.split_once(' ')?;
                let Some(shape) = self.prepared.get(name).cloned() else {
                    return Some(Err("NOSTMT".to_owned()));
                };
                let kind = shape.split(' ').next()?.to_owned();
                self.statement(&kind, arguments)
            }
            "FETCH" | "STORE" => {
                let (kind, rest) = (word.to_owned(), rest.to_owned());
                self.statement(&kind, &rest)
            }
            _ => Some(Err("MALFORMED".to_owned())),
        }
    }

    fn statement(&mut self, kind: &str, rest: &str) -> Option<Result<(Vec<String>, String), String>> {
        thread::sleep(ms(3));
        if kind == "FETCH" {
            let state = self.service.get(&self.id);
            let found = state.log.iter().rev().find(|write| write.item == rest);
            let row = found.map_or("nothing".to_owned(), |write| write.data.clone());
            return Some(Ok((vec![row], self.receipt())));
        }
        let (item, data) = rest.split_once(' ')?;
        if !self.service.get(&self.id).primary {
            return Some(Err(format!("READONLY {}", self.id)));
        }
        if self.state == 'T' {
            self.writes.push((item.to_owned(), data.to_owned()));
            return Some(Ok((Vec::new(), self.receipt())));
        }
        self.finish(vec![(item.to_owned(), data.to_owned())])
    }

    fn finish(&mut self, writes: Vec<(String, String)>) -> Option<Result<(Vec<String>, String), String>> {
        if writes.is_empty() {
            return Some(Ok((Vec::new(), self.receipt())));
        }
        match self.service.commit(&self.id, self.life, writes)? {
            true => Some(Ok((Vec::new(), self.receipt()))),
            false => Some(Err(format!("READONLY {}", self.id))),
        }
    }
}

// ---- The platform ------------------------------------------------------------------------------

/// Serves `POST /promote`.
pub fn start_provider(address: SocketAddr, service: Service) {
    let listener = TcpListener::bind(address).expect("the platform's address is free");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let service = service.clone();
            thread::spawn(move || serve_provider(stream, &service));
        }
    });
}

fn serve_provider(mut stream: TcpStream, service: &Service) -> Option<()> {
    stream.set_read_timeout(Some(ms(2_000))).ok()?;
    let mut bytes = Vec::new();
    let mut chunk = [0; 4096];
    loop {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let header = |name: &str| {
                head.lines().find_map(|line| {
                    let (known, value) = line.split_once(':')?;
                    known.eq_ignore_ascii_case(name).then(|| value.trim().to_owned())
                })
            };
            let length: usize = header("content-length")?.parse().ok()?;
            if body.len() >= length {
                let id = body.split("\"id\":\"").nth(1)?.split('"').next()?;
                let status = service.promote(id);
                let (holder, token) = (header("x-daisyseam-lease-holder")?, header("x-daisyseam-fencing-token")?);
                service.record.line(format!("platform: promote {id} by {holder} with token {token}: {status}"));
                let answer = format!("HTTP/1.1 {status} OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{{}}");
                return stream.write_all(answer.as_bytes()).ok();
            }
        }
        match stream.read(&mut chunk) {
            Ok(0) | Err(_) => return None,
            Ok(count) => bytes.extend_from_slice(&chunk[..count]),
        }
    }
}

// ---- Consumers ---------------------------------------------------------------------------------

/// A session of a consumer.
pub struct Consumer {
    reader: BufReader<TcpStream>,
    number: u64,
    name: String,
    record: Record,
}

/// The end of a request: the receipt or the code of the error, and the rows.
pub type Answer = Result<(String, Vec<String>), String>;

impl Consumer {
    pub fn open(entry: SocketAddr, name: &str, record: &Record) -> Option<Self> {
        let mut stream = TcpStream::connect_timeout(&entry, ms(500)).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(ms(2_000))).ok()?;
        stream.write_all(format!("STARTUP {HOST} {KEY}\r\n").as_bytes()).ok()?;
        let mut reader = BufReader::new(stream);
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        line.starts_with("READY I").then_some(())?;
        let (name, record) = (name.to_owned(), record.clone());
        Some(Self { reader, number: 0, name, record })
    }

    /// `None` if the connection ended without an answer.
    pub fn query(&mut self, text: &str) -> Option<Answer> {
        self.number += 1;
        let id = format!("{}{:06x}", self.name, self.number);
        let sent = format!("QUERY {id} {text}\r\n");
        self.reader.get_mut().write_all(sent.as_bytes()).ok()?;
        let mut rows = Vec::new();
        let mut outcome = None;
        loop {
            let mut line = String::new();
            if self.reader.read_line(&mut line).ok()? == 0 {
                return None;
            }
            let line = line.trim_end();
            match line.split_once(' ')? {
                ("DATAROW", row) => rows.push(row.to_owned()),
                ("COMPLETE", receipt) => outcome = Some(Ok(receipt.to_owned())),
                ("ERROR", error) => outcome = Some(Err(error.split(' ').next()?.to_owned())),
                ("READY", _) => {
                    let outcome = outcome?;
                    self.record.line(format!("consumer: {id} {text}: {outcome:?} {rows:?}"));
                    return Some(outcome.map(|receipt| (receipt, rows)));
                }
                _ => return None,
            }
        }
    }
}
