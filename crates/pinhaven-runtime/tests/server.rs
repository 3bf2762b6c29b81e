//! Memory of idle connections.
//!
//! hyper reserves the size of the handler's future in each connection. If the server doesn't box the future, each idle
//! connection takes the memory of a request that is being answered.

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
/// Memory that the handler of a request uses, in bytes.
const REQUEST_BYTES: usize = 64 * 1024;
/// Maximum memory of an idle connection, in bytes. hyper's buffers take about 18 KB of it.
const IDLE_BYTES_MAX: usize = 30 * 1024;
const PAGE_BYTES: usize = 4_096;

/// Resident memory of this process, in bytes.
fn resident_bytes() -> usize {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap();
    let pages: usize = text.split(' ').nth(1).unwrap().parse().unwrap();
    pages * PAGE_BYTES
}

async fn answer(_request: Request<Incoming>) -> Response<AnyBody> {
    let mut buffer = [1_u8; REQUEST_BYTES];
    sleep_ms(1).await;
    buffer[7] = 2;
    let sum: usize = buffer.iter().map(|byte| usize::from(*byte)).sum();
    Response::new(whole_body(sum.to_string()))
}

fn send_request(stream: &mut TcpStream) {
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

/// Opens connections, sends one request on each and returns the memory of an idle connection, in bytes.
fn idle_connection_bytes(address: SocketAddr) -> usize {
    // The first request makes the process allocate its shared memory before the measurement.
    let mut first = TcpStream::connect(address).unwrap();
    send_request(&mut first);
    let before = resident_bytes();
    let mut connections = Vec::new();
    for _ in 0..CONNECTIONS {
        let mut stream = TcpStream::connect(address).unwrap();
        send_request(&mut stream);
        connections.push(stream);
    }
    resident_bytes().saturating_sub(before) / CONNECTIONS
}

#[test]
fn an_idle_connection_reserves_no_memory_for_requests() {
    let settings = HttpServerSettings {
        idle_ms: 60_000,
        connections_max: CONNECTIONS * 2,
        allows_http2: false,
    };
    let server = HttpServer::bind(([127, 0, 0, 1], 0).into(), settings).unwrap();
    let address = server.local_address();
    std::thread::spawn(move || block_on(server.serve(answer)));
    let bytes = idle_connection_bytes(address);
    assert!(bytes < IDLE_BYTES_MAX, "{bytes} bytes per connection");
}
