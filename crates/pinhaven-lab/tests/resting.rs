//! A target that turns everything away and asks for rest, on the product's own interface: what one way to it hears binds
//! all others.

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

/// A rest that lasts longer than the test.
const ANSWER: &[u8] =
    b"HTTP/1.1 503 Busy\r\nRetry-After: 60\r\nX-Request-Id: none\r\nContent-Length: 0\r\n\r\n";
/// How often it is looked for the first probe, and for how long.
const LOOK_MS: u64 = 50;
const LOOKS_MOST: usize = 400;
/// Several times as long as it takes until the next probe is due, in milliseconds.
const PROBES_FOR_MS: u64 = 4_000;
/// Requests of a caller within the rest.
const REQUESTS: usize = 5;

/// A target that counts what comes and turns it away.
fn resting_target() -> (SocketAddr, Arc<AtomicUsize>) {
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
                        let _ = stream.write_all(ANSWER);
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
        let (address, arrived) = resting_target();
        let mut bundle = lab.bundle();
        bundle["services"][0]["targets"] = json!([{"address": address, "failure_domain": "a"}]);
        // The one entry holds the one seat, and so probes all targets.
        bundle["measuring"]["seats"] = json!(1);
        lab.roll(&bundle).unwrap();
        lab.wait_until_in_force().await.unwrap();
        for _ in 0..LOOKS_MOST {
            if arrived.load(Ordering::SeqCst) > 0 {
                break;
            }
            sleep_ms(LOOK_MS).await;
        }
        assert_eq!(arrived.load(Ordering::SeqCst), 1, "the first probe");
        sleep_ms(PROBES_FOR_MS).await;
        assert_eq!(arrived.load(Ordering::SeqCst), 1, "probes within the rest");
        let client = HttpClient::new(lab.caller_addresses().await[0], 10_000);
        for _ in 0..REQUESTS {
            let request = Request::get("/").header("host", "quote");
            let answer = client
                .call(request.body(Bytes::new()).unwrap())
                .await
                .unwrap();
            assert_eq!(answer.status(), 503);
            let back_ms = answer.headers()["pinhaven-retry-after-ms"]
                .to_str()
                .unwrap();
            assert!(back_ms.parse::<u64>().unwrap() > 30_000, "{back_ms}");
        }
        assert_eq!(
            arrived.load(Ordering::SeqCst),
            1,
            "requests within the rest"
        );
    });
}
