//! A target that rejects every request with `Retry-After` over pinhaven's own interface to targets.
//!
//! The rest that the answer to a probe orders must also hold for later probes and for the requests of callers.

mod common;

use bytes::Bytes;
use common::run_serially;
use common::start_lab;
use http::Request;
use pinhaven_lab::LabPlan;
use pinhaven_runtime::HttpClient;
use pinhaven_runtime::sleep_ms;
use serde_json::json;
use std::io::Read as _;
use std::io::Write as _;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

/// Answer that orders a rest longer than the test.
const REST_ANSWER: &[u8] =
    b"HTTP/1.1 503 Busy\r\nRetry-After: 60\r\nX-Request-Id: none\r\nContent-Length: 0\r\n\r\n";
/// Interval between two checks for the first probe, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 50;
/// Maximum number of checks for the first probe.
const CHECKS_MAX: usize = 400;
/// Wait for further probes, in milliseconds: several times the interval after which the next probe is due.
const PROBE_WAIT_MS: u64 = 4_000;
/// Number of requests that a caller sends within the rest.
const REQUESTS: usize = 5;

/// Starts a target that counts its requests and answers each with [`REST_ANSWER`].
fn start_resting_target() -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let arrived = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&arrived);
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let count = Arc::clone(&count);
            std::thread::spawn(move || {
                let mut head = Vec::new();
                let mut byte = [0];
                while stream.read_exact(&mut byte).is_ok() {
                    head.push(byte[0]);
                    if head.ends_with(b"\r\n\r\n") {
                        head.clear();
                        count.fetch_add(1, Ordering::SeqCst);
                        let _ = stream.write_all(REST_ANSWER);
                    }
                }
            });
        }
    });
    (address, arrived)
}

#[test]
fn a_rest_that_a_target_asks_a_probe_for_holds_for_probes_and_requests() {
    run_serially(async {
        let mut lab = start_lab(LabPlan::new(1, vec![common::quote_service()])).await;
        let (address, arrived) = start_resting_target();
        let mut bundle = lab.bundle();
        bundle["services"][0]["targets"] = json!([{"address": address, "failure_domain": "a"}]);
        // The only entry holds the only seat and therefore probes all targets.
        bundle["measuring"]["seats"] = json!(1);
        lab.roll(&bundle).unwrap();
        lab.wait_until_in_force().await.unwrap();
        for _ in 0..CHECKS_MAX {
            if arrived.load(Ordering::SeqCst) > 0 {
                break;
            }
            sleep_ms(CHECK_INTERVAL_MS).await;
        }
        assert_eq!(arrived.load(Ordering::SeqCst), 1, "the first probe");
        sleep_ms(PROBE_WAIT_MS).await;
        assert_eq!(arrived.load(Ordering::SeqCst), 1, "probes within the rest");
        let client = HttpClient::new(lab.caller_addresses().await[0], 10_000);
        for _ in 0..REQUESTS {
            let request = Request::get("/").header("host", "quote");
            let answer = client
                .call(request.body(Bytes::new()).unwrap())
                .await
                .unwrap();
            assert_eq!(answer.status(), 503);
            let retry_after_ms = answer.headers()["pinhaven-retry-after-ms"]
                .to_str()
                .unwrap();
            assert!(
                retry_after_ms.parse::<u64>().unwrap() > 30_000,
                "{retry_after_ms}"
            );
        }
        assert_eq!(
            arrived.load(Ordering::SeqCst),
            1,
            "requests within the rest"
        );
    });
}
