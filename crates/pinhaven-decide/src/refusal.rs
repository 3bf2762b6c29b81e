//! Refusals: the final answers to requests for which no target's answer is delivered.

use std::fmt;

/// Why a request was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RefusalReason {
    /// The deadline had passed when the request arrived.
    DeadlinePast,
    /// The request could not have been answered before its deadline.
    NoTimeLeft,
    /// The targets of the service are overloaded.
    Overloaded,
    /// The entry's utilization is too high for the priority of the request.
    EntryFull,
    /// No target may receive the request.
    NoTarget,
    /// Each target that does not leave stands in a failure domain that operators have drained.
    Drained,
    /// Each target that does not leave is resting.
    Resting,
    /// The targets shed the request, and no further attempt was possible.
    Shed,
    /// No target could be reached.
    Unreachable,
    /// A target received the request and its answer did not arrive completely.
    Broken,
    /// The deadline passed while an attempt was in flight.
    DeadlineCame,
    /// The entry is stopping and can't wait any longer for an answer.
    EntryStopping,
    /// The entry is stopping, and an answer might come only after its end.
    StopTooNear,
    /// The request crashes the targets that run it.
    HeldBack,
    /// This entry reaches no target, and the entry to which it forwarded the request refused it.
    ForwardRefused,
}

impl RefusalReason {
    /// All reasons, for metrics that count refusals by reason.
    pub const ALL: [Self; 15] = [
        Self::DeadlinePast,
        Self::NoTimeLeft,
        Self::Overloaded,
        Self::EntryFull,
        Self::NoTarget,
        Self::Drained,
        Self::Resting,
        Self::Shed,
        Self::Unreachable,
        Self::Broken,
        Self::DeadlineCame,
        Self::EntryStopping,
        Self::StopTooNear,
        Self::HeldBack,
        Self::ForwardRefused,
    ];

    /// Name of the reason in answers, logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::DeadlinePast => "deadline_past",
            Self::NoTimeLeft => "no_time_left",
            Self::Overloaded => "overloaded",
            Self::EntryFull => "entry_full",
            Self::NoTarget => "no_target",
            Self::Drained => "drained",
            Self::Resting => "resting",
            Self::Shed => "shed",
            Self::Unreachable => "unreachable",
            Self::Broken => "broken",
            Self::DeadlineCame => "deadline_came",
            Self::EntryStopping => "entry_stopping",
            Self::StopTooNear => "stop_too_near",
            Self::HeldBack => "held_back",
            Self::ForwardRefused => "forward_refused",
        }
    }
}

/// Whether a request ran at a target, as far as is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunState {
    /// The request ran.
    Run,
    /// The request did not run, and no attempt in flight can still run it.
    NotRun,
    /// Whether the request ran can't be determined.
    Unknown,
}

impl RunState {
    /// Name of the state in answers and logs.
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

/// The final answer to a request for which no target's answer is delivered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Reason of the refusal.
    pub reason: RefusalReason,
    /// Whether the request ran.
    pub run_state: RunState,
    /// Time after which the caller should retry, in milliseconds.
    pub retry_after_ms: u64,
}
