//! Stand-ins for consumers, databases, the operator and the platform, and the start of the
//! project's own programs as separate processes on loopback addresses.
//!
//! Everything follows PROTOCOL.md and DEPLOY.md; only the standard library is used.

use std::{
    collections::BTreeMap,
    fs,
    io::{BufRead, BufReader, Read, Write},
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        Arc, Condvar, Mutex, MutexGuard,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

pub const FRONTEND_PORT: u16 = 8465;
pub const READY_PORT: u16 = 8460;
pub const CONTROL_PORT: u16 = 8462;
pub const DATABASE_PORT: u16 = 8080;
pub const PROVIDER_PORT: u16 = 8466;
pub const BEAT: Duration = Duration::from_millis(1_200);
pub const ZONES: [&str; 3] = ["khomas-a", "erongo-a", "otjozondjupa-a"];
const REGIONS: [&str; 3] = ["khomas", "erongo", "otjozondjupa"];

/// Longest time that a case may take.
const CASE_LIMIT: Duration = Duration::from_secs(112);

/// Processes that were started and have not been waited for.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all processes that were started, and the case, if it takes too long.
fn watch_limit() {
    thread::spawn(|| {
        thread::sleep(CASE_LIMIT);
        for id in STARTED.lock().unwrap().iter() {
            let _ = Command::new("kill").arg("-KILL").arg(id.to_string()).status();
        }
        println!("exit 2: the case took too long");
        std::process::exit(2);
    });
}

pub fn sleep_ms(millis: u64) {
    thread::sleep(Duration::from_millis(millis));
}

pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}

/// Returns whether the case runs with its disruption.
pub fn with_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

// --- The record ---------------------------------------------------------------------------------

/// The file `record.txt`, with the time since the start of the case before each line.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<fs::File>>,
    began: Instant,
}

impl Record {
    pub fn create() -> Self {
        let path = std::env::var("RECORD").expect("RECORD names the file of the record");
        let file = fs::File::create(path).expect("the record can be written");
        Self {
            file: Arc::new(Mutex::new(file)),
            began: Instant::now(),
        }
    }

    pub fn line(&self, text: &str) {
        let at = self.began.elapsed().as_secs_f64();
        let line = format!("{at:8.3} {text}\n");
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
        if std::env::var("SHOW").is_ok() {
            print!("{line}");
        }
    }
}

// --- HTTP ---------------------------------------------------------------------------------------

/// One HTTP request without following redirects: status, `Location` and body.
fn http_once(
    method: &str,
    address: SocketAddr,
    path: &str,
    body: &str,
    wait: Duration,
) -> Option<(u16, Option<String>, String)> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_millis(500)).ok()?;
    stream.set_read_timeout(Some(wait)).ok()?;
    stream.set_nodelay(true).ok()?;
    let length = body.len();
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\n\
         Content-Length: {length}\r\nConnection: close\r\n\r\n{body}"
    );
    stream.write_all(request.as_bytes()).ok()?;
    let mut bytes = Vec::new();
    let until = Instant::now() + wait;
    let mut part = [0; 16_384];
    loop {
        match stream.read(&mut part) {
            Ok(0) => break,
            Ok(count) => bytes.extend_from_slice(&part[..count]),
            Err(_) => return None,
        }
        if Instant::now() >= until {
            return None;
        }
    }
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let (head, body) = text.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let location = head.lines().find_map(|line| {
        let (name, value) = line.split_once(':')?;
        name.eq_ignore_ascii_case("location")
            .then(|| value.trim().to_owned())
    });
    Some((status, location, body.to_owned()))
}

/// One HTTP request that follows two redirects.
pub fn http(
    method: &str,
    address: SocketAddr,
    path: &str,
    body: &str,
    wait: Duration,
) -> Option<(u16, String)> {
    let mut address = address;
    for _ in 0..3 {
        let (status, location, text) = http_once(method, address, path, body, wait)?;
        if status != 307 {
            return Some((status, text));
        }
        let location = location?;
        let rest = location.strip_prefix("http://")?;
        address = rest.split('/').next()?.parse().ok()?;
    }
    None
}

// --- The platform's processes -------------------------------------------------------------------

/// Loopback addresses of one run, the temporary folder, and the processes that were started.
pub struct Deployment {
    net: (u8, u8),
    folder: PathBuf,
    processes: BTreeMap<String, Child>,
    pub record: Record,
}

impl Deployment {
    pub fn new() -> Self {
        watch_limit();
        let record = Record::create();
        let mut seed = unix_ms() ^ (u64::from(std::process::id()) << 20);
        let net = loop {
            seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            let net = (1 + (seed >> 33) as u8 % 250, 1 + (seed >> 45) as u8 % 250);
            let free = [FRONTEND_PORT, CONTROL_PORT, DATABASE_PORT, PROVIDER_PORT, 7560, 9464];
            let address = Ipv4Addr::new(127, net.0, net.1, 1);
            if free.iter().all(|port| TcpListener::bind((address, *port)).is_ok()) {
                break net;
            }
        };
        let folder = std::env::temp_dir().join(format!("daisyseam-review-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        Self {
            net,
            folder,
            processes: BTreeMap::new(),
            record,
        }
    }

    pub fn ip(&self, host: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.net.0, self.net.1, host))
    }

    pub fn control(&self) -> Vec<SocketAddr> {
        (1..=3).map(|host| SocketAddr::new(self.ip(host), CONTROL_PORT)).collect()
    }

    pub fn frontend(&self, entry: u8) -> SocketAddr {
        SocketAddr::new(self.ip(10 + entry), FRONTEND_PORT)
    }

    pub fn database(&self, number: u8) -> SocketAddr {
        SocketAddr::new(self.ip(20 + number), DATABASE_PORT)
    }

    pub fn provider(&self) -> SocketAddr {
        SocketAddr::new(self.ip(60), PROVIDER_PORT)
    }

    /// Starts three members of control and `entries` entries, as the deploy file says.
    pub fn start(&mut self, entries: u8) {
        for host in 1..=3 {
            self.start_control(host, true);
        }
        for entry in 1..=entries {
            self.start_entry(entry);
        }
    }

    pub fn start_control(&mut self, host: u8, bootstrap: bool) {
        let data = self.folder.join(format!("data-{host}"));
        fs::create_dir_all(&data).expect("a data folder");
        let name = format!("core-{host}");
        let ip = self.ip(host);
        let listen = format!("  control_plane: \"{ip}:{CONTROL_PORT}\"\n");
        let data = format!("\"{}\"", data.display());
        let zone = usize::from(host - 1) % 3;
        self.start_process(&name, "control", ip, zone, bootstrap, &listen, &data);
    }

    pub fn start_entry(&mut self, entry: u8) {
        let ip = self.ip(10 + entry);
        let listen =
            format!("  frontend: \"{ip}:{FRONTEND_PORT}\"\n  ready: \"{ip}:{READY_PORT}\"\n");
        let zone = usize::from(entry - 1) % 3;
        self.start_process(&format!("entry-{entry}"), "entry", ip, zone, true, &listen, "null");
    }

    fn start_process(
        &mut self,
        name: &str,
        role: &str,
        ip: IpAddr,
        zone: usize,
        bootstrap: bool,
        listen: &str,
        data: &str,
    ) {
        let seeds: String = self.control().iter().map(|at| format!("  - \"{at}\"\n")).collect();
        let zones: String = ZONES
            .iter()
            .zip(REGIONS)
            .map(|(zone, region)| format!("  {zone}: \"{region}\"\n"))
            .collect();
        let (zone, region) = (ZONES[zone], REGIONS[zone]);
        let provider = self.provider();
        let text = format!(
            "node_name: \"{name}\"\nrole: \"{role}\"\nip: \"{ip}\"\nzone: \"{zone}\"\n\
             region: \"{region}\"\nzones:\n{zones}bind_addresses:\n{listen}internal_ports:\n  - 7560\n\
             \x20 - 7575\nseed_nodes:\n{seeds}bootstrap: {bootstrap}\nloss_counts: true\n\
             data_dir: {data}\ndiscovery: \"registration\"\nentrypoint: \"vip\"\n\
             heartbeat_interval_ms: 1200\nfault_tolerance:\n  machines: 1\n  zones: 1\n  regions: 1\n\
             bounds:\n  seed_lag_s: 3\n  contact_window_ms: 5000\n  ack_timeout_ms: 6000\n\
             \x20 catch_up_s: 4\n  drain_timeout_ms: 7000\n  grace_period_s: 6\n\
             \x20 config_apply_ms: 4000\n  quota_window_s: 5\n  quota_overshoot: 0.1\n\
             \x20 quota_tolerance: 20\n  evacuation_ms: 5000\n  recovery_s: 12\n\
             \x20 fencing_enforced: false\nconfig_mode: \"highest\"\nprovider:\n\
             \x20 address: \"{provider}\"\n  rate_per_s: 50.0\n  duties:\n    - \"promotion\"\n\
             \x20 duty_per_s: 50.0\n"
        );
        let settings = self.folder.join(format!("{name}.yaml"));
        fs::write(&settings, text).expect("the settings file can be written");
        let root = std::env::var("REPOSITORY").expect("REPOSITORY names the root");
        let program = format!("{root}/target/release/daisyseam-platform-{role}");
        let log = fs::File::create(self.folder.join(format!("{name}.log"))).expect("a log file");
        let mut command = Command::new(program);
        command.current_dir(root).env_clear().env("DAISYSEAM_BOOT", &settings);
        for kept in ["PATH", "HOME", "LANG"] {
            if let Some(value) = std::env::var_os(kept) {
                command.env(kept, value);
            }
        }
        if role == "entry" {
            command.env("DAISYSEAM_METRICS_PORT", "9464");
        }
        let child = command
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("the program is built");
        STARTED.lock().unwrap().push(child.id());
        self.record.line(&format!("process {name} started at {ip}"));
        self.processes.insert(name.to_owned(), child);
    }

    /// Kills a process with SIGKILL.
    pub fn kill(&mut self, name: &str) {
        if let Some(mut child) = self.processes.remove(name) {
            let _ = child.kill();
            STARTED.lock().unwrap().retain(|id| *id != child.id());
            let _ = child.wait();
            self.record.line(&format!("process {name} killed"));
        }
    }

    /// Returns the names of processes that have ended by themselves.
    pub fn ended(&mut self) -> Vec<String> {
        let mut ended = Vec::new();
        for (name, child) in &mut self.processes {
            if let Ok(Some(status)) = child.try_wait() {
                ended.push(format!("{name}: {status}"));
            }
        }
        ended
    }

    /// Asks an entry whether it is ready.
    pub fn is_ready(&self, entry: u8) -> bool {
        let address = SocketAddr::new(self.ip(10 + entry), READY_PORT);
        let answer = http("GET", address, "/readyz", "", Duration::from_secs(1));
        answer.is_some_and(|(status, _)| status == 200)
    }

    /// Waits until entries `1..=entries` are ready; returns whether they were in time.
    pub fn wait_ready(&self, entries: u8, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if (1..=entries).all(|entry| self.is_ready(entry)) {
                self.record.line("all entries are ready");
                return true;
            }
            sleep_ms(100);
        }
        false
    }

    /// Sends an order as the operator does, to one member after the other, until it is answered.
    pub fn order(&self, method: &str, path: &str, body: &str, limit: Duration) -> Option<u16> {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            for member in self.control() {
                if let Some((status, text)) = http(method, member, path, body, Duration::from_secs(1))
                    && status < 500
                {
                    self.record.line(&format!("operator: {method} {path} answered {status} {text}"));
                    return Some(status);
                }
            }
            sleep_ms(100);
        }
        self.record.line(&format!("operator: {method} {path} got no answer"));
        None
    }

    /// Ends every process and removes the temporary folder. A run that failed to start keeps logs.
    pub fn end(&mut self) {
        let names: Vec<String> = self.processes.keys().cloned().collect();
        for name in names {
            self.kill(&name);
        }
        if std::env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        } else {
            println!("kept {}", self.folder.display());
        }
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.end();
    }
}

/// Ends the case: 0 the rule held, 1 it was broken, 2 the case could not run.
pub fn finish(mut deployment: Deployment, code: i32, verdict: &str) -> ! {
    deployment.record.line(&format!("verdict {code}: {verdict}"));
    println!("exit {code}: {verdict}");
    deployment.end();
    std::process::exit(code)
}

// --- Databases ----------------------------------------------------------------------------------

/// One write in a log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LogEntry {
    pub term: u64,
    pub id: String,
    pub item: String,
    pub data: String,
}

/// A statement that a database has run.
#[derive(Clone, Debug)]
pub struct RunStatement {
    pub at: Instant,
    pub database: String,
    pub tenant: String,
    pub id: String,
    pub text: String,
}

#[derive(Clone, Debug)]
pub struct Database {
    pub address: SocketAddr,
    pub zone: String,
    pub alive: bool,
    /// Whether it receives nothing from the primary for a while.
    pub deaf: bool,
    pub draining: bool,
    pub primary: bool,
    pub term: u64,
    pub paused: u64,
    pub log: Vec<LogEntry>,
    pub born: u64,
    pub sequence: u64,
    pub connections: usize,
    /// Increases when all connections break.
    pub generation: u64,
    pub last_ack: Option<Instant>,
}

impl Database {
    fn position(&self) -> String {
        format!("{}.{}", self.term, self.log.len())
    }

    /// Returns whether the log has a position.
    fn has(&self, term: u64, number: usize) -> bool {
        self.term >= term
            && self.log.len() >= number
            && (number == 0 || self.log[number - 1].term <= term)
    }

    fn status(&self) -> String {
        let role = if self.primary { "primary" } else { "replica" };
        let (term, end, paused, connections) =
            (self.term, self.position(), self.paused, self.connections);
        format!("{role} {term} {end} {paused} 8 0 {connections}")
    }
}

#[derive(Default)]
struct ServiceState {
    databases: BTreeMap<String, Database>,
    ran: Vec<RunStatement>,
    promoted: Vec<String>,
}

/// A service: one primary and its replicas. Clones share their state.
#[derive(Clone)]
pub struct Service {
    pub name: String,
    sync: usize,
    shared: Arc<(Mutex<ServiceState>, Condvar)>,
    record: Record,
    running: Arc<AtomicBool>,
}

impl Service {
    pub fn new(name: &str, sync: usize, record: &Record) -> Self {
        let service = Self {
            name: name.to_owned(),
            sync,
            shared: Arc::default(),
            record: record.clone(),
            running: Arc::new(AtomicBool::new(true)),
        };
        let replicating = service.clone();
        thread::spawn(move || {
            while replicating.running.load(Ordering::SeqCst) {
                replicating.replicate();
                sleep_ms(4);
            }
        });
        service
    }

    fn lock(&self) -> MutexGuard<'_, ServiceState> {
        self.shared.0.lock().unwrap()
    }

    /// Adds a database and serves it; the first one is the primary of term 1.
    pub fn add(&self, id: &str, zone: &str, address: SocketAddr) {
        let mut state = self.lock();
        let first = state.databases.is_empty();
        let source = state.databases.values().find(|other| other.primary).cloned();
        state.databases.insert(
            id.to_owned(),
            Database {
                address,
                zone: zone.to_owned(),
                alive: true,
                deaf: false,
                draining: false,
                primary: first,
                term: source.as_ref().map_or(1, |source| source.term),
                paused: 0,
                log: source.map_or_else(Vec::new, |source| source.log),
                born: unix_ms(),
                sequence: 0,
                connections: 0,
                generation: 0,
                last_ack: None,
            },
        );
        drop(state);
        let listener = TcpListener::bind(address).expect("a free address for a database");
        let (service, id) = (self.clone(), id.to_owned());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (service, id) = (service.clone(), id.clone());
                if service.get(&id).alive {
                    thread::spawn(move || Session::serve(service, id, stream));
                }
            }
        });
    }

    pub fn get(&self, id: &str) -> Database {
        self.lock().databases[id].clone()
    }

    pub fn change<T>(&self, id: &str, change: impl FnOnce(&mut Database) -> T) -> T {
        let output = change(self.lock().databases.get_mut(id).expect("a known database"));
        self.shared.1.notify_all();
        output
    }

    /// Returns the alive primary of the newest term.
    pub fn primary(&self) -> Option<String> {
        let state = self.lock();
        let leading = state.databases.iter().filter(|(_, database)| database.primary && database.alive);
        leading.max_by_key(|(_, database)| database.term).map(|(id, _)| id.clone())
    }

    pub fn ran(&self) -> Vec<RunStatement> {
        self.lock().ran.clone()
    }

    pub fn promoted(&self) -> Vec<String> {
        self.lock().promoted.clone()
    }

    /// A crash: all connections break, nothing is sent any more; the log is kept.
    pub fn crash(&self, id: &str) {
        self.change(id, |database| {
            database.alive = false;
            database.generation += 1;
            database.connections = 0;
        });
        self.record.line(&format!("database {id} crashed"));
    }

    /// Starts a database again under its id. It holds nothing of before, and its counts start anew.
    pub fn start_again(&self, id: &str) {
        let born = self.change(id, |database| {
            database.alive = true;
            database.draining = false;
            database.primary = false;
            database.term = 0;
            database.paused = 0;
            database.log.clear();
            database.sequence = 0;
            database.born = unix_ms();
            database.born
        });
        self.record.line(&format!("database {id} started again, born {born}"));
    }

    /// Replicas receive what the primary of the newest term has.
    fn replicate(&self) {
        let mut state = self.lock();
        let mut sources: Vec<Database> = state
            .databases
            .values()
            .filter(|database| database.primary && database.alive)
            .cloned()
            .collect();
        sources.sort_by_key(|source| source.term);
        let mut changed = false;
        for source in sources {
            for target in state.databases.values_mut() {
                let follows = target.alive
                    && !target.deaf
                    && !target.primary
                    && target.paused == 0
                    && target.term <= source.term;
                if follows && (target.log != source.log || target.term != source.term) {
                    target.log.clone_from(&source.log);
                    target.term = source.term;
                    changed = true;
                }
            }
        }
        drop(state);
        if changed {
            self.shared.1.notify_all();
        }
    }

    /// Appends writes at a primary and waits until enough replicas have received them.
    fn commit(&self, id: &str, writes: Vec<LogEntry>, generation: u64) -> Result<(), String> {
        let mut state = self.lock();
        let database = state.databases.get_mut(id).expect("a known database");
        if !database.primary {
            return Err(format!("READONLY {id}"));
        }
        let term = database.term;
        database.log.extend(writes.into_iter().map(|write| LogEntry { term, ..write }));
        let end = database.log.len();
        let until = Instant::now() + Duration::from_secs(10);
        loop {
            let replicas = state.databases.iter().filter(|(name, database)| {
                *name != id && database.term == term && !database.primary && database.log.len() >= end
            });
            let enough = replicas.count() >= self.sync;
            let own = &state.databases[id];
            if own.generation != generation || Instant::now() >= until {
                return Err("TIMEOUT".to_owned());
            }
            if enough {
                return Ok(());
            }
            let wait = Duration::from_millis(20);
            state = self.shared.1.wait_timeout(state, wait).unwrap().0;
        }
    }

    /// The platform's `POST /promote`: a while later the database leads the next term.
    fn promote(&self, id: &str) -> u16 {
        let known = self.lock().databases.get(id).cloned();
        let Some(database) = known.filter(|database| database.alive) else {
            return 409;
        };
        let newest = self.lock().databases.values().map(|other| other.term).max().unwrap_or(0);
        if database.primary && database.term == newest {
            return 200;
        }
        let (service, id) = (self.clone(), id.to_owned());
        thread::spawn(move || {
            sleep_ms(300);
            let mut state = service.lock();
            let term = state.databases.values().map(|other| other.term).max().unwrap_or(0) + 1;
            let Some(database) = state.databases.get_mut(&id).filter(|database| database.alive) else {
                return;
            };
            database.primary = true;
            database.term = term;
            database.paused = 0;
            let position = database.position();
            state.promoted.push(id.clone());
            drop(state);
            service.shared.1.notify_all();
            service.record.line(&format!("database {id} leads term {term} from {position}"));
            sleep_ms(1_000);
            for other in service.lock().databases.values_mut() {
                // A former primary that can reach the new one becomes its replica.
                if other.primary && other.term < term && other.alive {
                    other.primary = false;
                }
            }
        });
        200
    }

    /// Sends the pings of a database, as PROTOCOL.md says, until it crashes or is told to stop.
    pub fn ping(&self, id: &str, control: Vec<SocketAddr>, pings: Arc<AtomicBool>) {
        let (service, id) = (self.clone(), id.to_owned());
        thread::spawn(move || {
            let mut target: Option<SocketAddr> = None;
            let mut next = 0;
            let mut shown = String::new();
            while pings.load(Ordering::SeqCst) && service.running.load(Ordering::SeqCst) {
                let began = Instant::now();
                let database = service.change(&id, |database| {
                    database.sequence += 1;
                    database.clone()
                });
                if database.alive {
                    let body = ping_body(&service.name, &database);
                    let path = format!("/instances/{id}");
                    let mut answered = false;
                    for _ in 0..4 {
                        let address = target.unwrap_or(control[next % control.len()]);
                        let answer = http("PUT", address, &path, &body, Duration::from_secs(1));
                        if let Some((status, text)) = answer
                            && (200..300).contains(&status)
                        {
                            target = text
                                .split("heartbeat_url\":\"")
                                .nth(1)
                                .and_then(|rest| rest.split('"').next()?.parse().ok());
                            answered = true;
                            break;
                        }
                        target = None;
                        next += 1;
                    }
                    if answered {
                        service.change(&id, |database| database.last_ack = Some(Instant::now()));
                    }
                    let seen = format!("{} {} {answered}", database.born, database.draining);
                    if seen != shown {
                        let state = if database.draining { "draining" } else { "ready" };
                        service.record.line(&format!(
                            "ping of {id}: born {} sequence {} state {state}, acknowledged: {answered}",
                            database.born, database.sequence
                        ));
                        shown = seen;
                    }
                }
                // A change of the state or of the role is reported at once.
                let told = (database.draining, database.primary, database.born);
                while began.elapsed() < BEAT {
                    sleep_ms(10);
                    let now = service.get(&id);
                    if (now.draining, now.primary, now.born) != told {
                        break;
                    }
                }
            }
        });
    }

    pub fn stop(&self) {
        self.running.store(false, Ordering::SeqCst);
    }
}

pub fn ping_body(service: &str, database: &Database) -> String {
    let state = if database.draining { "draining" } else { "ready" };
    let role = if database.primary { "primary" } else { "replica" };
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
         \"capacity\":5,\"state\":\"{state}\",\"warmup_left_ms\":0,\"db_role\":\"{role}\",\
         \"sequence\":{},\"born\":{}}}",
        database.address, database.zone, database.sequence, database.born
    )
}

/// Serves `POST /promote` of the platform.
pub fn serve_provider(address: SocketAddr, services: Vec<Service>, record: &Record) {
    let listener = TcpListener::bind(address).expect("a free address for the platform");
    let record = record.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (services, record) = (services.clone(), record.clone());
            thread::spawn(move || serve_promotions(stream, &services, &record));
        }
    });
}

fn serve_promotions(mut stream: TcpStream, services: &[Service], record: &Record) -> Option<()> {
    let mut lines = BufReader::new(stream.try_clone().ok()?);
    loop {
        let mut head = String::new();
        let (mut length, mut fence, mut holder) = (0, String::new(), String::new());
        loop {
            let mut line = String::new();
            if lines.read_line(&mut line).ok()? == 0 {
                return None;
            }
            if line == "\r\n" {
                break;
            }
            if let Some((name, value)) = line.split_once(':') {
                let value = value.trim().to_owned();
                match name.to_ascii_lowercase().as_str() {
                    "content-length" => length = value.parse().ok()?,
                    "x-daisyseam-fencing-token" => fence = value,
                    "x-daisyseam-lease-holder" => holder = value,
                    _ => {}
                }
            }
            head += &line;
        }
        let mut body = vec![0; length];
        lines.read_exact(&mut body).ok()?;
        let body = String::from_utf8_lossy(&body).into_owned();
        let field = |name: &str| {
            let rest = body.split(&format!("\"{name}\":\"")).nth(1)?;
            Some(rest.split('"').next()?.to_owned())
        };
        let service = services.iter().find(|known| Some(&known.name) == field("service").as_ref());
        let status = match (service, field("id")) {
            (Some(service), Some(id)) => service.promote(&id),
            _ => 409,
        };
        record.line(&format!("platform: promote {body} by {holder} token {fence} answered {status}"));
        let answer = format!("HTTP/1.1 {status} OK\r\nContent-Length: 0\r\n\r\n");
        stream.write_all(answer.as_bytes()).ok()?;
    }
}

#[derive(Clone, Copy, Eq, PartialEq)]
enum SessionState {
    Idle,
    Reading,
    Writing,
    Failed,
}

/// One connection to a database.
struct Session {
    service: Service,
    id: String,
    tenant: String,
    generation: u64,
    state: SessionState,
    writes: Vec<LogEntry>,
    prepared: BTreeMap<String, String>,
}

impl Session {
    fn serve(service: Service, id: String, stream: TcpStream) {
        let generation = service.change(&id, |database| {
            database.connections += 1;
            database.generation
        });
        let mut session = Self {
            service,
            id,
            tenant: String::new(),
            generation,
            state: SessionState::Idle,
            writes: Vec::new(),
            prepared: BTreeMap::new(),
        };
        session.run(stream);
        let generation = session.generation;
        session.service.change(&session.id, |database| {
            if database.generation == generation {
                database.connections -= 1;
            }
        });
    }

    fn run(&mut self, mut stream: TcpStream) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(Duration::from_millis(20))).ok()?;
        let mut buffer = Vec::new();
        let start = self.next_line(&mut stream, &mut buffer)?;
        let fields: Vec<&str> = start.split(' ').collect();
        let expected = fields.get(3).is_none_or(|id| *id == self.id);
        if fields.len() < 3 || fields[0] != "STARTUP" || fields[1] != self.service.name || !expected {
            let _ = stream.write_all(format!("ERROR MOVED {}\r\n", self.id).as_bytes());
            return None;
        }
        self.tenant = fields[2].to_owned();
        // A new connection takes some time.
        sleep_ms(10);
        let position = self.service.get(&self.id).position();
        stream.write_all(format!("READY I {position}\r\n").as_bytes()).ok()?;
        loop {
            let line = self.next_line(&mut stream, &mut buffer)?;
            let rest = line.strip_prefix("QUERY ")?;
            let (id, text) = rest.split_once(' ')?;
            let outcome = self.query(id, text);
            let database = self.service.get(&self.id);
            if !database.alive || database.generation != self.generation {
                return None;
            }
            let state = match self.state {
                SessionState::Idle => "I",
                SessionState::Reading | SessionState::Writing => "T",
                SessionState::Failed => "E",
            };
            let mut answer = String::new();
            match outcome {
                Ok((rows, receipt)) => {
                    for row in rows {
                        answer += &format!("DATAROW {row}\r\n");
                    }
                    answer += &format!("COMPLETE {receipt}\r\n");
                }
                Err(error) => answer += &format!("ERROR {error}\r\n"),
            }
            answer += &format!("READY {state} {}\r\n", database.position());
            stream.write_all(answer.as_bytes()).ok()?;
        }
    }

    /// Returns the next line; `None` at the end or when the database crashes.
    fn next_line(&self, stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<String> {
        loop {
            if let Some(at) = buffer.windows(2).position(|bytes| bytes == b"\r\n") {
                let line: Vec<u8> = buffer.drain(..at + 2).collect();
                return Some(String::from_utf8_lossy(&line[..at]).into_owned());
            }
            let mut part = [0; 4_096];
            match stream.read(&mut part) {
                Ok(0) => return None,
                Ok(count) => buffer.extend_from_slice(&part[..count]),
                Err(error) => match error.kind() {
                    std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut => {}
                    _ => return None,
                },
            }
            if self.service.get(&self.id).generation != self.generation {
                return None;
            }
        }
    }

    fn query(&mut self, id: &str, text: &str) -> Result<(Vec<String>, String), String> {
        let (floor, text) = match text.strip_prefix("WAITLSN ") {
            Some(rest) => {
                let (floor, text) = rest.split_once(' ').ok_or("MALFORMED")?;
                (Some(floor), text)
            }
            None => (None, text),
        };
        let (command, rest) = text.split_once(' ').unwrap_or((text, ""));
        let ends = matches!(command, "COMMIT" | "ROLLBACK" | "DISCARD");
        if self.state == SessionState::Failed && !ends {
            return Err("MALFORMED the transaction failed".to_owned());
        }
        if let Some(floor) = floor {
            self.wait_for(floor)?;
        }
        let outcome = self.perform(id, text, command, rest);
        let runs = matches!(command, "FETCH" | "STORE" | "EXECUTE");
        if runs
            && outcome.is_err()
            && matches!(self.state, SessionState::Reading | SessionState::Writing)
        {
            self.state = SessionState::Failed;
            self.writes.clear();
        }
        outcome
    }

    fn perform(
        &mut self,
        id: &str,
        text: &str,
        command: &str,
        rest: &str,
    ) -> Result<(Vec<String>, String), String> {
        let done = Ok((Vec::new(), "-".to_owned()));
        match (command, rest) {
            ("STATUS", _) => Ok((vec![self.service.get(&self.id).status()], "-".to_owned())),
            ("PAUSE", term) => {
                let term: u64 = term.parse().map_err(|_| "MALFORMED")?;
                let row = self.service.change(&self.id, |database| {
                    let able = !database.primary && term > database.term && term >= database.paused;
                    able.then(|| {
                        database.paused = term;
                        database.status()
                    })
                });
                row.map(|row| (vec![row], "-".to_owned())).ok_or("MALFORMED".to_owned())
            }
            ("RESUME", _) => {
                let row = self.service.change(&self.id, |database| {
                    database.paused = 0;
                    database.status()
                });
                Ok((vec![row], "-".to_owned()))
            }
            ("STEPDOWN", term) => {
                let term: u64 = term.parse().map_err(|_| "MALFORMED")?;
                let row = self.service.change(&self.id, |database| {
                    if database.term < term {
                        database.primary = false;
                    }
                    database.status()
                });
                Ok((vec![row], "-".to_owned()))
            }
            ("BEGIN", "FETCH") => {
                self.state = SessionState::Reading;
                done
            }
            ("BEGIN", _) => {
                if !self.service.get(&self.id).primary {
                    return Err(format!("READONLY {}", self.id));
                }
                self.state = SessionState::Writing;
                done
            }
            ("COMMIT", _) => {
                let failed = self.state == SessionState::Failed;
                self.state = SessionState::Idle;
                let writes = std::mem::take(&mut self.writes);
                if failed {
                    return Err("ABORTED".to_owned());
                }
                self.note(id, text);
                if !writes.is_empty() {
                    self.service.commit(&self.id, writes, self.generation)?;
                }
                Ok((Vec::new(), self.receipt(id)))
            }
            ("ROLLBACK", _) => {
                self.state = SessionState::Idle;
                self.writes.clear();
                done
            }
            ("SET", _) => done,
            ("DISCARD", _) => {
                self.prepared.clear();
                done
            }
            ("PREPARE", _) => {
                let (name, statement) = rest.split_once(' ').ok_or("MALFORMED")?;
                self.prepared.insert(name.to_owned(), statement.to_owned());
                done
            }
            ("EXECUTE", _) => {
                let (name, arguments) = rest.split_once(' ').ok_or("MALFORMED")?;
                let statement = self.prepared.get(name).cloned().ok_or("NOSTMT")?;
                let kind = statement.split(' ').next().unwrap_or("").to_owned();
                self.statement(id, text, &kind, arguments)
            }
            ("FETCH" | "STORE", _) => self.statement(id, text, command, rest),
            _ => Err("MALFORMED".to_owned()),
        }
    }

    fn statement(
        &mut self,
        id: &str,
        text: &str,
        kind: &str,
        rest: &str,
    ) -> Result<(Vec<String>, String), String> {
        let write = kind == "STORE";
        let needs_primary = write || self.state == SessionState::Writing;
        let primary = self.service.get(&self.id).primary;
        if needs_primary && !primary || write && self.state == SessionState::Reading {
            return Err(format!("READONLY {}", self.id));
        }
        // The work of a statement.
        sleep_ms(3);
        self.note(id, text);
        if !write {
            return Ok((vec![self.value(rest)], self.receipt(id)));
        }
        let (item, data) = rest.split_once(' ').ok_or("MALFORMED")?;
        let entry = LogEntry {
            term: 0,
            id: id.to_owned(),
            item: item.to_owned(),
            data: data.to_owned(),
        };
        match self.state {
            SessionState::Writing => self.writes.push(entry),
            _ => self.service.commit(&self.id, vec![entry], self.generation)?,
        }
        Ok((Vec::new(), self.receipt(id)))
    }

    fn wait_for(&self, floor: &str) -> Result<(), String> {
        let (term, number) = floor.split_once('.').ok_or("MALFORMED")?;
        let term: u64 = term.parse().map_err(|_| "MALFORMED")?;
        let number: usize = number.parse().map_err(|_| "MALFORMED")?;
        match self.service.get(&self.id).has(term, number) {
            true => Ok(()),
            false => Err("LAGGING".to_owned()),
        }
    }

    fn value(&self, item: &str) -> String {
        let database = self.service.get(&self.id);
        let written = database.log.iter().chain(&self.writes).rev();
        let found = written.into_iter().find(|write| write.item == item);
        found.map_or_else(|| "nothing".to_owned(), |write| write.data.clone())
    }

    fn note(&self, id: &str, text: &str) {
        let tenant = &self.tenant;
        if id != "-" {
            let name = &self.id;
            self.service.record.line(&format!("run at {name} for {tenant}: {id} {text}"));
        }
        self.service.lock().ran.push(RunStatement {
            at: Instant::now(),
            database: self.id.clone(),
            tenant: tenant.clone(),
            id: id.to_owned(),
            text: text.to_owned(),
        });
    }

    fn receipt(&self, id: &str) -> String {
        format!("{}.{id}", self.id)
    }
}

// --- Consumers ----------------------------------------------------------------------------------

/// The reply to one request.
#[derive(Clone, Debug)]
pub struct Reply {
    pub rows: Vec<String>,
    /// The receipt, or the code of the error.
    pub outcome: Result<String, String>,
    pub state: String,
    pub position: String,
}

/// A consumer's session.
pub struct Consumer {
    stream: BufReader<TcpStream>,
    name: String,
    number: u64,
    record: Record,
}

impl Consumer {
    /// Opens a session; the error is the code.
    pub fn open(name: &str, frontend: SocketAddr, host: &str, key: &str, record: &Record) -> Result<Self, String> {
        let stream = TcpStream::connect_timeout(&frontend, Duration::from_secs(1));
        let stream = stream.map_err(|error| error.to_string())?;
        stream.set_read_timeout(Some(Duration::from_secs(12))).unwrap();
        stream.set_nodelay(true).unwrap();
        let mut consumer = Self {
            stream: BufReader::new(stream),
            name: name.to_owned(),
            number: 0,
            record: record.clone(),
        };
        consumer.send(&format!("STARTUP {host} {key}"));
        let line = consumer.line().unwrap_or_default();
        record.line(&format!("consumer {name}: STARTUP {host} {key} -> {line}"));
        match line.split_once(' ') {
            Some(("READY", _)) => Ok(consumer),
            Some(("ERROR", code)) => Err(code.to_owned()),
            _ => Err("no answer".to_owned()),
        }
    }

    fn send(&mut self, line: &str) {
        let _ = self.stream.get_mut().write_all(format!("{line}\r\n").as_bytes());
    }

    fn line(&mut self) -> Option<String> {
        let mut line = String::new();
        self.stream.read_line(&mut line).ok().filter(|count| *count > 0)?;
        line.strip_suffix("\r\n").map(str::to_owned)
    }

    /// Sends a request; returns its id and the reply, or `None` if the connection ended.
    pub fn request(&mut self, text: &str) -> (String, Option<Reply>) {
        self.number += 1;
        let id = format!("{}{:08x}", self.name, self.number);
        self.record.line(&format!("consumer {}: sends {id} {text}", self.name));
        self.send(&format!("QUERY {id} {text}"));
        let reply = self.reply();
        let shown = match &reply {
            Some(reply) => format!("{:?} rows {:?} state {} at {}", reply.outcome, reply.rows, reply.state, reply.position),
            None => "no answer".to_owned(),
        };
        self.record.line(&format!("consumer {}: answer to {id}: {shown}", self.name));
        (id, reply)
    }

    fn reply(&mut self) -> Option<Reply> {
        let (mut rows, mut outcome) = (Vec::new(), None);
        loop {
            let line = self.line()?;
            let (word, rest) = line.split_once(' ')?;
            match word {
                "DATAROW" => rows.push(rest.to_owned()),
                "COMPLETE" => outcome = Some(Ok(rest.to_owned())),
                "ERROR" => outcome = Some(Err(rest.split(' ').next()?.to_owned())),
                "READY" => {
                    let (state, position) = rest.split_once(' ')?;
                    return Some(Reply {
                        rows,
                        outcome: outcome?,
                        state: state.to_owned(),
                        position: position.to_owned(),
                    });
                }
                _ => return None,
            }
        }
    }
}

// --- The manifest -------------------------------------------------------------------------------

/// A route of a manifest.
pub struct Route<'a> {
    pub host: &'a str,
    pub kind: &'a str,
    pub service: &'a str,
    pub max_staleness_ms: Option<u64>,
}

/// Renders a manifest like the one that PROTOCOL.md shows.
pub fn manifest(version: u64, routes: &[Route<'_>], services: &[(&str, u64)], tenants: &[(&str, &[&str])]) -> String {
    let routes: Vec<String> = routes
        .iter()
        .map(|route| {
            let staleness = route
                .max_staleness_ms
                .map_or_else(String::new, |bound| format!("\"max_staleness_ms\":{bound},"));
            format!(
                "{{\"name\":\"r-{0}\",\"host\":\"{0}\",\"path_prefix\":\"/\",\"kind\":\"{1}\",\
                 \"timeout_ms\":1000,\"target_latency_ms\":800,\"priority\":1,\"service\":\"{2}\",\
                 \"max_attempts\":2,{staleness}\"public\":false,\"allowed_regions\":[]}}",
                route.host, route.kind, route.service
            )
        })
        .collect();
    let services: Vec<String> = services
        .iter()
        .map(|(name, sync)| {
            format!(
                "{{\"name\":\"{name}\",\"health_path\":\"/healthz\",\"max_connections\":50,\
                 \"protocol\":\"h1\",\"tls\":false,\"warmup_s\":0.0,\"warmup_per_s\":0.0,\
                 \"sync_replicas\":{sync}}}"
            )
        })
        .collect();
    let tenants: Vec<String> = tenants
        .iter()
        .map(|(name, keys)| {
            let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
            format!(
                "{{\"name\":\"{name}\",\"api_keys\":[{}],\"priority\":1,\"rate_per_s\":200,\
                 \"burst\":200,\"allowed_regions\":[]}}",
                keys.join(",")
            )
        })
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{{\
         \"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000,\"tx_idle_ms\":3000}},\"tenants\":[{}]}}",
        routes.join(","),
        services.join(","),
        tenants.join(",")
    )
}
