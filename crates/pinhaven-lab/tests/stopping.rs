//! Planned stops of entries and targets: each request in flight gets its final answer, and a leaving target gets no new
//! work.

mod common;

use common::assert_no_faults;
use common::run_serially;
use common::start_caller;
use common::start_default_lab;
use common::start_lab;
use pinhaven_lab::LabPlan;
use pinhaven_runtime::sleep_ms;
use pinhaven_stand_in::target::TargetFaults;
use serde_json::json;
use std::time::Duration;

/// Maximum time after the beginning of a drain at which a target may still get new work, in milliseconds.
const LEAVING_MAX_MS: u64 = 3_000;

#[test]
fn a_rolling_replacement_of_every_entry_loses_no_request() {
    run_serially(async {
        let mut lab = start_default_lab().await;
        let calls = start_caller(&lab, 9_000, |settings| settings.rate_per_s = 100.0).await;
        sleep_ms(300).await;
        for index in 0..3 {
            lab.entry(index).terminate();
            let ended = lab.entry(index).wait(Duration::from_secs(20)).await;
            assert_eq!(
                ended,
                Some(true),
                "entry {index} stops without cutting anything"
            );
            lab.start_entry(index).unwrap();
            lab.wait_until_ready().await.unwrap();
        }
        let report = calls.await;
        let once = &report.once;
        let repeatable = &report.repeatable;
        assert_eq!(repeatable.answered, repeatable.sent, "{repeatable:?}");
        assert_eq!(once.cut + once.silent + once.unreachable, 0, "{once:?}");
        assert_no_faults(&lab, &report).await;
    });
}

#[test]
fn a_signal_of_changed_settings_stops_no_entry_and_loses_no_request() {
    run_serially(async {
        let mut lab = start_default_lab().await;
        let calls = start_caller(&lab, 1_500, |settings| settings.rate_per_s = 100.0).await;
        for _ in 0..10 {
            for index in 0..3 {
                lab.entry(index).signal_reload();
            }
            sleep_ms(50).await;
        }
        let report = calls.await;
        let repeatable = &report.repeatable;
        assert_eq!(repeatable.answered, repeatable.sent, "{repeatable:?}");
        for index in 0..3 {
            let ended = lab.entry(index).wait(Duration::from_millis(1)).await;
            assert_eq!(ended, None, "entry {index} has stopped");
        }
        assert_no_faults(&lab, &report).await;
    });
}

#[test]
fn a_stop_waits_for_a_long_request() {
    run_serially(async {
        let mut slow = common::quote_service();
        slow.mean_ms = 2_500.0;
        slow.sigma = 0.0;
        let mut lab = start_lab(LabPlan::new(2, vec![slow])).await;
        let calls = start_caller(&lab, 200, |settings| {
            settings.rate_per_s = 20.0;
            settings.deadline_ms = 20_000;
        });
        let calls = calls.await;
        sleep_ms(300).await;
        for index in 0..2 {
            lab.entry(index).terminate();
        }
        let report = calls.await;
        assert!(report.repeatable.sent + report.once.sent > 0);
        assert_eq!(report.repeatable.answered, report.repeatable.sent);
        assert_eq!(report.once.answered, report.once.sent);
        for index in 0..2 {
            let ended = lab.entry(index).wait(Duration::from_secs(20)).await;
            assert_eq!(ended, Some(true));
        }
    });
}

/// Guards against a stop that a further signal shortens or begins anew.
#[test]
fn further_signals_during_a_stop_cut_no_request() {
    run_serially(async {
        let mut slow = common::quote_service();
        slow.mean_ms = 1_500.0;
        slow.sigma = 0.0;
        let mut lab = start_lab(LabPlan::new(2, vec![slow])).await;
        let calls = start_caller(&lab, 200, |settings| {
            settings.rate_per_s = 20.0;
            settings.deadline_ms = 20_000;
        });
        let calls = calls.await;
        sleep_ms(300).await;
        for _ in 0..3 {
            for index in 0..2 {
                lab.entry(index).terminate();
                lab.entry(index).signal_reload();
            }
            sleep_ms(150).await;
        }
        let report = calls.await;
        assert!(report.repeatable.sent + report.once.sent > 0);
        assert_eq!(report.repeatable.answered, report.repeatable.sent);
        assert_eq!(report.once.answered, report.once.sent);
        for index in 0..2 {
            let ended = lab.entry(index).wait(Duration::from_secs(20)).await;
            assert_eq!(ended, Some(true));
        }
    });
}

#[test]
fn a_stop_that_may_wait_no_longer_gives_every_request_its_final_answer() {
    run_serially(async {
        // Requests take longer than the stop may wait, as they do at a target that never answers.
        let mut silent = common::quote_service().with_bundle(json!({"typical_ms": 10}));
        silent.mean_ms = 30_000.0;
        silent.sigma = 0.0;
        let plan = LabPlan::new(2, vec![silent]);
        let mut lab = start_lab(plan.with_settings(json!({"stop_most_ms": 1_500}))).await;
        let calls = start_caller(&lab, 300, |settings| {
            settings.rate_per_s = 40.0;
            settings.deadline_ms = 25_000;
        })
        .await;
        sleep_ms(400).await;
        for index in 0..2 {
            lab.entry(index).terminate();
        }
        let report = calls.await;
        for class in [&report.repeatable, &report.once] {
            assert!(class.sent > 0);
            assert_eq!(class.cut + class.silent, 0, "{class:?}");
            let stopping_answers = class.refused.get("entry_stopping/unknown");
            assert!(stopping_answers.is_some(), "{class:?}");
        }
    });
}

#[test]
fn a_draining_target_gets_no_new_work_from_any_entry_after_a_few_seconds() {
    run_serially(async {
        // One entry gets no requests of the service and can learn about the drain only from its peers.
        let fields = json!({"measuring_budget_percent": 0, "entries_named": 2});
        let service = common::quote_service().with_bundle(fields);
        let lab = start_lab(LabPlan::new(3, vec![service])).await;
        let leaving = lab.targets(0)[2];
        let calls = start_caller(&lab, 6_000, |settings| settings.rate_per_s = 200.0).await;
        sleep_ms(500).await;
        let faults = TargetFaults {
            draining: true,
            ..TargetFaults::default()
        };
        lab.set_target_faults(leaving, &faults).await;
        let report = calls.await;
        let counts = lab.target_counts(leaving).await;
        assert!(
            counts.last_arrival_draining_ms < LEAVING_MAX_MS,
            "{counts:?}"
        );
        for index in 0..3 {
            let status = lab.status(index).await.unwrap();
            let targets = &status.services[0].targets;
            let target = targets.iter().find(|t| t.address == leaving.to_string());
            assert_eq!(target.unwrap().state, "leaving", "entry {index}");
        }
        assert_eq!(report.repeatable.answered, report.repeatable.sent);
        assert_no_faults(&lab, &report).await;
    });
}

#[test]
fn a_target_listed_as_leaving_finishes_what_it_has_and_gets_nothing_new() {
    run_serially(async {
        let mut slow = common::quote_service();
        slow.mean_ms = 800.0;
        slow.sigma = 0.0;
        let mut lab = start_lab(LabPlan::new(2, vec![slow])).await;
        let calls = start_caller(&lab, 400, |settings| {
            settings.rate_per_s = 40.0;
            settings.deadline_ms = 20_000;
        });
        let calls = calls.await;
        sleep_ms(200).await;
        let mut bundle = lab.bundle();
        bundle["services"][0]["targets"][0]["state"] = json!("leaving");
        lab.roll(&bundle).unwrap();
        lab.wait_until_in_force().await.unwrap();
        let before = lab.target_counts(lab.targets(0)[0]).await;
        let report = calls.await;
        assert_eq!(report.repeatable.answered, report.repeatable.sent);
        assert_eq!(report.once.answered, report.once.sent);
        let later_report = start_caller(&lab, 400, |_| {}).await.await;
        assert!(later_report.repeatable.answered > 0);
        let after = lab.target_counts(lab.targets(0)[0]).await;
        assert_eq!(after.started, before.started);
        assert_eq!(after.cancelled, 0);
    });
}

/// Guards against late updates of a peer about the previous version, in which a target was leaving: they must not mark
/// the target as leaving in the new version, which lists it as live again.
#[test]
fn reinstated_targets_stay_live_despite_late_updates_about_the_previous_version() {
    run_serially(async {
        let plan = LabPlan::new(3, vec![common::quote_service()]);
        let mut lab = start_lab(plan.with_settings(json!({"gossip_ms": 5}))).await;
        for _ in 0..12 {
            for state in ["leaving", "live"] {
                let mut bundle = lab.bundle();
                for target in bundle["services"][0]["targets"].as_array_mut().unwrap() {
                    target["state"] = json!(state);
                }
                lab.roll(&bundle).unwrap();
                lab.wait_until_in_force().await.unwrap();
            }
            sleep_ms(30).await;
            for status in lab.statuses().await {
                let not_live = status.services[0]
                    .targets
                    .iter()
                    .filter(|t| t.state != "live");
                assert_eq!(not_live.count(), 0, "at {}", status.own.instance_id);
            }
        }
    });
}
