//! Size of heartbeats with and without usage reports.

use daisyseam_wire::{
    Heartbeat,
    HeartbeatReply,
    UsageCount,
    UsageReport,
    UsageWindow, //
};
use prost::Message;

/// Bytes per second that an entry may exchange with control.
const BYTES_PER_S: usize = 3_000;
/// Heartbeats per second; they are 300 ms apart.
const HEARTBEATS_PER_S: usize = 4;

/// Guards against bytes on deployments that do not report usage.
#[test]
fn without_the_duty_heartbeats_carry_nothing() {
    assert_eq!(Heartbeat::default().encoded_len(), 0);
    assert_eq!(HeartbeatReply::default().encoded_len(), 0);
}

/// Guards against usage reports that exceed the traffic allowed to an entry.
#[test]
fn usage_reports_stay_below_the_traffic_of_an_entry() {
    let heartbeat = Heartbeat {
        unix_ms: 1_800_000_000_000,
        ..Heartbeat::default()
    };
    let counts = (0..100).map(|number| UsageCount {
        organisation: format!("miny{number:03}"),
        count: 20_000,
    });
    let report = Heartbeat {
        usage: vec![UsageReport {
            window: 353_445_120,
            is_final: true,
            counts: counts.collect(),
            born_ms: 1_800_000_000_000,
            term: 1_000,
        }],
        ..Heartbeat::default()
    };
    let reply = HeartbeatReply {
        usage: Some(UsageWindow {
            window: 353_445_120,
            left_ms: 4_999,
            window_ms: 5_000,
            decided: 353_445_118,
            term: 1_000,
        }),
        ..HeartbeatReply::default()
    };
    let regular = HEARTBEATS_PER_S * (heartbeat.encoded_len() + reply.encoded_len());
    let bytes = regular + report.encoded_len();
    println!("usage adds {bytes} bytes per second, {regular} of them without counts");
    assert!(bytes < BYTES_PER_S);
}
