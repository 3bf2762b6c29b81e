//! Callers that send requests ahead and close their connections.

use http::Request;
use http::Response;
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use pinhaven_runtime::AnyBody;
use pinhaven_runtime::HttpServer;
use pinhaven_runtime::HttpServerSettings;
use pinhaven_runtime::block_on;
use pinhaven_runtime::sleep_ms;
use pinhaven_runtime::spawn;
use pinhaven_runtime::whole_body;
use pinhaven_runtime::within;
use socket2::SockRef;
use std::io::Read as _;
use std::io::Write as _;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Maximum time that a test waits for an end that must come.
const WAIT_MAX: Duration = Duration::from_secs(20);
const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n";

fn bind(allows_http2: bool) -> &'static HttpServer {
    let settings = HttpServerSettings {
        idle_ms: 60_000,
        connections_max: 8,
        allows_http2,
    };
    let server = HttpServer::bind(([127, 0, 0, 1], 0).into(), settings).unwrap();
    Box::leak(Box::new(server))
}

/// Requests that the server works on and has worked on.
#[derive(Clone, Default)]
struct Work {
    begun: Arc<AtomicUsize>,
    running: Arc<AtomicUsize>,
}

/// A request in progress, until it is dropped.
struct Running(Arc<AtomicUsize>);

impl Drop for Running {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Work {
    /// Works on a request without an end.
    async fn never_answer(self) -> Response<AnyBody> {
        self.begun.fetch_add(1, Ordering::SeqCst);
        self.running.fetch_add(1, Ordering::SeqCst);
        let _running = Running(self.running);
        std::future::pending().await
    }
}

/// Opens a connection, sends `requests` ahead of the first answer, waits until the first is worked on and lets
/// `leave` end the connection. Returns whether the work on the first request was dropped and no other was begun.
fn is_dropped(
    requests: &[u8],
    allows_http2: bool,
    is_stopping: bool,
    leave: impl FnOnce(TcpStream),
) -> bool {
    let (server, work) = (bind(allows_http2), Work::default());
    let works = work.clone();
    block_on(async {
        spawn(server.serve(move |_: Request<Incoming>| works.clone().never_answer())).detach();
        let mut caller = TcpStream::connect(server.local_address()).unwrap();
        caller.write_all(requests).unwrap();
        let count = |count: &AtomicUsize| count.load(Ordering::SeqCst);
        let begins = async {
            while count(&work.running) == 0 {
                sleep_ms(5).await;
            }
        };
        within(WAIT_MAX, begins)
            .await
            .expect("the request is worked on");
        if is_stopping {
            server.close_gracefully();
            // The connection learns of the stop before its caller leaves.
            sleep_ms(100).await;
        }
        leave(caller);
        let ends = async {
            while count(&work.running) > 0 {
                sleep_ms(5).await;
            }
        };
        within(WAIT_MAX, ends).await.is_some() && count(&work.begun) == 1
    })
}

fn reset(caller: TcpStream) {
    SockRef::from(&caller)
        .set_linger(Some(Duration::ZERO))
        .unwrap();
}

/// Guards against targets that work on for callers that sent requests ahead and left.
#[test]
fn a_request_ends_when_its_caller_that_sent_others_ahead_leaves() {
    for allows_http2 in [false, true] {
        // The last of these are more bytes than hyper reads at once.
        for count in [1, 2, 3, 600] {
            let requests = REQUEST.repeat(count);
            assert!(
                is_dropped(&requests, allows_http2, false, drop),
                "{count} requests"
            );
            assert!(
                is_dropped(&requests, allows_http2, false, reset),
                "{count} requests, reset"
            );
        }
        let mut unfinished = REQUEST.repeat(2);
        unfinished.truncate(REQUEST.len() + 5);
        assert!(
            is_dropped(&unfinished, allows_http2, false, drop),
            "a part of a further request"
        );
    }
}

#[test]
fn a_request_ends_when_its_caller_leaves_while_the_server_stops() {
    assert!(is_dropped(&REQUEST.repeat(2), false, true, drop));
}

/// The bytes that are read ahead come in their order, whatever the sizes of the writes, and the answers with them.
#[test]
fn requests_that_are_sent_ahead_in_pieces_are_answered_whole_and_in_order() {
    let server = bind(false);
    let address: SocketAddr = server.local_address();
    let bodies: Vec<String> = (0..30)
        .map(|number| format!("{number}-{}|", "x".repeat(number * 97 % 1_500)))
        .collect();
    let expected = bodies.concat();
    let requests: String = bodies
        .iter()
        .map(|body| {
            format!(
                "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            )
        })
        .collect();
    let sender = std::thread::spawn(move || {
        let mut caller = TcpStream::connect(address).unwrap();
        caller.set_nodelay(true).unwrap();
        let mut reader = caller.try_clone().unwrap();
        let reading = std::thread::spawn(move || {
            let mut answers = Vec::new();
            let mut chunk = [0; 4_096];
            while !answers.ends_with(b"29-end") {
                match reader.read(&mut chunk).unwrap() {
                    0 => break,
                    read => answers.extend_from_slice(&chunk[..read]),
                }
            }
            String::from_utf8(answers).unwrap()
        });
        for (number, piece) in requests.as_bytes().chunks(211).enumerate() {
            caller.write_all(piece).unwrap();
            if number % 7 == 0 {
                std::thread::sleep(Duration::from_millis(2));
            }
        }
        reading.join().unwrap()
    });
    let answers = block_on(async {
        let number = Arc::new(AtomicUsize::new(0));
        spawn(server.serve(move |request: Request<Incoming>| {
            let number = number.fetch_add(1, Ordering::SeqCst);
            async move {
                let body = request.into_body().collect().await.unwrap().to_bytes();
                sleep_ms(3).await;
                let mut answer = body.to_vec();
                if number == 29 {
                    answer.extend_from_slice(b"29-end");
                }
                Response::new(whole_body(answer))
            }
        }))
        .detach();
        while !sender.is_finished() {
            sleep_ms(5).await;
        }
        sender.join().unwrap()
    });
    let received: String = answers
        .split("\r\n\r\n")
        .skip(1)
        .map(|part| part.split("HTTP/1.1 ").next().unwrap())
        .collect();
    assert_eq!(received, expected + "29-end");
}
