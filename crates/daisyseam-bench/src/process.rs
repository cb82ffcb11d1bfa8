//! What the operating system says of this process.

use std::{
    fs,
    time::Duration, //
};

/// Clock ticks a second in `/proc`.
const TICKS_PER_SECOND: u64 = 100;
/// Bytes a page in `/proc`.
const PAGE_BYTES: u64 = 4_096;
/// Place of the user time after the name in a `stat` line.
const USER_TIME_FIELD: usize = 11;

/// Returns the processor time that all threads of a name have used so far.
///
/// Nothing where `/proc` cannot be read.
pub fn thread_time(name: &str) -> Option<Duration> {
    let mut ticks = 0;
    for task in fs::read_dir("/proc/self/task").ok()? {
        let path = task.ok()?.path().join("stat");
        // A thread may end meanwhile.
        let Ok(line) = fs::read_to_string(path) else {
            continue;
        };
        let (before, after) = line.rsplit_once(')')?;
        let (_, thread) = before.split_once('(')?;
        if thread == name {
            let fields: Vec<&str> = after.split_whitespace().collect();
            for field in fields.get(USER_TIME_FIELD..USER_TIME_FIELD + 2)? {
                ticks += field.parse::<u64>().ok()?;
            }
        }
    }
    Some(Duration::from_millis(ticks * 1_000 / TICKS_PER_SECOND))
}

/// Returns the memory that the process holds, in bytes.
///
/// Nothing where `/proc` cannot be read.
pub fn resident_bytes() -> Option<u64> {
    let line = fs::read_to_string("/proc/self/statm").ok()?;
    let pages: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(pages * PAGE_BYTES)
}
