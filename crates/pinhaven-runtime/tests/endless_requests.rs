//! Callers that send bytes without end.

use http::Request;
use http::Response;
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use pinhaven_runtime::AnyBody;
use pinhaven_runtime::HttpServer;
use pinhaven_runtime::HttpServerSettings;
use pinhaven_runtime::block_on;
use pinhaven_runtime::whole_body;
use std::io::Read as _;
use std::io::Write as _;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

/// Maximum time that a caller waits for an answer.
const WAIT_MAX: Duration = Duration::from_secs(10);

/// Number of writes of a caller that sends without end before others call.
const STARTING_WRITES: usize = 60;

/// Starts a server with one thread that answers each request when its body has come.
fn start_server() -> SocketAddr {
    let settings = HttpServerSettings {
        idle_ms: 60_000,
        connections_max: 8,
        allows_http2: false,
    };
    let server = HttpServer::bind(([127, 0, 0, 1], 0).into(), settings).unwrap();
    let address = server.local_address();
    std::thread::spawn(move || block_on(server.serve(answer)));
    address
}

async fn answer(request: Request<Incoming>) -> Response<AnyBody> {
    let mut body = request.into_body();
    let mut length = 0;
    while let Some(Ok(frame)) = body.frame().await {
        length += frame.data_ref().map_or(0, |data| data.len());
    }
    Response::new(whole_body(format!("length {length}")))
}

/// Sends `repeated` after a head until the connection is closed. Returns once the server has read some of it.
fn send_without_end(address: SocketAddr, repeated: &'static [u8]) {
    let mut caller = TcpStream::connect(address).unwrap();
    let head = b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
    caller.write_all(head).unwrap();
    let repeated = repeated.repeat(4_096);
    for _ in 0..STARTING_WRITES {
        caller.write_all(&repeated).unwrap();
    }
    std::thread::spawn(move || while caller.write_all(&repeated).is_ok() {});
}

/// Guards against a server whose thread is held by a caller.
#[test]
fn requests_are_answered_while_a_caller_sends_bytes_without_end() {
    for repeated in [&b"0"[..], b"1\r\nx\r\n"] {
        let address = start_server();
        send_without_end(address, repeated);
        for _ in 0..3 {
            let mut caller = TcpStream::connect(address).unwrap();
            caller.set_read_timeout(Some(WAIT_MAX)).unwrap();
            caller
                .write_all(b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
                .unwrap();
            let mut text = String::new();
            caller
                .read_to_string(&mut text)
                .unwrap_or_else(|error| panic!("{}: {error}", String::from_utf8_lossy(repeated)));
            assert!(text.ends_with("length 0"), "{text}");
        }
    }
}
