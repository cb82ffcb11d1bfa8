//! A small deployment for the scripts of the third review: the project's own programs as separate
//! processes on loopback, and stand-ins for databases, the platform, the operator and consumers.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    env, fs,
    io::{
        Read,
        Write, //
    },
    net::{
        Shutdown,
        SocketAddr,
        TcpListener,
        TcpStream, //
    },
    panic::{
        self,
        AssertUnwindSafe, //
    },
    path::{
        Path,
        PathBuf, //
    },
    process::{
        Child,
        Command,
        Stdio, //
    },
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError,
        atomic::{
            AtomicBool,
            AtomicU64,
            Ordering, //
        }, //
    },
    thread,
    time::{
        Duration,
        Instant,
        SystemTime, //
    },
};

/// Interval between two pings of a database, as in the settings.
const BEAT: Duration = Duration::from_millis(1_200);
/// Time after the call at which a promotion takes effect.
const PROMOTE_TIME: Duration = Duration::from_millis(300);
/// Time after which replicas have received a commit.
const REPLICATION_TIME: Duration = Duration::from_millis(5);
/// Time that a statement takes at a database.
const WORK_TIME: Duration = Duration::from_millis(4);
/// Longest run of a script; all processes are ended then.
const RUN_LIMIT: Duration = Duration::from_secs(112);

const SERVICE: &str = "ledger";
const KEY: &str = "key-of-the-only-tenant";
const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The record of a run: what was sent, answered and run.
#[derive(Clone)]
struct Record {
    began: Instant,
    file: Arc<Mutex<fs::File>>,
}

impl Record {
    fn note(&self, text: impl AsRef<str>) {
        let at = self.began.elapsed().as_secs_f64();
        let mut file = lock(&self.file);
        // A run without a record is judged by its exit code.
        let _ = writeln!(file, "{at:9.3} {}", text.as_ref());
    }
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Position {
    term: u64,
    number: u64,
}

impl Position {
    fn parse(text: &str) -> Option<Self> {
        let (term, number) = text.split_once('.')?;
        Some(Self {
            term: term.parse().ok()?,
            number: number.parse().ok()?,
        })
    }
}

/// One process of a database.
struct Database {
    id: String,
    address: SocketAddr,
    zone: &'static str,
    runs: bool,
    /// Counts the processes, so that threads of a former one end.
    process: u64,
    born_ms: u64,
    is_primary: bool,
    draining: bool,
    term: u64,
    paused_term: u64,
    /// Items in the order of their commits.
    log: Vec<String>,
    sequence: u64,
    ping_to: Option<SocketAddr>,
    sockets: Vec<TcpStream>,
}

impl Database {
    fn position(&self) -> Position {
        Position {
            term: self.term,
            number: self.log.len() as u64,
        }
    }

    fn status(&self) -> String {
        let role = if self.is_primary {
            "primary"
        } else {
            "replica"
        };
        let at = self.position();
        let known = self.term;
        let connections = self.sockets.len();
        format!(
            "{role} {known} {}.{} {} 0 0 {connections}",
            at.term, at.number, self.paused_term
        )
    }
}

/// What the stand-ins know; databases of the only service by index.
struct World {
    databases: Vec<Database>,
    control: Vec<SocketAddr>,
    /// Items whose write was acknowledged to a consumer.
    acknowledged: BTreeSet<String>,
    /// Items that a database has committed, with how often.
    committed: BTreeMap<String, u32>,
    newest_term: u64,
    lost: Vec<String>,
    /// Reads that lacked a commit which was acknowledged before.
    stale: Vec<String>,
    reads: u64,
    promotions: u32,
    fences: Vec<(u64, String)>,
}

#[derive(Clone)]
struct Fleet {
    world: Arc<Mutex<World>>,
    record: Record,
    over: Arc<AtomicBool>,
    sent: Arc<AtomicU64>,
}

impl Fleet {
    fn world(&self) -> MutexGuard<'_, World> {
        lock(&self.world)
    }

    fn is_over(&self) -> bool {
        self.over.load(Ordering::SeqCst)
    }

    /// Starts a process of a database. It pings for the first time after `first_ping`.
    fn start_database(&self, index: usize, first_ping: Duration) {
        let (address, process, id) = {
            let mut world = self.world();
            let database = &mut world.databases[index];
            database.runs = true;
            database.process += 1;
            database.born_ms = unix_ms();
            database.sequence = 0;
            database.ping_to = None;
            (database.address, database.process, database.id.clone())
        };
        // A process that has just ended may still listen for a moment.
        let mut bound = TcpListener::bind(address);
        wait_until(Duration::from_secs(2), || {
            if bound.is_err() {
                bound = TcpListener::bind(address);
            }
            bound.is_ok()
        });
        let listener = bound.unwrap_or_else(|error| {
            panic!("cannot listen on {address}: {error}");
        });
        listener
            .set_nonblocking(true)
            .expect("a listener can be polled");
        self.record
            .note(format!("database {id} starts at {address}"));
        let fleet = self.clone();
        thread::spawn(move || fleet.accept(index, process, &listener));
        let fleet = self.clone();
        thread::spawn(move || {
            thread::sleep(first_ping);
            while fleet.is_current(index, process) {
                fleet.ping(index, process);
                thread::sleep(BEAT);
            }
        });
    }

    /// Ends the process of a database; its connections break.
    fn end_database(&self, index: usize) {
        let mut world = self.world();
        let database = &mut world.databases[index];
        database.runs = false;
        database.process += 1;
        for socket in database.sockets.drain(..) {
            let _ = socket.shutdown(Shutdown::Both);
        }
        let id = database.id.clone();
        drop(world);
        self.record.note(format!("database {id} ends"));
    }

    /// Has a database leave as planned: it says so, serves on for the drain time, deregisters and ends.
    fn leave(&self, index: usize, serves_for: Duration) {
        let process = {
            let mut world = self.world();
            world.databases[index].draining = true;
            world.databases[index].process
        };
        let id = self.world().databases[index].id.clone();
        self.record
            .note(format!("database {id} says that it leaves"));
        self.ping(index, process);
        thread::sleep(serves_for);
        let path = format!("/instances/{id}");
        if !order(self, "DELETE", &path, "", Duration::from_secs(5)) {
            self.record
                .note(format!("database {id} ends without a confirmation"));
        }
        self.end_database(index);
    }

    /// Starts a new database with the log of one that has left, at its address; it pings at once.
    fn succeed(&self, former: usize) {
        let index = {
            let mut world = self.world();
            let index = world.databases.len();
            let former = &world.databases[former];
            let successor = Database {
                id: format!("i-{index}a{index}b"),
                address: former.address,
                zone: former.zone,
                runs: false,
                process: 0,
                born_ms: 0,
                is_primary: false,
                draining: false,
                term: former.term,
                paused_term: 0,
                log: former.log.clone(),
                sequence: 0,
                ping_to: None,
                sockets: Vec::new(),
            };
            world.databases.push(successor);
            index
        };
        self.start_database(index, millis(10));
    }

    /// Forgets all that a process held, as a database that starts again under its id.
    fn forget(&self, index: usize) {
        let mut world = self.world();
        let database = &mut world.databases[index];
        database.is_primary = false;
        database.term = 0;
        database.paused_term = 0;
        database.log.clear();
        database.draining = false;
    }

    fn is_current(&self, index: usize, process: u64) -> bool {
        let world = self.world();
        let database = &world.databases[index];
        !self.is_over() && database.runs && database.process == process
    }

    fn accept(&self, index: usize, process: u64, listener: &TcpListener) {
        while self.is_current(index, process) {
            match listener.accept() {
                Ok((socket, _)) => {
                    let _ = socket.set_nonblocking(false);
                    let _ = socket.set_nodelay(true);
                    if let Ok(copy) = socket.try_clone() {
                        self.world().databases[index].sockets.push(copy);
                    }
                    let fleet = self.clone();
                    thread::spawn(move || fleet.serve_connection(index, process, socket));
                }
                Err(_) => thread::sleep(millis(2)),
            }
        }
    }

    fn serve_connection(&self, index: usize, process: u64, socket: TcpStream) {
        let Ok(writer) = socket.try_clone() else {
            return;
        };
        let mut lines = Lines::new(socket);
        let mut writer = writer;
        let mut open = false;
        while let Some(line) = lines.next() {
            if !self.is_current(index, process) {
                return;
            }
            let answer = match (line.split_once(' '), open) {
                (Some(("STARTUP", rest)), false) => {
                    open = true;
                    self.startup(index, rest)
                }
                (Some(("QUERY", rest)), true) => self.query(index, process, rest),
                _ => None,
            };
            let Some(answer) = answer else {
                return;
            };
            let refused = answer.starts_with("ERROR") && !answer.contains("READY");
            if writer.write_all(answer.as_bytes()).is_err() || refused {
                return;
            }
        }
    }

    fn startup(&self, index: usize, rest: &str) -> Option<String> {
        let world = self.world();
        let database = &world.databases[index];
        let fields: Vec<&str> = rest.split(' ').collect();
        let expected = fields.get(2).copied().unwrap_or(&database.id);
        if fields.first() != Some(&SERVICE) || expected != database.id {
            return Some(format!("ERROR MOVED {}\r\n", database.id));
        }
        let at = database.position();
        Some(format!("READY I {}.{}\r\n", at.term, at.number))
    }

    /// Runs a query; `None` if it gets no answer.
    fn query(&self, index: usize, process: u64, rest: &str) -> Option<String> {
        let (id, text) = rest.split_once(' ')?;
        let (least, text) = match text.strip_prefix("WAITLSN ") {
            Some(rest) => {
                let (at, text) = rest.split_once(' ')?;
                (Position::parse(at), text)
            }
            None => (None, text),
        };
        let (verb, rest) = text.split_once(' ').unwrap_or((text, ""));
        if matches!(verb, "FETCH" | "STORE") {
            thread::sleep(WORK_TIME);
        }
        let mut world = self.world();
        let database = &mut world.databases[index];
        if !database.runs || database.process != process {
            return None;
        }
        let mut rows = String::new();
        let outcome = match verb {
            _ if least.is_some_and(|least| database.position() < least) => {
                "ERROR LAGGING behind".into()
            }
            "STATUS" => {
                rows = format!("DATAROW {}\r\n", database.status());
                "COMPLETE -".into()
            }
            "PAUSE" | "STEPDOWN" | "RESUME" => {
                let term: u64 = rest.parse().unwrap_or(0);
                match verb {
                    "PAUSE" if !database.is_primary && term > database.term => {
                        database.paused_term = term;
                    }
                    "STEPDOWN" if database.is_primary && database.term < term => {
                        database.is_primary = false;
                    }
                    "RESUME" => database.paused_term = 0,
                    _ => {}
                }
                rows = format!("DATAROW {}\r\n", database.status());
                let name = database.id.clone();
                self.record
                    .note(format!("{name} runs {text}: {}", rows.trim_end()));
                "COMPLETE -".into()
            }
            "DISCARD" => "COMPLETE -".to_owned(),
            "FETCH" => {
                let found = database.log.iter().any(|item| item == rest);
                rows = format!("DATAROW {}\r\n", if found { rest } else { "none" });
                format!("COMPLETE r.{id}")
            }
            "STORE" if !database.is_primary => format!("ERROR READONLY {}", database.id),
            "STORE" => {
                drop(world);
                return self.commit(index, process, id, rest);
            }
            _ => "ERROR MALFORMED not spoken here".into(),
        };
        let at = world.databases[index].position();
        Some(format!(
            "{rows}{outcome}\r\nREADY I {}.{}\r\n",
            at.term, at.number
        ))
    }

    /// Commits a write, and answers once a replica has received it.
    fn commit(&self, index: usize, process: u64, id: &str, rest: &str) -> Option<String> {
        let item = rest.split(' ').next().unwrap_or_default().to_owned();
        let number = {
            let mut world = self.world();
            let database = &mut world.databases[index];
            if !database.is_primary || database.process != process {
                return None;
            }
            database.log.push(item.clone());
            let number = database.log.len();
            *world.committed.entry(item.clone()).or_default() += 1;
            number
        };
        let until = Instant::now() + Duration::from_secs(5);
        loop {
            thread::sleep(REPLICATION_TIME);
            let world = self.world();
            let database = &world.databases[index];
            if database.process != process || !database.is_primary || Instant::now() >= until {
                return None;
            }
            let received = world
                .databases
                .iter()
                .enumerate()
                .filter(|(other, replica)| {
                    let has = replica.log.get(number - 1) == Some(&item);
                    *other != index && replica.runs && has
                });
            if received.count() > 0 {
                let at = database.position();
                return Some(format!(
                    "COMPLETE w.{id}.{number}\r\nREADY I {}.{}\r\n",
                    at.term, at.number
                ));
            }
        }
    }

    /// Copies the log of the newest primary to the replicas that receive.
    fn replicate(&self) {
        while !self.is_over() {
            thread::sleep(millis(3));
            let mut world = self.world();
            let newest = world.newest_term;
            let running = |database: &Database| {
                database.runs && database.is_primary && database.term == newest
            };
            let Some(primary) = world.databases.iter().position(running) else {
                continue;
            };
            let (log, term) = {
                let primary = &world.databases[primary];
                (primary.log.clone(), primary.term)
            };
            for (other, replica) in world.databases.iter_mut().enumerate() {
                let receives = replica.runs && !replica.is_primary && replica.paused_term == 0;
                if other != primary && receives {
                    let is_prefix = log.starts_with(&replica.log);
                    if !is_prefix {
                        replica.log.clear();
                    }
                    let from = replica.log.len();
                    replica.log.extend_from_slice(&log[from..]);
                    replica.term = term;
                }
            }
        }
    }

    fn ping(&self, index: usize, process: u64) {
        let (id, body, first) = {
            let mut world = self.world();
            let database = &mut world.databases[index];
            database.sequence += 1;
            let state = if database.draining {
                "draining"
            } else {
                "ready"
            };
            let role = if database.is_primary {
                "primary"
            } else {
                "replica"
            };
            let body = format!(
                "{{\"service\":\"{SERVICE}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
                 \"capacity\":5,\"state\":\"{state}\",\"warmup_left_ms\":0,\"db_role\":\"{role}\",\
                 \"sequence\":{},\"born\":{}}}",
                database.address, database.zone, database.sequence, database.born_ms
            );
            (database.id.clone(), body, database.ping_to)
        };
        let path = format!("/instances/{id}");
        let daemons = self.world().control.clone();
        let start = (index + process as usize) % daemons.len().max(1);
        let others = (0..daemons.len()).map(|step| daemons[(start + step) % daemons.len()]);
        let candidates: Vec<SocketAddr> = first.into_iter().chain(others).collect();
        for daemon in candidates {
            if !self.is_current(index, process) {
                return;
            }
            let answer = call_following(daemon, "PUT", &path, &body, millis(1_000));
            if let Some((status, text)) = answer
                && (200..300).contains(&status)
            {
                let next = text.split('"').find_map(|part| part.parse().ok());
                let mut world = self.world();
                let database = &mut world.databases[index];
                if database.process == process {
                    database.ping_to = next;
                }
                return;
            }
        }
    }

    /// Serves the platform: promotions.
    fn serve_platform(&self, listener: &TcpListener) {
        for socket in listener.incoming() {
            if self.is_over() {
                return;
            }
            if let Ok(socket) = socket {
                let fleet = self.clone();
                thread::spawn(move || fleet.platform_call(socket));
            }
        }
    }

    fn platform_call(&self, mut socket: TcpStream) {
        let _ = socket.set_read_timeout(Some(Duration::from_secs(2)));
        let Some((head, body)) = read_http(&mut socket) else {
            return;
        };
        let header = |name: &str| {
            let mut lines = head.lines();
            let found = lines.find(|line| line.to_lowercase().starts_with(&name.to_lowercase()));
            found
                .and_then(|line| line.split_once(':'))
                .map(|(_, value)| value.trim().to_owned())
        };
        let holder = header("X-Daisyseam-Lease-Holder").unwrap_or_default();
        let token: u64 = header("X-Daisyseam-Fencing-Token")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        let mut world = self.world();
        let named = world
            .databases
            .iter()
            .position(|database| body.contains(&format!("\"{}\"", database.id)));
        world.fences.push((token, holder.clone()));
        let status = match named {
            Some(index) if world.databases[index].runs => {
                let newest = world.newest_term;
                let leads =
                    world.databases[index].is_primary && world.databases[index].term == newest;
                if !leads {
                    let fleet = self.clone();
                    let process = world.databases[index].process;
                    thread::spawn(move || {
                        thread::sleep(PROMOTE_TIME);
                        fleet.promote(index, process);
                    });
                }
                200
            }
            _ => 409,
        };
        drop(world);
        let line = head.lines().next().unwrap_or_default();
        self.record.note(format!(
            "platform: {line} {body} holder {holder} token {token}: {status}"
        ));
        let reason = if status == 200 { "OK" } else { "Conflict" };
        let text =
            format!("HTTP/1.1 {status} {reason}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
        let _ = socket.write_all(text.as_bytes());
    }

    /// Makes a promotion take effect, and compares the log with what was acknowledged.
    fn promote(&self, index: usize, process: u64) {
        let mut world = self.world();
        let newest = world.newest_term;
        let leads = world.databases[index].is_primary && world.databases[index].term == newest;
        if !world.databases[index].runs || world.databases[index].process != process || leads {
            return;
        }
        world.newest_term += 1;
        world.promotions += 1;
        let term = world.newest_term;
        for database in &mut world.databases {
            database.is_primary = false;
        }
        let database = &mut world.databases[index];
        database.is_primary = true;
        database.paused_term = 0;
        database.term = term;
        let held: BTreeSet<String> = database.log.iter().cloned().collect();
        let (id, length) = (database.id.clone(), held.len());
        let lost: Vec<String> = world.acknowledged.difference(&held).cloned().collect();
        let acknowledged = world.acknowledged.len();
        world.lost.extend(lost.iter().cloned());
        drop(world);
        self.record.note(format!(
            "{id} leads term {term} with {length} commits; {acknowledged} were acknowledged, {} of \
             them are not in its log: {:?}",
            lost.len(),
            &lost[..lost.len().min(5)]
        ));
        let fleet = self.clone();
        thread::spawn(move || fleet.ping(index, process));
    }

    /// Writes through an entry until the run is over.
    fn consume(&self, name: usize, entry: SocketAddr, pause: Duration) {
        let mut count = 0_u64;
        while !self.is_over() {
            let Ok(socket) = TcpStream::connect_timeout(&entry, millis(1_000)) else {
                thread::sleep(millis(200));
                continue;
            };
            let _ = socket.set_nodelay(true);
            let _ = socket.set_read_timeout(Some(Duration::from_secs(8)));
            let Ok(mut writer) = socket.try_clone() else {
                continue;
            };
            let mut lines = Lines::new(socket);
            if writer
                .write_all(format!("STARTUP main {KEY}\r\n").as_bytes())
                .is_err()
            {
                continue;
            }
            if !lines.next().is_some_and(|line| line.starts_with("READY")) {
                thread::sleep(millis(200));
                continue;
            }
            while !self.is_over() {
                count += 1;
                let item = format!("i{name}x{count}");
                let query = format!("QUERY q{name}x{count} STORE {item} data\r\n");
                self.sent.fetch_add(1, Ordering::SeqCst);
                if writer.write_all(query.as_bytes()).is_err() {
                    break;
                }
                let Some(answer) = read_answer(&mut lines) else {
                    self.record
                        .note(format!("consumer {name}: {item} gets no answer"));
                    break;
                };
                if answer.starts_with("COMPLETE") {
                    self.world().acknowledged.insert(item);
                } else if count % 20 == 1 {
                    self.record
                        .note(format!("consumer {name}: {item}: {answer}"));
                }
                thread::sleep(pause);
            }
        }
    }

    /// Reads items through an entry whose writes were acknowledged before, a session each, until the
    /// run is over.
    fn read_back(&self, entry: SocketAddr, pause: Duration) {
        let mut count = 0_usize;
        while !self.is_over() {
            thread::sleep(pause);
            count += 1;
            let item = {
                let world = self.world();
                let known = world.acknowledged.len();
                world
                    .acknowledged
                    .iter()
                    .nth(count * 17 % known.max(1))
                    .cloned()
            };
            let Some(item) = item else {
                continue;
            };
            let Some((outcome, row)) = read_item(entry, count, &item) else {
                continue;
            };
            if !outcome.starts_with("COMPLETE") {
                continue;
            }
            let mut world = self.world();
            world.reads += 1;
            if row != item {
                let text = format!("read r{count} of {item} at {entry}: row `{row}`, {outcome}");
                world.stale.push(text.clone());
                drop(world);
                self.record.note(format!("STALE: {text}"));
            }
        }
    }

    /// Returns the share of the writes sent in the next time that is acknowledged.
    fn share_served(&self, time: Duration) -> f64 {
        let (sent, served) = (self.sent.load(Ordering::SeqCst), self.acknowledged());
        thread::sleep(time);
        let sent = self.sent.load(Ordering::SeqCst) - sent;
        let served = self.acknowledged() - served;
        self.record.note(format!(
            "in {time:?}: {sent} writes sent, {served} acknowledged"
        ));
        served as f64 / sent.max(1) as f64
    }

    fn acknowledged(&self) -> usize {
        self.world().acknowledged.len()
    }
}

/// Splits a socket's bytes into lines.
struct Lines {
    socket: TcpStream,
    received: Vec<u8>,
}

impl Lines {
    fn new(socket: TcpStream) -> Self {
        Self {
            socket,
            received: Vec::new(),
        }
    }

    fn next(&mut self) -> Option<String> {
        loop {
            if let Some(end) = self.received.windows(2).position(|pair| pair == b"\r\n") {
                let line: Vec<u8> = self.received.drain(..end + 2).collect();
                return Some(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            let mut bytes = [0; 4096];
            match self.socket.read(&mut bytes) {
                Ok(0) | Err(_) => return None,
                Ok(count) => self.received.extend_from_slice(&bytes[..count]),
            }
        }
    }
}

/// Reads one item in a session of its own; returns the outcome and the row.
fn read_item(entry: SocketAddr, count: usize, item: &str) -> Option<(String, String)> {
    let mut socket = TcpStream::connect_timeout(&entry, millis(500)).ok()?;
    socket.set_read_timeout(Some(Duration::from_secs(3))).ok()?;
    let mut lines = Lines::new(socket.try_clone().ok()?);
    socket
        .write_all(format!("STARTUP main {KEY}\r\n").as_bytes())
        .ok()?;
    if !lines.next()?.starts_with("READY") {
        return None;
    }
    socket
        .write_all(format!("QUERY r{count} FETCH {item}\r\n").as_bytes())
        .ok()?;
    let mut row = String::new();
    let mut outcome = String::new();
    loop {
        let line = lines.next()?;
        match line.split_once(' ') {
            Some(("READY", _)) => return Some((outcome, row)),
            Some(("DATAROW", text)) => row = text.to_owned(),
            _ => outcome = line,
        }
    }
}

/// Reads an answer up to its READY line; returns its COMPLETE or ERROR line.
fn read_answer(lines: &mut Lines) -> Option<String> {
    let mut outcome = String::new();
    loop {
        let line = lines.next()?;
        if line.starts_with("READY") {
            return Some(outcome);
        }
        if !line.starts_with("DATAROW") {
            outcome = line;
        }
    }
}

fn read_http(socket: &mut TcpStream) -> Option<(String, String)> {
    let mut received = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&received).into_owned();
        if let Some(end) = text.find("\r\n\r\n") {
            let head = text[..end].to_owned();
            let length = head.lines().find_map(|line| {
                let (name, value) = line.split_once(':')?;
                let is_length = name.eq_ignore_ascii_case("content-length");
                is_length.then(|| value.trim().parse::<usize>().ok())?
            });
            let body = &received[end + 4..];
            match length {
                Some(length) if body.len() < length => {}
                _ => return Some((head, String::from_utf8_lossy(body).into_owned())),
            }
        }
        let mut bytes = [0; 4096];
        match socket.read(&mut bytes) {
            Ok(0) | Err(_) => return None,
            Ok(count) => received.extend_from_slice(&bytes[..count]),
        }
    }
}

/// Makes one HTTP call; returns the status, the head and the body.
fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    timeout: Duration,
) -> Option<(u16, String, String)> {
    let mut socket = TcpStream::connect_timeout(&address, timeout).ok()?;
    socket.set_read_timeout(Some(timeout)).ok()?;
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    socket.write_all(text.as_bytes()).ok()?;
    let (head, body) = read_http(&mut socket)?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    Some((status, head, body))
}

/// Makes a call and follows a redirect twice.
fn call_following(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    timeout: Duration,
) -> Option<(u16, String)> {
    let mut address = address;
    for _ in 0..3 {
        let (status, head, text) = call(address, method, path, body, timeout)?;
        if status != 307 {
            return Some((status, text));
        }
        let location = head.lines().find_map(|line| {
            let (name, value) = line.split_once(':')?;
            name.eq_ignore_ascii_case("location")
                .then(|| value.trim().to_owned())
        })?;
        let host = location
            .strip_prefix("http://")?
            .split('/')
            .next()?
            .to_owned();
        address = host.parse().ok()?;
    }
    None
}

/// A process of the system.
struct Program {
    child: Option<Child>,
    binary: PathBuf,
    boot: PathBuf,
    log: PathBuf,
    metrics_port: u16,
}

impl Program {
    fn start(&mut self) {
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log);
        let log = log.expect("a log file in the temporary folder");
        let copy = log.try_clone().expect("a second handle of the log file");
        let mut command = Command::new(&self.binary);
        command.env_clear();
        for name in ["PATH", "HOME", "LANG"] {
            if let Some(value) = env::var_os(name) {
                command.env(name, value);
            }
        }
        command
            .env("DAISYSEAM_BOOT", &self.boot)
            .env("DAISYSEAM_METRICS_PORT", self.metrics_port.to_string())
            .stdin(Stdio::null())
            .stdout(Stdio::from(log))
            .stderr(Stdio::from(copy));
        match command.spawn() {
            Ok(child) => self.child = Some(child),
            // The unwinding ends the processes that run.
            Err(error) => panic!("cannot start {}: {error}", self.binary.display()),
        }
    }

    fn end(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// The processes of the system and where they listen.
struct System {
    programs: Arc<Mutex<Vec<Program>>>,
    entries: Vec<SocketAddr>,
    ready: Vec<SocketAddr>,
    control: Vec<SocketAddr>,
    folder: PathBuf,
    prefix: String,
}

impl Drop for System {
    fn drop(&mut self) {
        for program in lock(&self.programs).iter_mut() {
            program.end();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Finds a part of the loopback range in which nothing listens on the ports used here.
fn free_prefix() -> String {
    let first = std::process::id();
    for step in 0..200 {
        let number = first + step * 7;
        let prefix = format!("127.{}.{}", 20 + number % 200, number / 200 % 250);
        let mut probes = [8460_u16, 8462, 8465, 8466, 8080, 7560].iter();
        if probes.all(|port| TcpListener::bind(format!("{prefix}.11:{port}")).is_ok()) {
            return prefix;
        }
    }
    eprintln!("no free addresses");
    std::process::exit(2)
}

fn settings(prefix: &str, host: u32, control: bool, zone: usize, folder: &Path) -> String {
    let ip = format!("{prefix}.{host}");
    let seeds: String = (11..14)
        .map(|host| format!("  - \"{prefix}.{host}:8462\"\n"))
        .collect();
    let zones: String = ZONES
        .iter()
        .map(|zone| format!("  {zone}: \"region-{zone}\"\n"))
        .collect();
    let (class, serves, bind, data, disk_mb) = match control {
        true => (
            "core",
            "control",
            format!("  control_plane: \"{ip}:8462\"\n"),
            format!("\"{}\"", folder.join(format!("disk-{host}")).display()),
            128,
        ),
        false => (
            "frontend",
            "frontend",
            format!("  frontend: \"{ip}:8465\"\n  ready: \"{ip}:8460\"\n"),
            "null".to_owned(),
            0,
        ),
    };
    let zone_name = ZONES[zone];
    format!(
        "node_name: \"{class}-{zone_name}-{host}\"\nrole: \"{serves}\"\nmachine_class: \"{class}\"\n\
         serves:\n  - \"{serves}\"\nip: \"{ip}\"\nzone: \"{zone_name}\"\nregion: \"region-{zone_name}\"\n\
         zones:\n{zones}bind_addresses:\n{bind}internal_ports:\n  - 7560\n  - 7575\nseed_nodes:\n{seeds}\
         bootstrap: true\nloss_counts: {control}\nlimits:\n  cpu_quota: 0.25\n  cpu_cores: 1\n  \
         memory_mb: 260\n  max_fds: 4200\n  bandwidth_mbps: 1000.0\n  disk_mb: {disk_mb}\n\
         data_dir: {data}\ndiscovery: \"registration\"\nentrypoint: \"vip\"\n\
         heartbeat_interval_ms: 1200\ncontracts:\n  - \"base\"\n  - \"drain\"\n  - \"config\"\n  \
         - \"cost\"\n  - \"recover\"\n  - \"sql\"\n  - \"tenants\"\n  - \"quota\"\n  - \"places\"\n\
         fault_tolerance:\n  machines: 1\n  zones: 1\n  regions: 1\nbounds:\n  seed_lag_s: 3\n  \
         address_reuse_s: 2\n  contact_window_ms: 5000\n  ack_timeout_ms: 6000\n  catch_up_s: 4\n  \
         drain_timeout_ms: 7000\n  grace_period_s: 6\n  loss_slack_ms: 200\n  config_apply_ms: 4000\n  \
         downgrade_slack_ms: 250\n  outer_ms: 15000\n  strict_revocation: false\n  \
         revoke_timeout_ms: 5000\n  quota_window_s: 5\n  quota_overshoot: 0.1\n  \
         quota_tolerance: 20\n  evacuation_ms: 5000\n  recovery_s: 12\n  fencing_enforced: false\n  \
         disturbance_window_ms: 300\nconfig_mode: \"highest\"\nprovider:\n  \
         address: \"{prefix}.41:8466\"\n  rate_per_s: 50.0\n  duties:\n    - \"promotion\"\n  \
         duty_per_s: 50.0\n"
    )
}

fn manifest(version: u64) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-main\",\"host\":\"main\",\"path_prefix\":\"/\",\
         \"kind\":\"primary\",\"timeout_ms\":1000,\"target_latency_ms\":800,\"priority\":1,\
         \"service\":\"{SERVICE}\",\"max_attempts\":2,\"public\":false,\"allowed_regions\":[]}}],\
         \"services\":[{{\"name\":\"{SERVICE}\",\"health_path\":\"/healthz\",\"max_connections\":33,\
         \"protocol\":\"h1\",\"tls\":false,\"warmup_s\":0.0,\"warmup_per_s\":0.0,\"sync_replicas\":1}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000,\"tx_idle_ms\":3000}},\"tenants\":[{{\"name\":\"tenant\",\
         \"api_keys\":[\"{KEY}\"],\"priority\":1,\"rate_per_s\":2000,\"burst\":2000,\
         \"allowed_regions\":[]}}]}}"
    )
}

impl System {
    /// Writes the settings of a control and an entry machine in each zone.
    fn prepare(root: &Path) -> Self {
        let prefix = free_prefix();
        let folder = env::temp_dir().join(format!("fleet-3-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let mut programs = Vec::new();
        let mut add = |host: u32, control: bool, zone: usize| {
            let boot = folder.join(format!("settings-{host}.yaml"));
            let text = settings(&prefix, host, control, zone, &folder);
            fs::write(&boot, text).expect("a settings file in the temporary folder");
            let name = if control { "control" } else { "entry" };
            programs.push(Program {
                child: None,
                binary: root.join(format!("target/release/daisyseam-platform-{name}")),
                boot,
                log: folder.join(format!("log-{host}.txt")),
                metrics_port: if control { 9465 } else { 9464 },
            });
        };
        (0..3).for_each(|zone| add(11 + zone as u32, true, zone));
        (0..3).for_each(|zone| add(21 + zone as u32, false, zone));
        let at = |host: u32, port: u16| {
            format!("{prefix}.{host}:{port}")
                .parse()
                .expect("an address")
        };
        Self {
            entries: vec![at(21, 8465), at(22, 8465), at(23, 8465)],
            ready: vec![at(21, 8460), at(22, 8460), at(23, 8460)],
            control: vec![at(11, 8462), at(12, 8462), at(13, 8462)],
            programs: Arc::new(Mutex::new(programs)),
            folder,
            prefix,
        }
    }

    fn start_all(&self) {
        lock(&self.programs).iter_mut().for_each(Program::start);
    }

    /// Returns the zone of the control leader; the others redirect to it.
    fn leader_zone(&self) -> Option<usize> {
        let answers = |index: &usize| {
            let answer = call(self.control[*index], "GET", "/config", "", millis(500));
            answer.map(|(status, head, _)| (status, head))
        };
        let redirect = (0..3).find_map(|index| {
            let (_, head) = answers(&index).filter(|(status, _)| *status == 307)?;
            let to = head.split("http://").nth(1)?.split('/').next()?.to_owned();
            to.parse::<SocketAddr>().ok()
        })?;
        self.control.iter().position(|address| *address == redirect)
    }

    /// Ends some of the processes: 0 to 2 are control, 3 to 5 the entries.
    fn kill(&self, indexes: &[usize]) {
        let mut programs = lock(&self.programs);
        indexes.iter().for_each(|index| programs[*index].end());
    }

    /// Starts them again, with settings that no longer name this the first start.
    fn restart(&self, indexes: &[usize]) {
        let mut programs = lock(&self.programs);
        for index in indexes {
            let program = &mut programs[*index];
            let text = fs::read_to_string(&program.boot).expect("the settings are there");
            let text = text.replace("bootstrap: true", "bootstrap: false");
            fs::write(&program.boot, text).expect("the settings can be written");
            program.start();
        }
    }

    /// Copies what the control processes said of elections to the record.
    fn note_logs(&self, record: &Record) {
        for host in 11..14 {
            let log = fs::read_to_string(self.folder.join(format!("log-{host}.txt")));
            for line in log.unwrap_or_default().lines() {
                let message = line.split("\"message\":\"").nth(1);
                let message = message.and_then(|rest| rest.split("\",\"").next());
                if let Some(message) = message.filter(|text| text.contains("group ")) {
                    record.note(format!("log of control {host}: {message}"));
                }
            }
        }
    }
}

/// Sends an order until it is acknowledged; returns whether it was in time.
fn order(fleet: &Fleet, method: &str, path: &str, body: &str, within: Duration) -> bool {
    let daemons = fleet.world().control.clone();
    let until = Instant::now() + within;
    while Instant::now() < until {
        for daemon in &daemons {
            let answer = call_following(*daemon, method, path, body, millis(1_000));
            if let Some((status, _)) = answer
                && (200..300).contains(&status)
            {
                fleet.record.note(format!("sent {method} {path}: {status}"));
                return true;
            }
        }
        thread::sleep(millis(100));
    }
    fleet
        .record
        .note(format!("sent {method} {path}: not acknowledged"));
    false
}

fn wait_until(limit: Duration, mut done: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + limit;
    while Instant::now() < until {
        if done() {
            return true;
        }
        thread::sleep(millis(50));
    }
    done()
}

/// How a run ended.
#[derive(Clone, Copy, Eq, PartialEq)]
enum Verdict {
    Held,
    Broken,
    NotRun,
}

/// Starts the system with `count` databases, of which the first is primary, and some writers. The
/// primary is in the zone of the control leader, or in one `beside` it.
fn start(
    root: &Path,
    record: &Record,
    count: usize,
    pause: Duration,
    beside: usize,
) -> Option<(System, Fleet)> {
    let system = System::prepare(root);
    system.start_all();
    let mut leader = None;
    wait_until(Duration::from_secs(10), || {
        leader = system.leader_zone();
        leader.is_some()
    });
    let first = (leader? + beside) % 3;
    record.note(format!(
        "the primary is in {}, the control leader in {}",
        ZONES[first], ZONES[leader?]
    ));
    let prefix = &system.prefix;
    let databases = (0..count).map(|index| Database {
        id: format!("i-{index}a{index}b"),
        address: format!("{prefix}.{}:8080", 31 + index)
            .parse()
            .expect("an address"),
        zone: ZONES[(first + index) % 3],
        runs: false,
        process: 0,
        born_ms: 0,
        is_primary: index == 0,
        draining: false,
        term: 1,
        paused_term: 0,
        log: Vec::new(),
        sequence: 0,
        ping_to: None,
        sockets: Vec::new(),
    });
    let fleet = Fleet {
        world: Arc::new(Mutex::new(World {
            databases: databases.collect(),
            control: system.control.clone(),
            acknowledged: BTreeSet::new(),
            committed: BTreeMap::new(),
            newest_term: 1,
            lost: Vec::new(),
            stale: Vec::new(),
            reads: 0,
            promotions: 0,
            fences: Vec::new(),
        })),
        record: record.clone(),
        over: Arc::default(),
        sent: Arc::default(),
    };
    let platform = TcpListener::bind(format!("{prefix}.41:8466")).expect("the platform's address");
    let served = fleet.clone();
    thread::spawn(move || served.serve_platform(&platform));
    let programs = Arc::clone(&system.programs);
    thread::spawn(move || {
        thread::sleep(RUN_LIMIT);
        lock(&programs).iter_mut().for_each(Program::end);
        eprintln!("the run took too long");
        std::process::exit(2);
    });
    for index in 0..count {
        fleet.start_database(index, millis(10));
    }
    let copier = fleet.clone();
    thread::spawn(move || copier.replicate());
    if !order(
        &fleet,
        "PUT",
        "/config",
        &manifest(1),
        Duration::from_secs(10),
    ) {
        return None;
    }
    let ready = || {
        let mut pages = system.ready.iter();
        pages.all(|page| {
            call(*page, "GET", "/readyz", "", millis(500)).is_some_and(|(status, ..)| status == 200)
        })
    };
    if !wait_until(Duration::from_secs(10), ready) {
        return None;
    }
    for name in 0..6 {
        let writer = fleet.clone();
        let entry = system.entries[name % 3];
        thread::spawn(move || writer.consume(name, entry, pause));
    }
    let writes = fleet.clone();
    wait_until(Duration::from_secs(10), || writes.acknowledged() > 100).then_some((system, fleet))
}

fn note_counts(fleet: &Fleet, what: &str) {
    let sent = fleet.sent.load(Ordering::SeqCst);
    let count = fleet.acknowledged();
    fleet
        .record
        .note(format!("{what}: {sent} writes sent, {count} acknowledged"));
}

include!("cases-3.rs");

fn main() {
    let arguments: Vec<String> = env::args().collect();
    let [_, case, root, record] = &arguments[..] else {
        eprintln!("usage: fleet-3 CASE ROOT RECORD");
        std::process::exit(2);
    };
    let file = fs::File::create(record).expect("the record can be written");
    let record = Record {
        began: Instant::now(),
        file: Arc::new(Mutex::new(file)),
    };
    let trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    record.note(format!("case {case}, trouble: {trouble}"));
    let run = || run_case(case, Path::new(root), &record, trouble);
    let verdict = panic::catch_unwind(AssertUnwindSafe(run)).unwrap_or(Verdict::NotRun);
    let (code, text) = match verdict {
        Verdict::Held => (0, "held"),
        Verdict::Broken => (1, "BROKEN"),
        Verdict::NotRun => (2, "could not run"),
    };
    record.note(text);
    println!("case {case}: {text}");
    std::process::exit(code);
}
