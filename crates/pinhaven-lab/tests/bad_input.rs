//! Malformed, truncated and repeated requests of callers, byte for byte.
//!
//! A malformed request must end with a clear answer or a closed connection, and must not run at a target.

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

/// Maximum wait for the bytes of an answer.
const READ_TIMEOUT: Duration = Duration::from_secs(10);

/// Starts an entry with small limits for bodies and idle connections.
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

/// Opens a connection with a read timeout.
fn connect(address: std::net::SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
    stream
}

/// Sends bytes and returns everything that is received until the connection is closed.
fn exchange(address: std::net::SocketAddr, bytes: &[u8]) -> String {
    let mut stream = connect(address);
    // The entry may close the connection before it has read all of a malformed request.
    let _ = stream.write_all(bytes);
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    String::from_utf8_lossy(&answer).into_owned()
}

/// A request that asks the entry to close the connection.
fn request(head: &str, body: &str) -> Vec<u8> {
    format!("{head}\r\nConnection: close\r\n\r\n{body}").into_bytes()
}

#[test]
fn each_bad_request_gets_a_clear_answer_and_does_not_run() {
    run_serially(async {
        let lab = bad_input_lab().await;
        let address = lab.caller_addresses().await[0];
        let long_value = "x".repeat(40_000);
        // (case, bytes, status, reason)
        let table: [(&str, Vec<u8>, u16, &str); 11] = [
            ("not HTTP", b"HELLO\r\n\r\n".to_vec(), 400, ""),
            (
                "a header field without a colon",
                request("GET / HTTP/1.1\r\nHost quote", ""),
                400,
                "",
            ),
            (
                "a head that is too large",
                request(
                    &format!("GET / HTTP/1.1\r\nHost: quote\r\nX: {long_value}"),
                    "",
                ),
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
                "a request for a tunnel",
                request("CONNECT quote:80 HTTP/1.1\r\nHost: quote:80", ""),
                405,
                "bad_method",
            ),
            (
                "no host",
                request("GET / HTTP/1.0", ""),
                400,
                "host_missing",
            ),
            (
                "a deadline that is not a number",
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
                "an invalid home",
                request(
                    "POST /keyed HTTP/1.1\r\nHost: quote\r\nContent-Length: 1\r\n\
                     Idempotency-Key: k\r\nPinhaven-Home: here\r\nPinhaven-Sending: 1",
                    "x",
                ),
                400,
                "bad_home",
            ),
        ];
        for (case, bytes, status, reason) in table {
            let answer = exchange(address, &bytes);
            assert!(answer.contains(&format!(" {status} ")), "{case}: {answer}");
            if !reason.is_empty() {
                let lower = answer.to_lowercase();
                assert!(
                    lower.contains(&format!("\"title\":\"{reason}\"")),
                    "{case}: {answer}"
                );
                assert!(lower.contains("pinhaven-run: not-run"), "{case}: {answer}");
                assert!(lower.contains("retry-after: "), "{case}: {answer}");
            }
        }
        assert!(lab.runs(0).await.is_empty());
    });
}

/// Guards against a caller whose invalid requests make targets look broken to all other callers.
#[test]
fn requests_that_can_not_be_sent_do_not_count_against_targets() {
    run_serially(async {
        let lab = bad_input_lab().await;
        let address = lab.caller_addresses().await[0];
        for _ in 0..40 {
            exchange(
                address,
                &request("CONNECT quote:80 HTTP/1.1\r\nHost: quote:80", ""),
            );
        }
        let status = lab.status(0).await.unwrap();
        let states = status.services[0].targets.iter();
        let states: Vec<&str> = states.map(|target| target.state.as_str()).collect();
        assert_eq!(states, ["live"; 6]);
        assert_eq!(status.services[0].ejections, 0);
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
        let send = |body: &str, extra_headers: &str| {
            let head = format!(
                "POST /keyed HTTP/1.1\r\nHost: quote\r\nIdempotency-Key: k1\r\n\
                 X-Marker: m\r\nContent-Length: {}{extra_headers}",
                body.len()
            );
            exchange(address, &request(&head, body))
        };
        let first = send("one", "");
        let repeated = send("one", "");
        let other_body = send("two", "");
        let other_caller = send("one", "\r\nAuthorization: Bearer another");
        assert!(first.contains(" 200 "), "{first}");
        let body_of = |answer: &str| answer.rsplit("\r\n\r\n").next().unwrap().to_owned();
        assert_eq!(body_of(&first), body_of(&repeated));
        for refused in [other_body, other_caller] {
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
