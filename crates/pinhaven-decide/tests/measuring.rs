//! The probe budget, across changes of holders and in any window.

mod common;

use common::at_ms;
use common::service_with;
use pinhaven_bundle::Measuring;
use pinhaven_decide::Microseconds;
use pinhaven_decide::ProbeBudget;
use pinhaven_decide::ProbePace;
use pinhaven_types::promise_violations;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use serde_json::json;

const PROBE_MS: u64 = 7;

fn budget(percent: f64, slots: u32, now: Microseconds) -> ProbeBudget {
    let fields = json!({"measuring_budget_percent": percent, "slots": slots});
    ProbeBudget::new(&Measuring::default(), &service_with(1, fields), now)
}

/// Maximum slot time spent in any window, in milliseconds.
fn max_in_window_ms(probes_ms: &[u64]) -> u64 {
    let window_ms = Measuring::default().window_ms;
    probes_ms
        .iter()
        .map(|from| {
            let inside = probes_ms
                .iter()
                .filter(|at| (*from..from + window_ms).contains(at));
            inside.count() as u64 * PROBE_MS
        })
        .max()
        .unwrap_or_default()
}

#[test]
fn no_probe_is_allowed_where_the_budget_is_nothing_or_too_small() {
    for (percent, slots) in [(0.0, 6), (0.02, 1), (0.1, 1)] {
        let mut budget = budget(percent, slots, at_ms(0));
        assert!(!budget.allows_probes(), "{percent}% of {slots}");
        assert!(!budget.take(at_ms(1_000_000)));
    }
}

#[test]
fn a_new_holder_waits_before_its_first_probe() {
    let mut budget = budget(0.5, 6, at_ms(0));
    assert!(!budget.take(at_ms(0)));
    assert!(budget.next_at().unwrap() > at_ms(0));
}

#[test]
fn a_slow_probe_puts_the_next_ones_off() {
    let mut budget = budget(0.5, 6, at_ms(0));
    let first = budget.next_at().unwrap();
    assert!(budget.take(first));
    let unchanged_next = budget.next_at().unwrap();
    budget.record(Microseconds::from_ms(PROBE_MS * 10));
    assert!(budget.next_at().unwrap() > unchanged_next);
}

/// Holders follow each other at random times. Each may send one probe that it took from the budget just before it was
/// paused.
fn windows_hold(percent_tenths: u8, slots: u8, steps: Vec<u8>) -> bool {
    let percent = f64::from(percent_tenths % 40) / 10.0;
    let slots = u32::from(slots % 8) + 1;
    let allowed_ms = percent / 100.0 * f64::from(slots) * Measuring::default().window_ms as f64;
    let mut time_ms = 0;
    let mut probes_ms = Vec::new();
    let mut holder = budget(percent, slots, at_ms(0));
    let mut last_change_ms = 0;
    for step in steps {
        time_ms += u64::from(step) * 20;
        let has_changed = step % 16 == 0 && time_ms - last_change_ms > 20_000;
        if has_changed {
            if holder.allows_probes() {
                probes_ms.push(time_ms);
            }
            holder = budget(percent, slots, at_ms(time_ms));
            last_change_ms = time_ms;
        }
        if holder.take(at_ms(time_ms)) {
            probes_ms.push(time_ms);
        }
    }
    max_in_window_ms(&probes_ms) as f64 <= allowed_ms
}

#[test]
fn no_window_ever_costs_more_than_the_budget() {
    let before = promise_violations();
    QuickCheck::new()
        .tests(3_000)
        .rng(Gen::from_size_and_seed(400, 23))
        .quickcheck(windows_hold as fn(u8, u8, Vec<u8>) -> bool);
    assert_eq!(promise_violations(), before);
}

/// Entries that disagree on the holder may all probe one target. Together they stay within the permitted rate in any
/// second.
#[test]
fn several_entries_that_probe_one_target_stay_within_the_rate_together() {
    let mut paces = [ProbePace::new(60), ProbePace::new(60), ProbePace::new(60)];
    let mut times_ms = Vec::new();
    for time_ms in 0..10_000 {
        for pace in &mut paces {
            if pace.take(at_ms(time_ms)) {
                times_ms.push(time_ms);
            }
        }
    }
    let in_second = |start: &u64| {
        times_ms
            .iter()
            .filter(|at| (*start..start + 1_000).contains(at))
            .count()
    };
    let max_per_second = times_ms.iter().map(in_second).max().unwrap();
    assert!(max_per_second <= 60, "{max_per_second}");
    assert!(
        max_per_second > 30,
        "{max_per_second} probes a second are too few"
    );
}

#[test]
fn no_probe_is_sent_where_none_is_allowed() {
    let mut pace = ProbePace::new(0);
    let taken = (0..100_000).filter(|time_ms| pace.take(at_ms(*time_ms)));
    assert_eq!(taken.count(), 0);
}
