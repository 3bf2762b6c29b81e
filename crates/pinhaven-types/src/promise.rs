//! The seven promises, asserted while the program runs.
//!
//! Each check is counted, so that a promise that is never looked at can be seen. A violation is
//! counted and logged, and the caller of [`require_promise`] takes the safe way out.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// What must always hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(usize)]
pub enum Promise {
    /// Measuring load never costs more than its budget.
    MeasuringBudget,
    /// A caller gets the whole answer to its own request.
    WholeOwnAnswer,
    /// A request that was said not to have run did not run.
    NotRun,
    /// A request that may not be repeated runs at most once.
    AtMostOnce,
    /// A leaving target gets no new work after a few seconds.
    LeavingTarget,
    /// A planned stop cuts nothing in flight.
    PlannedStop,
    /// A bundle in force is never replaced by an older one.
    NeverReverts,
}

/// How many promises there are.
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

    /// Name in logs and metrics.
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

/// Counts a check of a promise, and logs it when it does not hold. Returns `holds`.
pub fn require_promise(promise: Promise, holds: bool, detail: impl FnOnce() -> String) -> bool {
    CHECKS[promise as usize].fetch_add(1, Ordering::Relaxed);
    if !holds {
        VIOLATIONS[promise as usize].fetch_add(1, Ordering::Relaxed);
        log::error!(target: "promise", "Promise {} broken: {}.", promise.name(), detail());
    }
    holds
}

/// How often a promise was checked in this process.
pub fn promise_check_count(promise: Promise) -> u64 {
    CHECKS[promise as usize].load(Ordering::Relaxed)
}

/// How often a promise did not hold in this process.
pub fn promise_violation_count(promise: Promise) -> u64 {
    VIOLATIONS[promise as usize].load(Ordering::Relaxed)
}

/// How often any promise did not hold in this process.
pub fn promise_violations() -> u64 {
    Promise::ALL.into_iter().map(promise_violation_count).sum()
}
