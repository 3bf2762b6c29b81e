//! Bad input at the callers' side, byte for byte.

mod common;

use common::run_serially;
use common::start_lab;
use pinhaven_lab::Lab;
use pinhaven_lab::LabPlan;
use serde_json::json;
use std::io::Read as _;
use std::io::Write as _;
use std::net::Shutdown;
use std::net::TcpStream;
use std::time::Duration;

/// How long a test waits for an answer.
const READ_TIMEOUT: Duration = Duration::from_secs(10);

async fn bad_input_lab() -> Lab {
    let service = common::quote_service().with_bundle(json!({
        "body_bytes": 100_000,
        "replay_bytes": 1_000,
        "routes": [
            {"method": "POST", "path_prefix": "/keyed", "repeatable": false, "key_required": true},
            {"method": "POST", "path_prefix": "/", "repeatable": false},
        ],
    }));
    let plan = LabPlan::new(1, vec![service]);
    start_lab(plan.with_settings(json!({"caller_idle_ms": 1_000}))).await
}

fn connect(address: std::net::SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
    stream
}

/// All that is answered to some bytes until the connection is closed.
fn exchange(address: std::net::SocketAddr, bytes: &[u8]) -> String {
    let mut stream = connect(address);
    // The entry may close before all of a bad request was taken.
    let _ = stream.write_all(bytes);
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    String::from_utf8_lossy(&answer).into_owned()
}

fn request(head: &str, body: &str) -> Vec<u8> {
    format!("{head}\r\nConnection: close\r\n\r\n{body}").into_bytes()
}

#[test]
fn each_bad_request_gets_a_clear_answer_and_does_not_run() {
    run_serially(async {
        let lab = bad_input_lab().await;
        let address = lab.caller_addresses().await[0];
        let long = "x".repeat(40_000);
        // (what, bytes, status, reason)
        let table: [(&str, Vec<u8>, u16, &str); 10] = [
            ("no HTTP", b"HELLO\r\n\r\n".to_vec(), 400, ""),
            (
                "a header field without a colon",
                request("GET / HTTP/1.1\r\nHost quote", ""),
                400,
                "",
            ),
            (
                "a head that is too large",
                request(&format!("GET / HTTP/1.1\r\nHost: quote\r\nX: {long}"), ""),
                431,
                "",
            ),
            (
                "an unknown service",
                request("GET / HTTP/1.1\r\nHost: nobody", ""),
                404,
                "unknown_service",
            ),
            (
                "no host",
                request("GET / HTTP/1.0", ""),
                400,
                "host_missing",
            ),
            (
                "a deadline that is no number",
                request(
                    "GET / HTTP/1.1\r\nHost: quote\r\nPinhaven-Deadline-Ms: soon",
                    "",
                ),
                400,
                "bad_deadline",
            ),
            (
                "a deadline that has passed",
                request(
                    "GET / HTTP/1.1\r\nHost: quote\r\nPinhaven-Deadline-Ms: 0",
                    "",
                ),
                504,
                "deadline_past",
            ),
            (
                "a body that is too large",
                request(
                    "POST / HTTP/1.1\r\nHost: quote\r\nContent-Length: 100001",
                    "",
                ),
                413,
                "body_too_large",
            ),
            (
                "a missing key",
                request(
                    "POST /keyed HTTP/1.1\r\nHost: quote\r\nContent-Length: 1",
                    "x",
                ),
                400,
                "key_missing",
            ),
            (
                "a home that is none",
                request(
                    "POST /keyed HTTP/1.1\r\nHost: quote\r\nContent-Length: 1\r\n\
                     Idempotency-Key: k\r\nPinhaven-Home: here\r\nPinhaven-Sending: 1",
                    "x",
                ),
                400,
                "bad_home",
            ),
        ];
        for (what, bytes, status, reason) in table {
            let answer = exchange(address, &bytes);
            assert!(answer.contains(&format!(" {status} ")), "{what}: {answer}");
            if !reason.is_empty() {
                let lower = answer.to_lowercase();
                assert!(
                    lower.contains(&format!("\"title\":\"{reason}\"")),
                    "{what}: {answer}"
                );
                assert!(lower.contains("pinhaven-run: not-run"), "{what}: {answer}");
                assert!(lower.contains("retry-after: "), "{what}: {answer}");
            }
        }
        assert!(lab.runs(0).await.is_empty());
    });
}

#[test]
fn a_body_that_ends_early_does_not_run() {
    run_serially(async {
        let lab = bad_input_lab().await;
        let address = lab.caller_addresses().await[0];
        let head = "POST /keyed HTTP/1.1\r\nHost: quote\r\nContent-Length: 500\r\n\
                    Idempotency-Key: short";
        let mut stream = connect(address);
        stream.write_all(&request(head, "only this")).unwrap();
        stream.shutdown(Shutdown::Write).unwrap();
        let mut answer = Vec::new();
        let _ = stream.read_to_end(&mut answer);
        assert!(lab.runs(0).await.is_empty());
    });
}

#[test]
fn a_body_that_does_not_come_is_given_up_on_at_the_deadline() {
    run_serially(async {
        let lab = bad_input_lab().await;
        let address = lab.caller_addresses().await[0];
        let head = "POST / HTTP/1.1\r\nHost: quote\r\nContent-Length: 500\r\n\
                    Pinhaven-Deadline-Ms: 300";
        let answer = exchange(address, &request(head, "slow"));
        assert!(answer.contains(" 408 "), "{answer}");
        assert!(answer.contains("\"title\":\"body_slow\""), "{answer}");
    });
}

#[test]
fn a_connection_that_stays_idle_or_sends_half_a_head_is_closed() {
    run_serially(async {
        let lab = bad_input_lab().await;
        let address = lab.caller_addresses().await[0];
        for bytes in ["", "GET / HTTP/1.1\r\nHo"] {
            let mut stream = connect(address);
            stream.write_all(bytes.as_bytes()).unwrap();
            let mut answer = Vec::new();
            let ended = stream.read_to_end(&mut answer);
            assert!(ended.is_ok(), "{bytes:?}: {ended:?}");
        }
    });
}

#[test]
fn a_key_with_another_body_is_refused_and_a_repeated_one_gets_the_first_answer() {
    run_serially(async {
        let lab = bad_input_lab().await;
        let address = lab.caller_addresses().await[0];
        let send = |body: &str, more: &str| {
            let head = format!(
                "POST /keyed HTTP/1.1\r\nHost: quote\r\nIdempotency-Key: k1\r\n\
                 X-Marker: m\r\nContent-Length: {}{more}",
                body.len()
            );
            exchange(address, &request(&head, body))
        };
        let first = send("one", "");
        let repeated = send("one", "");
        let other = send("two", "");
        let stranger = send("one", "\r\nAuthorization: Bearer another");
        assert!(first.contains(" 200 "), "{first}");
        let body_of = |answer: &str| answer.rsplit("\r\n\r\n").next().unwrap().to_owned();
        assert_eq!(body_of(&first), body_of(&repeated));
        for refused in [other, stranger] {
            assert!(refused.contains(" 422 "), "{refused}");
            assert!(
                refused.to_lowercase().contains("pinhaven-run: not-run"),
                "{refused}"
            );
        }
        assert_eq!(lab.runs(0).await.get("k1"), Some(&1));
    });
}

#[test]
fn a_large_upload_streams_to_its_target_whole() {
    run_serially(async {
        let lab = bad_input_lab().await;
        let address = lab.caller_addresses().await[0];
        let body = "u".repeat(100_000);
        let head = "POST /upload HTTP/1.1\r\nHost: quote\r\nX-Marker: up\r\n\
                    Content-Length: 100000";
        let answer = exchange(address, &request(head, &body));
        assert!(answer.contains("up 100000 "), "{answer}");
    });
}
