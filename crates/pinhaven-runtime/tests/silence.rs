//! Transfers whose other side stops moving.

use bytes::Bytes;
use futures_lite::stream;
use http::Request;
use http::Response;
use http_body::Frame;
use http_body_util::BodyExt as _;
use http_body_util::StreamBody;
use hyper::body::Incoming;
use pinhaven_runtime::AnyBody;
use pinhaven_runtime::BodyOverdue;
use pinhaven_runtime::BodySilent;
use pinhaven_runtime::BoxError;
use pinhaven_runtime::HttpServer;
use pinhaven_runtime::HttpServerSettings;
use pinhaven_runtime::SilenceLimited;
use pinhaven_runtime::block_on;
use pinhaven_runtime::sleep_ms;
use pinhaven_runtime::spawn;
use pinhaven_runtime::whole_body;
use pinhaven_runtime::within;
use std::io::Write as _;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

/// Maximum time that a test waits for an end that must come.
const WAIT_MAX: Duration = Duration::from_secs(20);

/// Body of `parts` parts that come at this interval, after which its sender falls silent.
fn body_of(parts: usize, interval_ms: u64) -> AnyBody {
    let frames = stream::unfold(0, move |sent| async move {
        match sent < parts {
            true => sleep_ms(interval_ms).await,
            false => std::future::pending().await,
        }
        let frame = Frame::data(Bytes::from_static(b"part"));
        Some((Ok::<_, BoxError>(frame), sent + 1))
    });
    StreamBody::new(frames).boxed_unsync()
}

/// Receives parts until the body fails. Returns their number and the error.
async fn receive(mut body: impl http_body::Body<Error = BoxError> + Unpin) -> (usize, BoxError) {
    let mut parts = 0;
    loop {
        match body.frame().await.expect("the body has no end") {
            Ok(_) => parts += 1,
            Err(error) => return (parts, error),
        }
    }
}

/// Guards against a request without an end whose answer falls silent without a reset.
#[test]
fn a_body_whose_sender_falls_silent_fails() {
    block_on(async {
        let limited = SilenceLimited::new(body_of(3, 1), Instant::now(), Duration::from_millis(60));
        let received = within(WAIT_MAX, receive(limited)).await;
        let (parts, error) = received.expect("the silent body has ended");
        assert_eq!(parts, 3);
        assert!(error.is::<BodySilent>(), "{error}");
    });
}

/// The limit is on each wait: the whole takes many times as long.
#[test]
fn a_body_that_moves_slowly_is_not_cut() {
    block_on(async {
        let (parts, interval_ms) = (40, 10);
        let silence_max = Duration::from_millis(200);
        let limited = SilenceLimited::new(body_of(parts, interval_ms), Instant::now(), silence_max);
        let (received, _) = receive(limited).await;
        assert_eq!(received, parts);
    });
}

#[test]
fn silence_before_the_deadline_does_not_end_a_body() {
    block_on(async {
        let not_before = Instant::now() + Duration::from_millis(150);
        let limited = SilenceLimited::new(body_of(1, 100), not_before, Duration::from_millis(1));
        let (received, _) = receive(limited).await;
        assert_eq!(received, 1);
        assert!(Instant::now() >= not_before);
    });
}

/// Guards against a body in order that has no end.
#[test]
fn a_body_that_goes_on_past_its_last_time_fails() {
    block_on(async {
        let ends_at = Instant::now() + Duration::from_millis(60);
        let limited = SilenceLimited::new(body_of(usize::MAX, 1), Instant::now(), WAIT_MAX);
        let limited = limited.with_end(Some(ends_at));
        let received = within(WAIT_MAX, receive(limited)).await;
        let (_, error) = received.expect("the body has ended");
        assert!(error.is::<BodyOverdue>(), "{error}");
        assert!(Instant::now() >= ends_at);
    });
}

/// Guards against a connection without an end whose caller accepts nothing of its answer.
#[test]
fn a_connection_whose_caller_does_not_read_its_answer_ends() {
    /// Size of the answer in bytes, more than the buffers of a connection hold.
    const ANSWER_BYTES: usize = 64 << 20;
    let settings = HttpServerSettings {
        idle_ms: 100,
        connections_max: 4,
        allows_http2: false,
    };
    let server = HttpServer::bind(([127, 0, 0, 1], 0).into(), settings).unwrap();
    let server: &'static HttpServer = Box::leak(Box::new(server));
    block_on(async {
        spawn(server.serve(|_: Request<Incoming>| async {
            Response::new(whole_body(vec![b'x'; ANSWER_BYTES]))
        }))
        .detach();
        let mut caller = TcpStream::connect(server.local_address()).unwrap();
        caller
            .write_all(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
            .unwrap();
        let ended = async {
            while server.open_connections() == 0 {
                sleep_ms(5).await;
            }
            while server.open_connections() > 0 {
                sleep_ms(5).await;
            }
        };
        let has_ended = within(WAIT_MAX, ended).await;
        assert_eq!(has_ended, Some(()), "the connection is still open");
        drop(caller);
    });
}
