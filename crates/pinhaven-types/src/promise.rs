//! The seven promises: invariants that are checked while the program runs.
//!
//! Each check is counted, so that metrics show a promise that is never checked. A violation is counted and logged,
//! and the caller of [`require_promise`] then takes its safe fallback.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// An invariant that must always hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(usize)]
pub enum Promise {
    /// The cost of measuring load never exceeds its budget.
    MeasuringBudget,
    /// A caller receives the complete answer to its own request.
    WholeOwnAnswer,
    /// A request that was reported as not executed was not executed.
    NotRun,
    /// A request that is not repeatable is executed at most once.
    AtMostOnce,
    /// A leaving target receives no new work after a few seconds.
    LeavingTarget,
    /// A planned stop aborts no request in flight.
    PlannedStop,
    /// A bundle in force is never replaced by an older bundle.
    NeverReverts,
}

/// Number of promises.
const PROMISE_COUNT: usize = 7;

impl Promise {
    /// All promises, in the order of the documentation.
    pub const ALL: [Self; PROMISE_COUNT] = [
        Self::MeasuringBudget,
        Self::WholeOwnAnswer,
        Self::NotRun,
        Self::AtMostOnce,
        Self::LeavingTarget,
        Self::PlannedStop,
        Self::NeverReverts,
    ];

    /// Name of the promise in logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::MeasuringBudget => "measuring_budget",
            Self::WholeOwnAnswer => "whole_own_answer",
            Self::NotRun => "not_run",
            Self::AtMostOnce => "at_most_once",
            Self::LeavingTarget => "leaving_target",
            Self::PlannedStop => "planned_stop",
            Self::NeverReverts => "never_reverts",
        }
    }
}

static CHECKS: [AtomicU64; PROMISE_COUNT] = [const { AtomicU64::new(0) }; PROMISE_COUNT];
static VIOLATIONS: [AtomicU64; PROMISE_COUNT] = [const { AtomicU64::new(0) }; PROMISE_COUNT];

/// Counts a check of `promise` and returns `holds`. If `holds` is false, also counts a violation and logs `detail`.
pub fn require_promise(promise: Promise, holds: bool, detail: impl FnOnce() -> String) -> bool {
    CHECKS[promise as usize].fetch_add(1, Ordering::Relaxed);
    if !holds {
        VIOLATIONS[promise as usize].fetch_add(1, Ordering::Relaxed);
        log::error!(target: "promise", "Promise {} broken: {}.", promise.name(), detail());
    }
    holds
}

/// Number of checks of a promise in this process.
pub fn promise_check_count(promise: Promise) -> u64 {
    CHECKS[promise as usize].load(Ordering::Relaxed)
}

/// Number of violations of a promise in this process.
pub fn promise_violation_count(promise: Promise) -> u64 {
    VIOLATIONS[promise as usize].load(Ordering::Relaxed)
}

/// Number of violations of all promises in this process.
pub fn promise_violations() -> u64 {
    Promise::ALL.into_iter().map(promise_violation_count).sum()
}
