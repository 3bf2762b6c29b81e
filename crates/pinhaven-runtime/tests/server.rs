//! What a server holds for its connections.

use http::Request;
use http::Response;
use hyper::body::Incoming;
use pinhaven_runtime::AnyBody;
use pinhaven_runtime::HttpServer;
use pinhaven_runtime::HttpServerSettings;
use pinhaven_runtime::block_on;
use pinhaven_runtime::sleep_ms;
use pinhaven_runtime::whole_body;
use std::io::Read as _;
use std::io::Write as _;
use std::net::SocketAddr;
use std::net::TcpStream;

const CONNECTIONS: usize = 200;
/// What a request needs while it is answered, in bytes.
const REQUEST_BYTES: usize = 64 * 1024;
/// The library's buffers take some 18 KB a connection.
const RESTING_BYTES_MOST: usize = 30 * 1024;
const PAGE_BYTES: usize = 4_096;

/// Memory of this process that is in use, in bytes.
fn resident_bytes() -> usize {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap();
    let pages: usize = text.split(' ').nth(1).unwrap().parse().unwrap();
    pages * PAGE_BYTES
}

async fn answer(_request: Request<Incoming>) -> Response<AnyBody> {
    let mut room = [1_u8; REQUEST_BYTES];
    sleep_ms(1).await;
    room[7] = 2;
    let sum: usize = room.iter().map(|byte| usize::from(*byte)).sum();
    Response::new(whole_body(sum.to_string()))
}

fn ask(stream: &mut TcpStream) {
    stream
        .write_all(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        .unwrap();
    let mut answer = [0; 1_024];
    let length = stream.read(&mut answer).unwrap();
    let answer = String::from_utf8_lossy(&answer[..length]);
    assert!(
        answer.ends_with(&(REQUEST_BYTES + 1).to_string()),
        "{answer}"
    );
}

/// Opens connections, asks once on each and returns what they take while they rest, in bytes each.
fn resting_bytes(address: SocketAddr) -> usize {
    // What the process takes once for all is there after the first.
    let mut first = TcpStream::connect(address).unwrap();
    ask(&mut first);
    let before = resident_bytes();
    let mut held = Vec::new();
    for _ in 0..CONNECTIONS {
        let mut stream = TcpStream::connect(address).unwrap();
        ask(&mut stream);
        held.push(stream);
    }
    resident_bytes().saturating_sub(before) / CONNECTIONS
}

#[test]
fn a_connection_that_rests_holds_no_room_for_requests() {
    let settings = HttpServerSettings {
        idle_ms: 60_000,
        connections_max: CONNECTIONS * 2,
        allows_http2: false,
    };
    let server = HttpServer::bind(([127, 0, 0, 1], 0).into(), settings).unwrap();
    let address = server.local_address();
    std::thread::spawn(move || block_on(server.serve(answer)));
    let bytes = resting_bytes(address);
    assert!(bytes < RESTING_BYTES_MOST, "{bytes} bytes a connection");
}
