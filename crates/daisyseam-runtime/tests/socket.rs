//! TCP options of connections.

use daisyseam_runtime::{
    Dialer,
    tune_caller_socket,
    tune_socket, //
};
use socket2::SockRef;
use std::time::Duration;
use tokio::net::TcpListener;

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
