//! The options of connections.

use daisyseam_runtime::{
    Dialer,
    tune_caller_socket,
    tune_socket, //
};
use socket2::SockRef;
use std::time::Duration;
use tokio::net::TcpListener;

#[tokio::test]
async fn connections_notice_that_the_other_end_is_gone() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let dialled = Dialer::default().connect(address).await;
    let dialled = dialled.expect("it listens");
    let (accepted, _) = listener.accept().await.expect("it connects");
    tune_socket(&accepted).expect("it is tuned");
    for socket in [&dialled, &accepted] {
        let socket = SockRef::from(socket);
        assert!(socket.tcp_nodelay().expect("it is known"));
        assert!(socket.keepalive().expect("it is known"));
        let timeout = socket.tcp_user_timeout().expect("it is known");
        assert_eq!(timeout, Some(Duration::from_secs(2)));
        let (idle, every) = (socket.tcp_keepalive_time(), socket.tcp_keepalive_interval());
        assert_eq!(idle.expect("it is known"), Duration::from_secs(1));
        assert_eq!(every.expect("it is known"), Duration::from_secs(1));
        assert_eq!(socket.tcp_keepalive_retries().expect("it is known"), 2);
    }
    tune_caller_socket(&accepted).expect("it is tuned");
    let timeout = SockRef::from(&accepted).tcp_user_timeout();
    assert_eq!(timeout.expect("it is known"), Some(Duration::from_secs(30)));
}
