//! Bounded buffer of lines between the threads that record and the thread that writes.
//!
//! Adding lines takes a short lock and never waits for the output. Each importance may fill the buffer up to its own
//! share of the bytes, so that the least important lines are dropped first.

use std::collections::VecDeque;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

/// Importance of lines, in ascending order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Importance {
    /// Requests answered at the first attempt and in time.
    Plain,
    /// Requests that took more than one attempt or exceeded the latency objective.
    Unusual,
    /// Failed requests, and events and state changes of the process.
    Failure,
}

impl Importance {
    const ALL: [Self; 3] = [Self::Plain, Self::Unusual, Self::Failure];

    /// Share of the ring's bytes up to which lines of this importance are accepted.
    fn capacity_share(self) -> f64 {
        match self {
            Self::Plain => 0.5,
            Self::Unusual => 0.75,
            Self::Failure => 1.0,
        }
    }
}

/// Number of lines accepted and dropped so far.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RingCounts {
    /// Lines accepted.
    pub accepted: u64,
    /// Lines dropped, by importance in ascending order.
    pub dropped: [u64; 3],
}

impl RingCounts {
    /// Returns the number of lines dropped, of any importance.
    pub fn all_dropped(&self) -> u64 {
        self.dropped.iter().sum()
    }
}

#[derive(Debug, Default)]
struct RingState {
    lines: VecDeque<String>,
    bytes: usize,
    counts: RingCounts,
    is_closed: bool,
}

/// A bounded buffer of lines.
#[derive(Debug)]
pub struct Ring {
    bytes_max: usize,
    state: Mutex<RingState>,
    has_lines: Condvar,
}

impl Ring {
    /// Creates a ring that holds up to `bytes_max` bytes of text.
    pub fn new(bytes_max: usize) -> Self {
        Self {
            bytes_max,
            state: Mutex::new(RingState::default()),
            has_lines: Condvar::new(),
        }
    }

    /// Adds either all of `lines` or none. Returns whether the lines were accepted.
    pub fn add(&self, importance: Importance, lines: Vec<String>) -> bool {
        let bytes: usize = lines.iter().map(String::len).sum();
        let capacity = (self.bytes_max as f64 * importance.capacity_share()) as usize;
        let mut state = self.lock();
        if state.bytes + bytes > capacity || state.is_closed {
            let index = Importance::ALL
                .iter()
                .position(|other| *other == importance);
            state.counts.dropped[index.unwrap_or(0)] += lines.len() as u64;
            return false;
        }
        state.bytes += bytes;
        state.counts.accepted += lines.len() as u64;
        state.lines.extend(lines);
        drop(state);
        self.has_lines.notify_one();
        true
    }

    /// Returns the number of lines accepted and dropped so far.
    pub fn counts(&self) -> RingCounts {
        self.lock().counts
    }

    /// Closes the ring. New lines are dropped and counted; buffered lines can still be taken.
    pub fn close(&self) {
        self.lock().is_closed = true;
        self.has_lines.notify_all();
    }

    /// Takes all buffered lines, after waiting at most `wait` for the first. Returns `None` once the ring is closed and
    /// empty.
    pub fn take(&self, wait: Duration) -> Option<String> {
        let mut state = self.lock();
        if state.lines.is_empty() && !state.is_closed {
            let wait_result = self.has_lines.wait_timeout(state, wait);
            state = wait_result.unwrap_or_else(PoisonError::into_inner).0;
        }
        if state.lines.is_empty() && state.is_closed {
            return None;
        }
        state.bytes = 0;
        Some(state.lines.drain(..).collect())
    }

    fn lock(&self) -> MutexGuard<'_, RingState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
