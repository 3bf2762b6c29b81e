//! Keys of organisations in the own dialect: once-only requests that are relayed to their home, and callers that use
//! HTTP/2.

mod common;

use bytes::Bytes;
use common::quote_service;
use common::run_serially;
use common::start_lab;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Request;
use http::header::AUTHORIZATION;
use http_body_util::BodyExt as _;
use http_body_util::Full;
use pinhaven_lab::Lab;
use pinhaven_lab::LabPlan;
use pinhaven_peer::Header;
use pinhaven_peer::PeerClients;
use pinhaven_peer::RelayOnceRequest;
use pinhaven_runtime::HttpClient;
use pinhaven_runtime::HyperExecutor;
use pinhaven_runtime::connect_stream;
use pinhaven_runtime::sleep_ms;
use pinhaven_runtime::spawn;
use pinhaven_stand_in::caller::Caller;
use pinhaven_stand_in::caller::CallerSettings;
use pinhaven_types::ApiKey;
use pinhaven_types::Digest;
use serde_json::Value;
use serde_json::json;
use smol_hyper::rt::FuturesIo;
use std::io::Read as _;
use std::io::Write as _;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

/// A key that `acme` holds.
const KEY: &str = "k-7f3a.secret_of-acme";
/// Time after which a rolled version is in force at all entries, in milliseconds; they poll the head every 200 ms.
const ROLL_MS: u64 = 1_500;

/// Maximum time of a relayed request.
const RELAY_TIMEOUT: Duration = Duration::from_secs(5);

/// Heads of the requests that a target received.
type Heads = Arc<Mutex<Vec<String>>>;

/// Starts a target that answers every request with 200 and keeps the heads that it received.
fn start_target() -> (SocketAddr, Heads) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let heads = Heads::default();
    let received = Arc::clone(&heads);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let received = Arc::clone(&received);
            std::thread::spawn(move || serve_once(stream, &received));
        }
    });
    (address, heads)
}

fn serve_once(mut stream: TcpStream, received: &Heads) {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte).unwrap_or(0) == 0 {
            return;
        }
        head.push(byte[0]);
    }
    let head = String::from_utf8_lossy(&head).to_ascii_lowercase();
    let id = head
        .lines()
        .find_map(|line| line.strip_prefix("x-request-id: "));
    let id = id.unwrap_or_default().to_owned();
    received.lock().unwrap().push(head);
    let answer = format!(
        "HTTP/1.1 200 OK\r\nConnection: close\r\nX-Request-Id: {id}\r\nContent-Length: 2\r\n\r\nok"
    );
    let _ = stream.write_all(answer.as_bytes());
}

/// Rolls a version in which `acme` holds [`KEY`] and all requests go to one target.
async fn roll_with_keys(lab: &mut Lab, target: SocketAddr) {
    let mut bundle = lab.bundle();
    let digest = KEY.parse::<ApiKey>().unwrap().digest().to_string();
    bundle["organisations"] = json!([{"name": "acme", "key_digests": [digest]}]);
    bundle["services"][0]["targets"] =
        json!([{"address": target, "failure_domain": lab.plan().domains[0]}]);
    bundle["services"][0]["probe_path"] = Value::Null;
    lab.roll(&bundle).unwrap();
    sleep_ms(ROLL_MS).await;
}

#[test]
fn a_once_only_request_reaches_its_target_without_the_key_through_any_entry() {
    run_serially(async {
        let mut lab = start_lab(LabPlan::new(3, vec![quote_service()])).await;
        let (target, heads) = start_target();
        roll_with_keys(&mut lab, target).await;
        let seeds = lab.caller_addresses().await;
        for (number, seed) in seeds.iter().enumerate() {
            let client = HttpClient::new(*seed, 10_000);
            for key in ["first", "second", "third"] {
                let request = Request::post("/orders")
                    .header("host", "quote")
                    .header("idempotency-key", format!("{key}-{number}"))
                    .header("authorization", format!("Bearer {KEY}"))
                    .header("pinhaven-organisation", "globex")
                    .body(Bytes::from_static(b"one"))
                    .unwrap();
                let response = client.call(request).await.unwrap();
                assert_eq!(response.status(), 200, "{response:?}");
            }
        }
        // Sent again through the other entries: the home answers from its ledger.
        for seed in &seeds {
            let client = HttpClient::new(*seed, 10_000);
            let request = |key: Option<&str>| {
                let request = Request::post("/orders")
                    .header("host", "quote")
                    .header("idempotency-key", "first-0");
                let request = match key {
                    Some(key) => request.header("authorization", format!("Bearer {key}")),
                    None => request,
                };
                request.body(Bytes::from_static(b"one")).unwrap()
            };
            assert_eq!(client.call(request(Some(KEY))).await.unwrap().status(), 200);
            for key in [None, Some("k-unknown")] {
                assert_eq!(client.call(request(key)).await.unwrap().status(), 401);
            }
        }
        let relayed: u64 = lab
            .statuses()
            .await
            .iter()
            .map(|status| status.counters["once.relayed"])
            .sum();
        assert!(relayed > 0, "no request was relayed");
        let words = ["organisations", "--format", "json"];
        let listed: Value = serde_json::from_str(&lab.command(&words).unwrap()).unwrap();
        // Each request is counted once, at its home, and not by the entry that relayed it.
        assert_eq!(
            (&listed[0]["name"], &listed[0]["in_aim"]),
            (&json!("acme"), &json!(9))
        );
        let heads = heads.lock().unwrap();
        assert_eq!(heads.len(), 9, "each request runs once");
        for head in heads.iter() {
            assert!(
                !head.contains("authorization") && !head.contains(KEY),
                "{head}"
            );
            let named = head
                .lines()
                .filter(|line| line.starts_with("pinhaven-organisation:"));
            assert_eq!(
                named.collect::<Vec<&str>>(),
                ["pinhaven-organisation: acme"]
            );
        }
    });
}

#[test]
fn a_caller_that_speaks_http_2_is_authenticated_on_its_open_connection() {
    run_serially(async {
        let mut lab = start_lab(LabPlan::new(1, vec![quote_service()])).await;
        let (target, heads) = start_target();
        roll_with_keys(&mut lab, target).await;
        let stream = connect_stream(lab.caller_addresses().await[0])
            .await
            .unwrap();
        let handshake =
            hyper::client::conn::http2::handshake(HyperExecutor, FuturesIo::new(stream));
        let (mut sender, connection) = handshake.await.unwrap();
        spawn(async move {
            let _ = connection.await;
        })
        .detach();
        let key = format!("Bearer {KEY}");
        let cases = [
            (vec![key.as_str()], 200),
            (vec![], 401),
            (vec![&key, &key], 401),
            (vec!["Bearer k-unknown"], 401),
        ];
        for (credentials, status) in cases {
            // Too large to be buffered, so that what follows the body would be streamed to the target too.
            let body = Full::new(Bytes::from(vec![b'x'; 100_000]));
            let trailers = HeaderMap::from_iter([
                (AUTHORIZATION, HeaderValue::from_str(&key).unwrap()),
                (
                    HeaderName::from_static("pinhaven-organisation"),
                    HeaderValue::from_static("globex"),
                ),
            ]);
            let body = body
                .with_trailers(async move { Some(Ok(trailers)) })
                .boxed_unsync();
            let mut request =
                Request::post("http://quote/price").header("pinhaven-organisation", "globex");
            for credentials in &credentials {
                request = request.header(AUTHORIZATION, *credentials);
            }
            let response = sender
                .send_request(request.body(body).unwrap())
                .await
                .unwrap();
            assert_eq!(response.status(), status, "{credentials:?}");
        }
        let heads = heads.lock().unwrap().clone();
        assert_eq!(heads.len(), 1, "{heads:?}");
        assert!(
            !heads[0].contains("authorization") && !heads[0].contains(KEY),
            "{}",
            heads[0]
        );
        assert!(
            heads[0].contains("pinhaven-organisation: acme"),
            "{}",
            heads[0]
        );
        assert!(!heads[0].contains("globex"), "{}", heads[0]);
        // A version without the organisation's key refuses it on the same connection.
        let mut bundle = lab.bundle();
        bundle["organisations"] = json!([{"name": "acme"}]);
        lab.roll(&bundle).unwrap();
        sleep_ms(ROLL_MS).await;
        let request = Request::get("http://quote/price").header(AUTHORIZATION, &key);
        let body = Full::new(Bytes::new()).with_trailers(async { None });
        let response = sender
            .send_request(request.body(body.boxed_unsync()).unwrap())
            .await;
        assert_eq!(response.unwrap().status(), 401);
    });
}

/// Guards against what an entry of another version relays: an organisation that the home lacks, or the caller's fields
/// as they came.
#[test]
fn a_relayed_request_runs_only_for_an_organisation_that_its_home_knows_and_without_its_key() {
    run_serially(async {
        let mut lab = start_lab(LabPlan::new(1, vec![quote_service()])).await;
        let (target, heads) = start_target();
        roll_with_keys(&mut lab, target).await;
        let seeds = lab.caller_addresses().await;
        let caller = Caller::new(CallerSettings::new(seeds.clone(), "quote", 1.0, 1));
        let home = caller
            .fetch_entries(seeds[0])
            .await
            .unwrap()
            .entries
            .remove(0)
            .home;
        let peer = lab.row(0).await.unwrap().peer_address;
        let field = |name: &str, value: &str| Header {
            name: name.to_owned(),
            value: value.as_bytes().to_vec(),
        };
        let peers = PeerClients::new();
        let cases = [
            ("acme", false, 200),
            ("", true, 200),
            ("", false, 503),
            ("initech", false, 503),
        ];
        for (number, (organisation, is_public, status)) in cases.into_iter().enumerate() {
            let request = RelayOnceRequest {
                home: home.clone(),
                service: "quote".to_owned(),
                key_digest: Digest::of(&[number as u8]).to_string(),
                method: "POST".to_owned(),
                path_and_query: "/orders".to_owned(),
                headers: vec![
                    field("host", "quote"),
                    field("pinhaven-sending", "1"),
                    field("authorization", &format!("Bearer {KEY}")),
                    field("pinhaven-organisation", "umbrella"),
                ],
                body: b"one".to_vec(),
                deadline_ms: 5_000,
                organisation: organisation.to_owned(),
                is_public,
            };
            let answer = peers
                .relay_once(peer, RELAY_TIMEOUT, request)
                .await
                .unwrap();
            assert_eq!(answer.status, status, "{organisation:?} {is_public}");
            let run = answer
                .headers
                .iter()
                .find(|field| field.name == "pinhaven-run");
            let refused = run.map(|run| String::from_utf8_lossy(&run.value).into_owned());
            assert_eq!(refused.is_some_and(|run| run == "not-run"), status == 503);
        }
        let heads = heads.lock().unwrap().clone();
        assert_eq!(heads.len(), 2, "{heads:?}");
        assert!(
            heads[0].contains("pinhaven-organisation: acme"),
            "{}",
            heads[0]
        );
        for head in &heads {
            assert!(
                !head.contains("authorization") && !head.contains("umbrella"),
                "{head}"
            );
        }
    });
}
