//! Ejection of failing targets, with a floor on how many stay, and a slow return.
//!
//! A target that fails at once looks idle, so each failure counts as load for a while. Several in a
//! row eject the target. It returns with a small share that grows, so that it meets no surge, and is
//! ejected for twice as long when it fails again.

use crate::service::ServiceState;
use crate::target::TargetState;
use pinhaven_types::Microseconds;
use std::sync::atomic::Ordering;

/// Failures in a row that eject a target.
const FAILURES_TO_EJECT: u32 = 3;
/// Time of the first ejection.
const EJECTION_INITIAL: Microseconds = Microseconds::from_ms(500);
/// Doublings after which ejections get no longer.
const EJECTION_DOUBLINGS_MAX: u32 = 6;
/// The most targets that may be ejected at a time, as a share of all.
const EJECTED_SHARE_MAX: f32 = 0.34;

/// Takes a failure of a target in; returns whether that ejected it.
pub(crate) fn record_failure(
    service: &ServiceState,
    target: &TargetState,
    now: Microseconds,
) -> bool {
    target.add_penalty(now, service.slots());
    let failures = target.consecutive_failures.fetch_add(1, Ordering::Relaxed) + 1;
    failures >= FAILURES_TO_EJECT && eject(service, target, now)
}

/// Takes a good answer of a target in.
pub(crate) fn record_success(target: &TargetState, now: Microseconds) {
    target.record_response(now);
    target.raise_in_flight_max();
    if target.consecutive_failures.load(Ordering::Relaxed) != 0 {
        target.consecutive_failures.store(0, Ordering::Relaxed);
    }
    if target.ejections.load(Ordering::Relaxed) != 0 && target.is_warm(now) {
        target.ejections.store(0, Ordering::Relaxed);
    }
}

fn eject(service: &ServiceState, target: &TargetState, now: Microseconds) -> bool {
    // Ejections are rare; the lock keeps two threads from going past the floor together.
    let _guard = service.ejection_lock.lock();
    if target.is_ejected(now) {
        return false;
    }
    let targets = service.targets();
    let excluded = targets
        .iter()
        .filter(|other| other.is_ejected(now) || other.is_closed(now))
        .count();
    if (excluded + 1) as f32 > targets.len() as f32 * EJECTED_SHARE_MAX {
        return false;
    }
    let doublings = target
        .ejections
        .fetch_add(1, Ordering::Relaxed)
        .min(EJECTION_DOUBLINGS_MAX);
    let until = now.plus(Microseconds::new(EJECTION_INITIAL.count() << doublings));
    target
        .ejected_until_us
        .store(until.count(), Ordering::Relaxed);
    target.consecutive_failures.store(0, Ordering::Relaxed);
    target.start_warm_up(until);
    true
}
