//! How clients watch their connections.

use pinhaven_runtime::block_on;
use pinhaven_runtime::connect_kept_alive;
use pinhaven_runtime::connect_stream;
use socket2::SockRef;
use std::net::TcpListener;
use std::time::Duration;

/// A dead connection must show before a configuration that is written after it has to be in force.
const DEAD_MOST: Duration = Duration::from_secs(3);

#[test]
fn a_connection_that_is_kept_alive_breaks_within_three_seconds_of_silence() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let stream = block_on(connect_kept_alive(address)).unwrap();
    let socket = SockRef::from(stream.get_ref());
    assert!(socket.keepalive().unwrap());
    let asked = socket.tcp_keepalive_retries().unwrap();
    let silent = socket.tcp_keepalive_time().unwrap();
    let interval = socket.tcp_keepalive_interval().unwrap();
    assert!(asked >= 2, "one lost packet breaks nothing");
    assert!(silent + interval * asked <= DEAD_MOST);
    let usual = block_on(connect_stream(address)).unwrap();
    assert!(!SockRef::from(usual.get_ref()).keepalive().unwrap());
}
