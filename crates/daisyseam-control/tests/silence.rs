//! Connections between members that stop carrying data permanently while new connections work.

#[expect(dead_code, reason = "other tests use the rest")]
mod support;

use crate::support::{
    DOCUMENT,
    cluster,
    free_addresses,
    submit, //
};
use daisyseam_control::{
    ControlDaemon,
    ControlSettings, //
};
use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{
            AtomicU64,
            Ordering, //
        }, //
    },
    time::{
        Duration,
        Instant, //
    }, //
};
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::{
        TcpListener,
        TcpStream,
        tcp::{
            OwnedReadHalf,
            OwnedWriteHalf, //
        }, //
    }, //
};

/// Number of times that all open connections were stalled.
type StallCount = Arc<AtomicU64>;

/// Relays connections until they are stalled, after which they stay open but carry nothing.
async fn relay(listener: TcpListener, target: SocketAddr, stalls: StallCount) {
    while let Ok((outer, _)) = listener.accept().await {
        let Ok(inner) = TcpStream::connect(target).await else {
            continue;
        };
        let (outer_in, outer_out) = outer.into_split();
        let (inner_in, inner_out) = inner.into_split();
        let opened_at = stalls.load(Ordering::SeqCst);
        tokio::spawn(forward(outer_in, inner_out, opened_at, Arc::clone(&stalls)));
        tokio::spawn(forward(inner_in, outer_out, opened_at, Arc::clone(&stalls)));
    }
}

async fn forward(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    opened_at: u64,
    stalls: StallCount,
) {
    let mut bytes = vec![0; 64 << 10];
    while let Ok(count) = from.read(&mut bytes).await {
        if stalls.load(Ordering::SeqCst) != opened_at {
            // The connection is stalled: the bytes are dropped, and it stays open.
            continue;
        }
        if count == 0 || to.write_all(&bytes[..count]).await.is_err() {
            return;
        }
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn control_goes_on_when_all_connections_have_gone_silent() {
    let folder = tempfile::tempdir().expect("a folder");
    let stalls = StallCount::default();
    let listens = free_addresses(3);
    let mut seeds = Vec::new();
    for target in &listens {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        seeds.push(listener.local_addr().expect("an address"));
        tokio::spawn(relay(listener, *target, Arc::clone(&stalls)));
    }
    let mut daemons = Vec::new();
    for number in 0..3 {
        let settings = ControlSettings {
            advertise: Some(seeds[number]),
            ..ControlSettings::from_seeds(
                cluster(),
                "khomas-1".parse().expect("a sound name"),
                listens[number],
                Some("127.0.0.1:0".parse().expect("an address")),
                folder.path().join(number.to_string()),
                seeds.clone(),
                true,
            )
        };
        daemons.push(ControlDaemon::start(settings).await.expect("it starts"));
    }
    let accepted = submit(&listens, "change-1", 0, DOCUMENT).await;
    assert!(accepted.accepted, "{accepted:?}");
    for number in 2..4 {
        stalls.fetch_add(1, Ordering::SeqCst);
        let begun = Instant::now();
        let text = DOCUMENT.replace("number = 1", &format!("number = {number}"));
        let accepted = submit(&listens, &format!("change-{number}"), number - 1, &text).await;
        assert!(accepted.accepted, "{accepted:?}");
        let took = begun.elapsed();
        assert!(took < Duration::from_secs(5), "it took {took:?}");
    }
    for daemon in daemons {
        daemon.stop(Duration::from_secs(10)).await;
    }
}
