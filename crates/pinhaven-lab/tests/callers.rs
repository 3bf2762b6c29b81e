//! Interfaces for callers and operators besides plain requests (HTTP/2, address answers, metrics), and the service
//! after the loss of a failure domain.

mod common;

use common::assert_no_faults;
use common::run_serially;
use common::start_caller;
use common::start_default_lab;
use common::start_lab;
use http_body_util::BodyExt as _;
use pinhaven_lab::LabPlan;
use pinhaven_runtime::HyperExecutor;
use pinhaven_runtime::connect_stream;
use pinhaven_runtime::sleep_ms;
use pinhaven_runtime::spawn;
use pinhaven_runtime::whole_body;
use pinhaven_stand_in::caller::Caller;
use pinhaven_stand_in::caller::CallerSettings;
use serde_json::json;
use smol_hyper::rt::FuturesIo;
use std::net::UdpSocket;
use std::time::Duration;

#[test]
fn a_caller_that_speaks_http_2_gets_its_own_answers_over_one_connection() {
    run_serially(async {
        let service = common::quote_service().with_bundle(json!({"entries_named": 1}));
        let lab = start_lab(LabPlan::new(1, vec![service])).await;
        let address = lab.caller_addresses().await[0];
        let stream = FuturesIo::new(connect_stream(address).await.unwrap());
        let handshake = hyper::client::conn::http2::handshake(HyperExecutor, stream);
        let (sender, connection) = handshake.await.unwrap();
        spawn(async move {
            let _ = connection.await;
        })
        .detach();
        let calls: Vec<_> = (0..10)
            .map(|number| {
                let mut sender = sender.clone();
                spawn(async move {
                    let request = http::Request::get("http://quote/price")
                        .header("x-marker", format!("h{number}"))
                        .body(whole_body(""))
                        .unwrap();
                    let response = sender.send_request(request).await.unwrap();
                    assert_eq!(response.status(), 200);
                    let body = response.into_body().collect().await.unwrap().to_bytes();
                    assert!(
                        body.starts_with(format!("h{number} ").as_bytes()),
                        "{body:?}"
                    );
                })
            })
            .collect();
        for call in calls {
            call.await;
        }
    });
}

#[test]
fn address_answers_name_live_entries_near_the_caller_first() {
    run_serially(async {
        let mut lab = start_default_lab().await;
        let seeds = lab.caller_addresses().await;
        let mut settings = CallerSettings::new(seeds.clone(), "quote", 1.0, 1);
        settings.domain = "domain-b".to_owned();
        let caller = Caller::new(settings);
        let answer = caller.fetch_entries(seeds[0]).await.unwrap();
        assert_eq!(answer.entries.len(), 3);
        assert_eq!(answer.entries[0].failure_domain, "domain-b");
        let killed_address = lab.row(2).await.unwrap().caller_address;
        lab.kill_entry(2);
        let is_no_longer_named = async || {
            let answer = caller.fetch_entries(seeds[0]).await;
            answer.is_some_and(|answer| answer.entries.iter().all(|e| e.address != killed_address))
        };
        lab.wait_for("the killed entry not to be named", is_no_longer_named)
            .await
            .unwrap();
    });
}

#[test]
fn after_the_loss_of_a_domain_the_rest_serve_without_a_storm_of_retries() {
    run_serially(async {
        let mut lab = start_lab(LabPlan::new(6, vec![common::quote_service()])).await;
        let calls = start_caller(&lab, 4_000, |settings| settings.rate_per_s = 200.0).await;
        sleep_ms(1_000).await;
        // Entries 1 and 4 are the ones in failure domain domain-b.
        lab.kill_entry(1);
        lab.kill_entry(4);
        let report = calls.await;
        let repeatable = &report.repeatable;
        assert_eq!(repeatable.answered, repeatable.sent, "{repeatable:?}");
        assert_no_faults(&lab, &report).await;
        let attempts = lab.counter("attempts").await;
        let requests = lab.counter("requests").await;
        assert!(
            attempts * 100 <= requests * 110,
            "{attempts} attempts, {requests} requests"
        );
    });
}

#[test]
fn metrics_go_out_as_statsd_datagrams() {
    run_serially(async {
        let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
        socket
            .set_read_timeout(Some(Duration::from_secs(10)))
            .unwrap();
        let address = socket.local_addr().unwrap();
        let plan = LabPlan::new(1, vec![common::quote_service()]);
        let lab = start_lab(plan.with_settings(json!({"metrics_address": address}))).await;
        start_caller(&lab, 500, |_| {}).await.await;
        let mut received = String::new();
        let mut buffer = [0; 65_536];
        let expected = [
            "pinhaven.entry.requests:",
            "pinhaven.entry.attempts:",
            "pinhaven.entry.promise.at_most_once.checks:",
            "pinhaven.entry.service.quote.limit:",
            "pinhaven.entry.version:1|g",
        ];
        while !expected.iter().all(|name| received.contains(name)) {
            let length = socket
                .recv(&mut buffer)
                .expect("no metrics within the read timeout");
            received.push_str(&String::from_utf8_lossy(&buffer[..length]));
            received.push('\n');
        }
    });
}
