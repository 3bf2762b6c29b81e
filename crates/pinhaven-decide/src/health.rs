//! Ejection of failing targets, limited to a share of all targets, and their gradual return.
//!
//! A target that fails immediately appears idle, so each failure counts as load for a while. Several consecutive
//! failures eject the target. It returns with a small share of requests that grows, to avoid a surge, and each
//! further ejection lasts twice as long.

use crate::service::ServiceState;
use crate::target::TargetState;
use pinhaven_types::Microseconds;
use std::sync::atomic::Ordering;

/// Consecutive failures that eject a target.
const FAILURES_TO_EJECT: u32 = 3;
/// Duration of the first ejection.
const EJECTION_INITIAL: Microseconds = Microseconds::from_ms(500);
/// Number of doublings after which ejections get no longer.
const EJECTION_DOUBLINGS_MAX: u32 = 6;
/// Maximum share of targets that may be ejected at a time. Targets that leave or rest count as well; those in drained
/// failure domains are left out altogether.
const EJECTED_SHARE_MAX: f32 = 0.34;

/// Records a failure of a target. Returns whether the failure ejected it.
pub(crate) fn record_failure(
    service: &ServiceState,
    target: &TargetState,
    now: Microseconds,
) -> bool {
    target.add_penalty(now, service.slots());
    let failures = target.consecutive_failures.fetch_add(1, Ordering::Relaxed) + 1;
    failures >= FAILURES_TO_EJECT && eject(service, target, now)
}

/// Records a successful answer of a target.
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
    // Ejections are rare; the lock prevents two threads from exceeding the maximum share together.
    let _guard = service.ejection_lock.lock();
    if target.is_ejected(now) {
        return false;
    }
    let (mut all, mut excluded) = (0, 0);
    let targets = service.targets().iter();
    for other in targets.filter(|other| !other.is_domain_drained()) {
        all += 1;
        excluded += u32::from(other.is_ejected(now) || other.is_closed(now));
    }
    if (excluded + 1) as f32 > all as f32 * EJECTED_SHARE_MAX {
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
