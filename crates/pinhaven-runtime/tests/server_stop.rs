//! Connections in the listener's backlog when a server stops.

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
use std::net::TcpStream;

const CONNECTIONS: usize = 20;

async fn answer(_request: Request<Incoming>) -> Response<AnyBody> {
    Response::new(whole_body("served"))
}

/// The operating system completes connections before the server accepts them. A server that closed its listener at
/// once reset those connections and lost the requests that their callers had sent.
#[test]
fn connections_that_wait_when_a_server_stops_are_served() {
    let settings = HttpServerSettings {
        idle_ms: 60_000,
        connections_max: CONNECTIONS,
        allows_http2: false,
    };
    let server = HttpServer::bind(([127, 0, 0, 1], 0).into(), settings).unwrap();
    let address = server.local_address();
    let mut waiting: Vec<TcpStream> = (0..CONNECTIONS)
        .map(|_| TcpStream::connect(address).unwrap())
        .collect();
    for stream in &mut waiting {
        stream
            .write_all(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
            .unwrap();
    }
    server.close_gracefully();
    // The backlog isn't counted as open, so a caller that waits for the end must check is_accepting as well.
    assert_eq!(server.open_connections(), 0);
    assert!(server.is_accepting());
    std::thread::spawn(move || {
        block_on(async {
            server.serve(answer).await;
            assert!(!server.is_accepting());
            assert_eq!(server.open_connections(), CONNECTIONS);
            sleep_ms(60_000).await;
        });
    });
    for mut stream in waiting {
        let mut answer = [0; 1_024];
        let length = stream.read(&mut answer).unwrap_or(0);
        let answer = String::from_utf8_lossy(&answer[..length]);
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer:?}");
    }
}
