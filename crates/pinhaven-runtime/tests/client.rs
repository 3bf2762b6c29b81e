//! Timeouts and keep-alive of HTTP clients.
//!
//! A dead connection without keep-alive goes unnoticed while a call waits for its answer. A single timeout for the
//! whole call never lets a large answer through a slow link, and no limit at all lets a peer that sends one byte at
//! a time hold a call open.

use bytes::Bytes;
use http::Request;
use pinhaven_runtime::CallError;
use pinhaven_runtime::CallStep;
use pinhaven_runtime::HttpClient;
use pinhaven_runtime::block_on;
use pinhaven_runtime::connect_stream;
use pinhaven_runtime::connect_with_keep_alive;
use pinhaven_runtime::sleep_ms;
use socket2::SockRef;
use std::io::Read as _;
use std::io::Write as _;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::time::Duration;

/// Maximum time to detect a dead connection; shorter than the time within which a new configuration must be in force.
const DETECTION_MAX: Duration = Duration::from_secs(3);

#[test]
fn a_connection_that_is_kept_alive_breaks_within_three_seconds_of_silence() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let stream = block_on(connect_with_keep_alive(address)).unwrap();
    let socket = SockRef::from(stream.get_ref());
    assert!(socket.keepalive().unwrap());
    let probes = socket.tcp_keepalive_retries().unwrap();
    let idle_time = socket.tcp_keepalive_time().unwrap();
    let interval = socket.tcp_keepalive_interval().unwrap();
    assert!(probes >= 2, "one lost packet must not break the connection");
    assert!(idle_time + interval * probes <= DETECTION_MAX);
    let without_keep_alive = block_on(connect_stream(address)).unwrap();
    assert!(
        !SockRef::from(without_keep_alive.get_ref())
            .keepalive()
            .unwrap()
    );
}

/// Answers one request with chunks of one byte, each after a pause, and then keeps the connection open.
fn answer_in_chunks(content_length: usize, chunks: usize, pause: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        // A small request arrives in one read.
        let _ = stream.read(&mut [0; 1024]).unwrap();
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {content_length}\r\n\r\n");
        stream.write_all(head.as_bytes()).unwrap();
        for _ in 0..chunks {
            std::thread::sleep(pause);
            stream.write_all(b"x").unwrap();
        }
        let _ = stream.read(&mut [0; 1]);
    });
    address
}

fn call(client: &HttpClient) -> Result<usize, CallError> {
    let request = Request::get("/").body(Bytes::new()).unwrap();
    let answer = block_on(client.call(request))?;
    Ok(answer.body().len())
}

#[test]
fn an_answer_that_goes_on_may_take_longer_than_its_beginning() {
    let address = answer_in_chunks(30, 30, Duration::from_millis(100));
    let client = HttpClient::new(address, 2_000).with_large_answers(2_000, 60_000);
    assert_eq!(call(&client).unwrap(), 30);
}

#[test]
fn an_answer_that_stops_is_given_up() {
    let address = answer_in_chunks(30, 3, Duration::from_millis(1));
    let client = HttpClient::new(address, 60_000).with_large_answers(200, 60_000);
    let error = call(&client).unwrap_err();
    assert_eq!(error.step, CallStep::Deadline);
}

#[test]
fn a_call_without_large_answers_ends_at_its_timeout() {
    let address = answer_in_chunks(1_000_000, 10_000, Duration::from_millis(1));
    let error = call(&HttpClient::new(address, 200)).unwrap_err();
    assert_eq!(error.step, CallStep::Deadline);
}

#[test]
fn an_answer_that_trickles_is_given_up_in_the_end() {
    let address = answer_in_chunks(1_000_000, 10_000, Duration::from_millis(1));
    let client = HttpClient::new(address, 60_000).with_large_answers(60_000, 200);
    let error = call(&client).unwrap_err();
    assert_eq!(error.step, CallStep::Deadline);
}

#[test]
fn a_client_knows_whether_an_answer_goes_on_until_it_ends_or_is_given_up() {
    let address = answer_in_chunks(30, 3, Duration::from_millis(1));
    let client = HttpClient::new(address, 60_000).with_large_answers(60_000, 60_000);
    assert!(!client.is_receiving());
    let request = Request::get("/").body(Bytes::new()).unwrap();
    let begun = async {
        while !client.is_receiving() {
            sleep_ms(1).await;
        }
        true
    };
    let ended = async { client.call(request).await.is_err() };
    assert!(block_on(futures_lite::future::or(begun, ended)));
    assert!(!client.is_receiving());
}
