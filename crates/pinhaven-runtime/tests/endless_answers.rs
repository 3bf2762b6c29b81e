//! Peers that send bytes without end.

use bytes::Bytes;
use http::Request;
use http_body_util::BodyExt as _;
use pinhaven_runtime::BoxError;
use pinhaven_runtime::EndlessBytes;
use pinhaven_runtime::block_on;
use pinhaven_runtime::http1_sender;
use pinhaven_runtime::whole_body;
use std::io::Read as _;
use std::io::Write as _;
use std::net::SocketAddr;
use std::net::TcpListener;

const CHUNKED: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Starts a peer that answers each request with `first` and then `repeated`, for a number of times or without end.
fn start_peer(first: &str, repeated: &'static str, times: Option<usize>) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
    let address = listener.local_addr().unwrap();
    let first = first.to_owned();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let _ = stream.read(&mut [0; 1_024]);
            let mut is_open = stream.write_all(first.as_bytes()).is_ok();
            let mut written = 0;
            while is_open && times.is_none_or(|times| written < times) {
                is_open = stream.write_all(repeated.as_bytes()).is_ok();
                written += 1;
            }
        }
    });
    address
}

/// Sends a request to the peer and receives its answer. Returns the number of bytes of the body.
async fn exchange(peer: SocketAddr) -> Result<usize, BoxError> {
    let mut sender = http1_sender(peer).await?;
    let mut request = Request::new(whole_body(Bytes::new()));
    let host = http::HeaderValue::from_static("peer");
    request.headers_mut().insert(http::header::HOST, host);
    let sent = sender.try_send_request(request).await;
    let mut body = sent.map_err(|error| error.into_error())?.into_body();
    let mut received = 0;
    while let Some(frame) = body.frame().await {
        received += frame?.data_ref().map_or(0, Bytes::len);
    }
    Ok(received)
}

/// Guards against a thread that is held by a peer whose bytes without end are no part of an answer.
#[test]
fn an_exchange_with_a_peer_that_sends_bytes_without_end_fails() {
    let kinds = [
        (String::new(), "HTTP/1.1 103 Early Hints\r\n\r\n"),
        (
            "HTTP/1.1 200 OK\r\nX-Field: ".to_owned(),
            "xxxxxxxxxxxxxxxx",
        ),
        (CHUNKED.to_owned(), "0000000000000000"),
        (format!("{CHUNKED}4\r\nbody\r\n"), "0000000000000000"),
    ];
    for (first, repeated) in kinds {
        let peer = start_peer(&first, repeated, None);
        let error = block_on(exchange(peer)).expect_err(&first);
        assert!(EndlessBytes::caused(&*error), "{first}: {error}");
    }
}

/// The limit is on what lies between the parts of an answer: the whole may be of any size.
#[test]
fn a_long_answer_in_small_parts_is_whole() {
    const CHUNKS: usize = 150_000;
    let chunks = "4\r\nbody\r\n".repeat(CHUNKS);
    let peer = start_peer(&format!("{CHUNKED}{chunks}"), "0\r\n\r\n", Some(1));
    assert_eq!(block_on(exchange(peer)).unwrap(), CHUNKS * 4);
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", CHUNKS * 16);
    let peer = start_peer(&head, "xxxxxxxxxxxxxxxx", Some(CHUNKS));
    assert_eq!(block_on(exchange(peer)).unwrap(), CHUNKS * 16);
    let interim = "HTTP/1.1 103 Early Hints\r\n\r\n".repeat(100);
    let peer = start_peer(
        &format!("{interim}{CHUNKED}1\r\nx\r\n"),
        "0\r\n\r\n",
        Some(1),
    );
    assert_eq!(block_on(exchange(peer)).unwrap(), 1);
}
