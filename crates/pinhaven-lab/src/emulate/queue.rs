//! What is going to happen in emulated time, in its order.

use pinhaven_decide::AttemptId;
use pinhaven_decide::AttemptOutcome;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

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
    },
    Wake(usize),
    SpeedChanges(usize),
    News,
    Probes,
    TargetsLeave(f64),
}

/// An event and its time; those of one time come in the order in which they were planned.
pub(super) struct Planned {
    at_us: u64,
    number: u64,
    what: What,
}

impl PartialEq for Planned {
    fn eq(&self, other: &Self) -> bool {
        (self.at_us, self.number) == (other.at_us, other.number)
    }
}

impl Eq for Planned {}

impl PartialOrd for Planned {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Planned {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at_us, self.number).cmp(&(other.at_us, other.number))
    }
}

/// All that is planned.
#[derive(Default)]
pub(super) struct Queue {
    events: BinaryHeap<Reverse<Planned>>,
    planned: u64,
}

impl Queue {
    pub(super) fn plan(&mut self, at_us: u64, what: What) {
        self.planned += 1;
        let number = self.planned;
        self.events.push(Reverse(Planned {
            at_us,
            number,
            what,
        }));
    }

    /// The next event and its time, in microseconds.
    pub(super) fn next(&mut self) -> Option<(u64, What)> {
        let Reverse(next) = self.events.pop()?;
        Some((next.at_us, next.what))
    }
}
