//! TCP options of connections.

use daisyseam_runtime::{
    Dialer,
    tune_caller_socket,
    tune_socket, //
};
use socket2::SockRef;
use std::{
    io::ErrorKind,
    time::Duration, //
};
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::TcpListener, //
};

#[tokio::test]
async fn connections_have_options_that_detect_a_lost_peer() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let connected = Dialer::default().connect(address).await;
    let connected = connected.expect("the listener accepts");
    let (accepted, _) = listener.accept().await.expect("a connection");
    tune_socket(&accepted).expect("the options are set");
    for socket in [&connected, &accepted] {
        let socket = SockRef::from(socket);
        assert!(socket.tcp_nodelay().expect("the option is readable"));
        assert!(socket.keepalive().expect("the option is readable"));
        let timeout = socket.tcp_user_timeout().expect("the option is readable");
        assert_eq!(timeout, Some(Duration::from_secs(2)));
        let (idle, interval) = (socket.tcp_keepalive_time(), socket.tcp_keepalive_interval());
        assert_eq!(
            idle.expect("the option is readable"),
            Duration::from_secs(1)
        );
        assert_eq!(
            interval.expect("the option is readable"),
            Duration::from_secs(1)
        );
        assert_eq!(
            socket
                .tcp_keepalive_retries()
                .expect("the option is readable"),
            2
        );
    }
    tune_caller_socket(&accepted).expect("the options are set");
    let timeout = SockRef::from(&accepted).tcp_user_timeout();
    assert_eq!(
        timeout.expect("the option is readable"),
        Some(Duration::from_secs(30))
    );
}

/// Guards against bytes of a request that was given up and that are still delivered later.
#[tokio::test]
async fn a_dropped_connection_that_discards_is_reset() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let timeout = Duration::from_millis(400);
    let dialer = Dialer {
        source: None,
        discard_after: Some(timeout),
    };
    let mut connected = dialer.connect(address).await.expect("it is accepted");
    let (mut accepted, _) = listener.accept().await.expect("a connection");
    let options = SockRef::from(&connected);
    let user_timeout = options.tcp_user_timeout();
    assert_eq!(user_timeout.expect("the option is readable"), Some(timeout));
    connected.write_all(b"promote").await.expect("it is sent");
    drop(connected);
    let mut bytes = Vec::new();
    let error = accepted.read_to_end(&mut bytes).await.unwrap_err();
    assert_eq!(error.kind(), ErrorKind::ConnectionReset);
}
