//! What is going to happen in emulated time, in its order.

use pinhaven_decide::AnswerOrders;
use pinhaven_decide::AttemptId;
use pinhaven_decide::AttemptOutcome;

/// Something that happens.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum What {
    Arrival,
    Comeback(usize),
    Reaches {
        request: usize,
        attempt: AttemptId,
        target: usize,
    },
    TargetEnds {
        target: usize,
        generation: u64,
    },
    Ended {
        request: usize,
        attempt: AttemptId,
        outcome: AttemptOutcome,
        orders: AnswerOrders,
    },
    Wake(usize),
    SpeedChanges(usize),
    News,
    Probes,
    TargetsLeave(f64),
}

/// All that is planned.
pub(super) type Queue = crate::queue::Queue<What>;
