//! The final answer to a request that is given up on.

use std::fmt;

/// Why a request was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RefusalReason {
    /// Its deadline had passed on arrival.
    DeadlinePast,
    /// It could not be answered before its deadline.
    NoTimeLeft,
    /// The service's targets are busy.
    Overloaded,
    /// The entry is busy and the service's priority is low.
    EntryFull,
    /// No target may take it.
    NoTarget,
    /// All targets rest that don't leave.
    Resting,
    /// The targets turned it away, and there is no budget for another attempt.
    Shed,
    /// No target could be reached.
    Unreachable,
    /// A target took it and did not answer whole.
    Broken,
    /// The deadline came while a target had it.
    DeadlineCame,
    /// This entry's planned stop may wait no longer.
    EntryStopping,
    /// It crashes the targets that run it.
    HeldBack,
}

impl RefusalReason {
    /// All reasons, for counters.
    pub const ALL: [Self; 12] = [
        Self::DeadlinePast,
        Self::NoTimeLeft,
        Self::Overloaded,
        Self::EntryFull,
        Self::NoTarget,
        Self::Resting,
        Self::Shed,
        Self::Unreachable,
        Self::Broken,
        Self::DeadlineCame,
        Self::EntryStopping,
        Self::HeldBack,
    ];

    /// Name in answers, logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::DeadlinePast => "deadline_past",
            Self::NoTimeLeft => "no_time_left",
            Self::Overloaded => "overloaded",
            Self::EntryFull => "entry_full",
            Self::NoTarget => "no_target",
            Self::Resting => "resting",
            Self::Shed => "shed",
            Self::Unreachable => "unreachable",
            Self::Broken => "broken",
            Self::DeadlineCame => "deadline_came",
            Self::EntryStopping => "entry_stopping",
            Self::HeldBack => "held_back",
        }
    }
}

/// What is known of whether a request ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunState {
    /// It ran.
    Run,
    /// It did not run, and nothing under way can run it.
    NotRun,
    /// Nobody can tell.
    Unknown,
}

impl RunState {
    /// Name in answers and logs.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Run => "run",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

impl fmt::Display for RunState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// The final answer to a request that is given up on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: RefusalReason,
    /// Whether it ran.
    pub run_state: RunState,
    /// When to come back, in milliseconds.
    pub retry_after_ms: u64,
}
