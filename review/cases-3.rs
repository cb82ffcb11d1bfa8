/// Runs a case by its number.
fn run_case(case: &str, root: &Path, record: &Record, trouble: bool) -> Verdict {
    match case {
        "11" => primary_starts_empty(root, record, trouble),
        "12" => zone_restarts(root, record, trouble),
        "13" => replica_is_replaced(root, record, trouble),
        "14" => zone_is_evacuated(root, record, trouble),
        _ => Verdict::NotRun,
    }
}

/// Reads a number from the environment.
fn number(name: &str, default: u64) -> u64 {
    let given = env::var(name).ok();
    given.and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// A replica leaves as planned; much later the primary starts again under its id and holds nothing.
///
/// `CRASH=1` has that replica lost for good instead, `DATABASES=2` leaves it out, `GAP_MS` is the time for
/// which the primary is down, and `PING_MS` the time from its start to its first ping.
fn primary_starts_empty(root: &Path, record: &Record, trouble: bool) -> Verdict {
    let count = number("DATABASES", 3) as usize;
    let gap = millis(number("GAP_MS", 500));
    let first_ping = millis(number("PING_MS", 1_200));
    let Some((system, fleet)) = start(root, record, count, millis(30), 0) else {
        return Verdict::NotRun;
    };
    thread::sleep(Duration::from_secs(3));
    match (count, number("CRASH", 0)) {
        (3.., 0) => fleet.leave(2, Duration::from_secs(8)),
        (3.., _) if trouble => fleet.end_database(2),
        _ => {}
    }
    thread::sleep(Duration::from_secs(12));
    note_counts(&fleet, "before the restart");
    if trouble {
        fleet.end_database(0);
        fleet.forget(0);
        thread::sleep(gap);
        fleet.start_database(0, first_ping);
    }
    thread::sleep(Duration::from_secs(15));
    note_counts(&fleet, "at the end");
    fleet.over.store(true, Ordering::SeqCst);
    system.note_logs(record);
    let lost = fleet.world().lost.len();
    record.note(format!(
        "{lost} acknowledged commits are not in the log of a promoted database"
    ));
    drop(system);
    match lost {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    }
}

/// A zone loses power for a moment: a control machine, an entry and the primary in it start again, the
/// primary under its id and holding nothing.
///
/// `GAP_MS` is the time without power, `PING_MS` the time from the primary's start to its first ping, and
/// `BESIDE=0` puts the primary into the zone of the control leader.
fn zone_restarts(root: &Path, record: &Record, trouble: bool) -> Verdict {
    let gap = millis(number("GAP_MS", 100));
    let first_ping = millis(number("PING_MS", 1_200));
    let beside = number("BESIDE", 1) as usize;
    let Some((system, fleet)) = start(root, record, 3, millis(number("PAUSE_MS", 100)), beside)
    else {
        return Verdict::NotRun;
    };
    thread::sleep(Duration::from_secs(8));
    note_counts(&fleet, "before the loss of power");
    let primary_zone = fleet.world().databases[0].zone;
    let zone = ZONES
        .iter()
        .position(|zone| *zone == primary_zone)
        .unwrap_or(0);
    let (reader, entry) = (fleet.clone(), system.entries[zone]);
    thread::spawn(move || reader.read_back(entry, millis(10)));
    thread::sleep(Duration::from_secs(2));
    let machines = [zone, 3 + zone];
    if trouble {
        system.kill(&machines);
        fleet.end_database(0);
        fleet.forget(0);
        thread::sleep(gap);
        fleet.start_database(0, first_ping);
        system.restart(&machines);
    }
    thread::sleep(Duration::from_secs(12));
    note_counts(&fleet, "at the end");
    fleet.over.store(true, Ordering::SeqCst);
    system.note_logs(record);
    let (stale, reads) = {
        let world = fleet.world();
        (world.stale.len(), world.reads)
    };
    record.note(format!(
        "{stale} of {reads} reads lacked a commit that was acknowledged before"
    ));
    drop(system);
    match stale {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    }
}

/// Time after the processes are back from which requests count for RECOVER (`recovery_s`).
const RECOVERY: Duration = Duration::from_secs(12);

/// A replica leaves as planned; later the zone of the primary is evacuated, and right after the
/// confirmation all processes of the system are killed and come back.
///
/// `KEEP=1` keeps the third database.
fn zone_is_evacuated(root: &Path, record: &Record, trouble: bool) -> Verdict {
    let Some((system, fleet)) = start(root, record, 3, millis(30), 0) else {
        return Verdict::NotRun;
    };
    if number("KEEP", 0) == 0 {
        fleet.leave(2, Duration::from_secs(8));
    }
    thread::sleep(Duration::from_secs(6));
    let before = fleet.share_served(Duration::from_secs(5));
    let zone = fleet.world().databases[0].zone;
    if trouble {
        let path = format!("/evacuations/{zone}");
        if !order(&fleet, "POST", &path, "", Duration::from_secs(6)) {
            return Verdict::NotRun;
        }
        record.note("all processes of the system are killed");
        system.kill(&[0, 1, 2, 3, 4, 5]);
        thread::sleep(millis(800));
        system.restart(&[0, 1, 2, 3, 4, 5]);
        record.note("all processes of the system are started again");
    }
    thread::sleep(RECOVERY);
    let after = fleet.share_served(Duration::from_secs(30));
    fleet.over.store(true, Ordering::SeqCst);
    system.note_logs(record);
    let promotions = fleet.world().promotions;
    record.note(format!(
        "served before: {before:.2}, from {RECOVERY:?} after the return on: {after:.2}; {promotions} promotions"
    ));
    drop(system);
    match before >= 0.25 && after < 0.25 {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}

/// One replica is lost for good while the other is replaced as planned: it leaves, and its log is transferred
/// to a new database at its address. Later all processes of the system are killed and come back.
///
/// `LATE_MS` is the time from the announcement of the departure to the loss, `GAP_MS` the time from the end
/// of the one that leaves to the start of the new one.
fn replica_is_replaced(root: &Path, record: &Record, trouble: bool) -> Verdict {
    let Some((system, fleet)) = start(root, record, 3, millis(30), 0) else {
        return Verdict::NotRun;
    };
    let counts = || (fleet.sent.load(Ordering::SeqCst), fleet.acknowledged());
    let (sent, acknowledged) = counts();
    thread::sleep(Duration::from_secs(20));
    let late = number("LATE_MS", 3_000);
    if trouble {
        let lost = fleet.clone();
        thread::spawn(move || {
            thread::sleep(millis(late));
            lost.end_database(1);
        });
    }
    fleet.leave(2, Duration::from_secs(8));
    thread::sleep(millis(number("GAP_MS", 3_000)));
    fleet.succeed(2);
    thread::sleep(Duration::from_secs(4));
    let text = manifest(2);
    if !order(&fleet, "PUT", "/config", &text, Duration::from_secs(6)) {
        return Verdict::NotRun;
    }
    let (sent, acknowledged) = (counts().0 - sent, counts().1 - acknowledged);
    let before = acknowledged as f64 / sent.max(1) as f64;
    if trouble {
        record.note("all processes of the system are killed");
        system.kill(&[0, 1, 2, 3, 4, 5]);
        thread::sleep(millis(800));
        system.restart(&[0, 1, 2, 3, 4, 5]);
        record.note("all processes of the system are started again");
    }
    thread::sleep(RECOVERY);
    let after = fleet.share_served(Duration::from_secs(30));
    fleet.over.store(true, Ordering::SeqCst);
    system.note_logs(record);
    record.note(format!(
        "served before: {before:.2} of {sent}, from {RECOVERY:?} after the return on: {after:.2}"
    ));
    drop(system);
    match before >= 0.25 && after < 0.25 {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}
