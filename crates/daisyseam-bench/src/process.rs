//! What the operating system says of this process.

use std::{
    fs,
    time::Duration, //
};

/// Bytes a page in `/proc`.
const PAGE_BYTES: u64 = 4_096;
/// Returns the processor time that all threads of a name have used so far.
///
/// Nothing where `/proc` cannot be read.
pub fn thread_time(name: &str) -> Option<Duration> {
    let mut nanos = 0;
    for task in fs::read_dir("/proc/self/task").ok()? {
        let folder = task.ok()?.path();
        // A thread may end meanwhile.
        let (Ok(comm), Ok(line)) = (
            fs::read_to_string(folder.join("comm")),
            fs::read_to_string(folder.join("schedstat")),
        ) else {
            continue;
        };
        if comm.trim_end() == name {
            nanos += line.split_whitespace().next()?.parse::<u64>().ok()?;
        }
    }
    Some(Duration::from_nanos(nanos))
}

/// Returns the memory that the process holds, in bytes.
///
/// Nothing where `/proc` cannot be read.
pub fn resident_bytes() -> Option<u64> {
    let line = fs::read_to_string("/proc/self/statm").ok()?;
    let pages: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(pages * PAGE_BYTES)
}
