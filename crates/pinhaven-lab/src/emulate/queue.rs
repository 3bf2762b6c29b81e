//! Event queue of an emulation, in the order of emulated time.

use pinhaven_decide::AnswerOrders;
use pinhaven_decide::AttemptId;
use pinhaven_decide::AttemptOutcome;

/// An event of the emulation. Callers' requests and targets are given by their numbers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum EmulatedEvent {
    Arrival,
    CallerRetry(usize),
    AttemptArrives {
        request: usize,
        attempt: AttemptId,
        target: usize,
    },
    WorkFinishes {
        target: usize,
        generation: u64,
    },
    AttemptEnds {
        request: usize,
        attempt: AttemptId,
        outcome: AttemptOutcome,
        orders: AnswerOrders,
    },
    TimerFires(usize),
    SpeedChanges(usize),
    SendUpdates,
    ProbeTargets,
    TargetsLeave(f64),
    /// A change of the domain plan, by its number, begins or ends.
    DomainChanges {
        change: usize,
        begins: bool,
    },
    ColdTargetsChange(u64),
    EntriesRestart,
}

/// Scheduled events.
pub(super) type Queue = crate::queue::Queue<EmulatedEvent>;
