//! Requests to cold targets: their rate stays within what the targets bear, whichever entries send.

mod common;

use common::Driven;
use common::at_ms;
use common::good;
use common::service_with;
use pinhaven_decide::ColdAccess;
use pinhaven_decide::Event;
use pinhaven_decide::Microseconds;
use pinhaven_decide::RequestFacts;
use pinhaven_decide::RunState;
use pinhaven_decide::ServiceState;
use serde_json::json;
use std::sync::Arc;

/// Rate that a cold target bears, and what the operators allow beyond it.
const REQUESTS_PER_S: f64 = 4.5;
const OVERSHOOT: f64 = 1.5;
const SLACK: f64 = 8.0;
/// Interval between two requests of each entry, in milliseconds.
const REQUEST_INTERVAL_MS: usize = 5;

/// State of a service of `targets` cold targets at one entry, which owns all of them.
fn cold_service(targets: u16, policy: &str, access: ColdAccess) -> Arc<ServiceState> {
    cold_service_with_rate(targets, policy, access, REQUESTS_PER_S)
}

fn cold_service_with_rate(
    targets: u16,
    policy: &str,
    access: ColdAccess,
    requests_per_s: f64,
) -> Arc<ServiceState> {
    let limit = json!({"requests_per_s": requests_per_s, "duration_ms": 3_000});
    let fields = json!({"policy": policy, "cold_limit": limit, "entries_most": 6});
    let config = service_with(targets, fields);
    let service = Arc::new(ServiceState::new(&config, None, at_ms(0)));
    for target in service.targets() {
        target.set_owned(true);
        target.record_cold(at_ms(0), Microseconds::from_ms(60_000));
    }
    service.refresh_owned();
    service.set_cold_access(access);
    service
}

/// Sends requests at each of the entries for some seconds. Returns the times of those that were sent on.
fn send_times_ms(entries: &[Arc<ServiceState>], seconds: u64) -> Vec<u64> {
    let mut sent_ms = Vec::new();
    for time_ms in (0..seconds * 1_000).step_by(REQUEST_INTERVAL_MS) {
        for entry in entries {
            let facts = RequestFacts::new(false, at_ms(time_ms + 1_000));
            let mut request = Driven::new(entry, facts);
            if request.handle(time_ms, Event::Arrived).sent > 0 {
                sent_ms.push(time_ms);
                request.end(time_ms, 0, good(0, 0));
            } else {
                request.handle(time_ms, Event::CallerLeft);
            }
        }
    }
    sent_ms
}

/// Maximum number of requests within any second.
fn most_in_a_second(sent_ms: &[u64]) -> usize {
    let starts = sent_ms.iter();
    let within = |start: &u64| {
        let second = *start..*start + 1_000;
        sent_ms.iter().filter(|sent| second.contains(*sent)).count()
    };
    starts.map(within).max().unwrap_or(0)
}

#[test]
fn a_cold_target_gets_no_more_than_it_bears_also_while_two_entries_own_it() {
    for policy in ["random", "two_choices", "pinhaven", "forecast"] {
        for owners in [1, 2] {
            let entries: Vec<_> = (0..owners)
                .map(|_| cold_service(1, policy, ColdAccess::Owner))
                .collect();
            let most = most_in_a_second(&send_times_ms(&entries, 5)) as f64;
            let bound = REQUESTS_PER_S * OVERSHOOT + SLACK;
            assert!(most <= bound, "{policy}, {owners} owners: {most}");
        }
    }
}

#[test]
fn the_owner_uses_the_rate_that_a_cold_target_bears() {
    let entry = cold_service(1, "forecast", ColdAccess::Owner);
    let sent = send_times_ms(&[entry], 10).len() as f64;
    assert!(sent >= 0.9 * 10.0 * REQUESTS_PER_S, "{sent} in 10 s");
}

#[test]
fn an_entry_that_is_not_certain_to_be_the_owner_sends_nothing_to_cold_targets() {
    let closed = cold_service(3, "forecast", ColdAccess::Closed);
    assert!(send_times_ms(&[closed], 2).is_empty());
    let not_owned = cold_service(3, "forecast", ColdAccess::Owner);
    for target in not_owned.targets() {
        target.set_owned(false);
    }
    assert!(send_times_ms(&[not_owned], 2).is_empty());
}

#[test]
fn entries_without_owners_share_the_rate() {
    let entries: Vec<_> = (0..6)
        .map(|_| cold_service(1, "pinhaven", ColdAccess::Shared))
        .collect();
    let most = most_in_a_second(&send_times_ms(&entries, 5)) as f64;
    assert!(most <= REQUESTS_PER_S * OVERSHOOT + SLACK, "{most}");
    let sent = send_times_ms(&entries[..1], 20).len();
    assert!(sent > 0);
}

#[test]
fn a_target_that_reports_that_it_is_warm_is_used_without_limit() {
    let entry = cold_service(1, "forecast", ColdAccess::Closed);
    entry.targets()[0].record_cold(at_ms(0), Microseconds::ZERO);
    assert!(send_times_ms(&[entry], 1).len() > 100);
}

/// Guards against a report of an entry that knows less, which would open a target that its owner knows to be cold.
#[test]
fn what_other_entries_know_prolongs_the_cold_time_only() {
    let entry = cold_service(1, "forecast", ColdAccess::Closed);
    let target = &entry.targets()[0];
    target.extend_cold(at_ms(1_000));
    assert!(target.is_cold(at_ms(50_000)));
    target.extend_cold(at_ms(70_000));
    assert!(target.is_cold(at_ms(69_000)) && !target.is_cold(at_ms(70_000)));
}

/// The load of a restored failure domain: its targets may have turned cold while nobody asked them.
#[test]
fn targets_of_a_restored_domain_count_as_cold_until_they_report() {
    let entry = cold_service(1, "forecast", ColdAccess::Closed);
    let target = &entry.targets()[0];
    target.record_cold(at_ms(0), Microseconds::ZERO);
    entry.assume_cold(target, at_ms(10));
    assert!(target.is_cold(at_ms(3_009)) && !target.is_cold(at_ms(3_010)));
    assert!(send_times_ms(&[Arc::clone(&entry)], 2).is_empty());
    target.record_cold(at_ms(2_000), Microseconds::ZERO);
    assert!(!target.is_cold(at_ms(2_001)));
}

/// While nothing may be sent, requests end within their waiting time and can truly be called not run.
#[test]
fn requests_that_only_cold_targets_could_take_are_refused_as_not_run() {
    let entry = cold_service(2, "forecast", ColdAccess::Closed);
    let mut request = Driven::once(&entry);
    let mut outcome = request.handle(0, Event::Arrived);
    let mut time_ms = 0;
    while outcome.refused.is_none() {
        time_ms += 5;
        assert!(time_ms < 1_000, "the request still waits");
        outcome = request.handle(time_ms, Event::TimerFired);
        assert_eq!(outcome.sent, 0);
    }
    assert_eq!(outcome.refused.unwrap().run_state, RunState::NotRun);
}

/// Operators may set any rate above zero.
#[test]
fn a_rate_of_almost_nothing_lets_the_first_requests_pass_only() {
    for requests_per_s in [1e-12, 1e-300] {
        let entry = cold_service_with_rate(1, "forecast", ColdAccess::Owner, requests_per_s);
        assert_eq!(send_times_ms(&[entry], 2).len(), 2, "{requests_per_s}");
    }
}
