//! Once-only requests while entries are killed or paused, the platform is down, or answers are lost: none runs twice,
//! and what callers learn about each run is true.

mod common;

use bytes::Bytes;
use common::assert_no_faults;
use common::run_serially;
use common::start_caller;
use common::start_default_lab;
use http::Request;
use pinhaven_agree::Home;
use pinhaven_runtime::HttpClient;
use pinhaven_runtime::sleep_ms;
use pinhaven_stand_in::caller::Caller;
use pinhaven_stand_in::caller::CallerSettings;
use pinhaven_stand_in::platform::PlatformFaults;
use pinhaven_stand_in::target::TargetFaults;

#[test]
fn every_request_is_answered_whole_and_runs_once_while_nothing_fails() {
    run_serially(async {
        let lab = start_default_lab().await;
        for names_home in [true, false] {
            let report = start_caller(&lab, 1_500, |settings| {
                settings.names_home = names_home;
                // Each of the 3 entries writes at most 16 claims per second.
                settings.rate_per_s = if names_home { 150.0 } else { 30.0 };
            });
            let report = report.await.await;
            assert_eq!(report.repeatable.answered, report.repeatable.sent);
            assert_eq!(report.once.answered, report.once.sent, "{:?}", report.once);
            assert_no_faults(&lab, &report).await;
        }
    });
}

#[test]
fn an_entry_that_is_killed_runs_nothing_twice() {
    run_serially(async {
        let mut lab = start_default_lab().await;
        let calls = start_caller(&lab, 2_500, |_| {}).await;
        sleep_ms(700).await;
        lab.kill_entry(1);
        sleep_ms(500).await;
        lab.start_entry(1).unwrap();
        let report = calls.await;
        assert!(report.once.answered > 0);
        assert_no_faults(&lab, &report).await;
    });
}

#[test]
fn an_entry_that_is_paused_under_load_runs_nothing_twice_when_it_goes_on() {
    run_serially(async {
        let mut lab = start_default_lab().await;
        let calls = start_caller(&lab, 3_000, |settings| settings.deadline_ms = 500).await;
        sleep_ms(500).await;
        lab.entry(0).pause();
        sleep_ms(3_500).await;
        lab.entry(0).resume();
        let report = calls.await;
        sleep_ms(500).await;
        assert_no_faults(&lab, &report).await;
    });
}

#[test]
fn requests_with_a_home_need_no_platform() {
    run_serially(async {
        let lab = start_default_lab().await;
        let outage = PlatformFaults {
            table_down: true,
            object_down: true,
            ..PlatformFaults::default()
        };
        lab.set_platform_faults(&outage).await;
        let report = start_caller(&lab, 1_000, |_| {}).await.await;
        assert_eq!(report.once.answered, report.once.sent, "{:?}", report.once);
        assert_no_faults(&lab, &report).await;
    });
}

#[test]
fn requests_without_a_home_are_refused_as_not_run_while_the_table_is_down() {
    run_serially(async {
        let lab = start_default_lab().await;
        let outage = PlatformFaults {
            table_down: true,
            ..PlatformFaults::default()
        };
        lab.set_platform_faults(&outage).await;
        let report = start_caller(&lab, 500, |settings| settings.names_home = false);
        let report = report.await.await;
        assert_eq!(report.once.answered, 0);
        assert!(report.once_said.values().all(|run| run == "not-run"));
        assert_no_faults(&lab, &report).await;
    });
}

#[test]
fn claims_whose_answers_are_lost_run_nothing_twice() {
    run_serially(async {
        let lab = start_default_lab().await;
        let lossy = PlatformFaults {
            lost_answer_percent: 50,
            hang_percent: 10,
            ..PlatformFaults::default()
        };
        lab.set_platform_faults(&lossy).await;
        let report = start_caller(&lab, 1_500, |settings| {
            settings.names_home = false;
            settings.rate_per_s = 30.0;
        });
        let report = report.await.await;
        assert!(report.once.answered > 0);
        assert_no_faults(&lab, &report).await;
    });
}

#[test]
fn targets_that_cut_cross_fail_and_shed_never_lead_to_a_wrong_answer() {
    run_serially(async {
        let lab = start_default_lab().await;
        let faults = [
            TargetFaults {
                cut_percent: 50,
                ..TargetFaults::default()
            },
            TargetFaults {
                crossed_percent: 50,
                ..TargetFaults::default()
            },
            TargetFaults {
                fail_percent: 50,
                ..TargetFaults::default()
            },
            TargetFaults {
                queue_most: 0,
                ..TargetFaults::default()
            },
            TargetFaults {
                lying: true,
                slow_factor: 5.0,
                ..TargetFaults::default()
            },
        ];
        for (target, faults) in lab.targets(0).iter().zip(&faults) {
            lab.set_target_faults(*target, faults).await;
        }
        let report = start_caller(&lab, 2_000, |_| {}).await.await;
        assert!(report.repeatable.answered > 0 && report.once.answered > 0);
        assert_no_faults(&lab, &report).await;
    });
}

#[test]
fn a_request_sent_to_another_entry_is_dispatched_by_its_home_alone() {
    run_serially(async {
        let lab = start_default_lab().await;
        let seeds = lab.caller_addresses().await;
        let caller = Caller::new(CallerSettings::new(seeds.clone(), "quote", 1.0, 1));
        let entries = caller.fetch_entries(seeds[0]).await.unwrap().entries;
        let home = &entries[0];
        let mut bodies = Vec::new();
        for entry in &entries {
            let client = HttpClient::new(entry.address, 10_000);
            let request = Request::post("/orders")
                .header("host", "quote")
                .header("x-marker", "relayed")
                .header("idempotency-key", "relayed")
                .header("pinhaven-home", &home.home)
                .body(Bytes::from_static(b"one"))
                .unwrap();
            let response = client.call(request).await.unwrap();
            assert_eq!(response.status(), 200, "{response:?}");
            bodies.push(response.into_body());
        }
        assert!(bodies.iter().all(|body| *body == bodies[0]));
        assert_eq!(lab.runs(0).await.get("relayed"), Some(&1));
        let home: Home = home.home.parse().unwrap();
        for status in lab.statuses().await {
            let is_home = status.own.incarnation == home.incarnation;
            let dispatched = status.counters["once.dispatched"];
            assert_eq!(dispatched, u64::from(is_home), "{}", status.own.instance_id);
        }
    });
}
