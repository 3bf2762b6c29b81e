//! Lines that wait to be written, in a fixed number of bytes.
//!
//! Adding a line takes a short lock and never waits for the output. The fuller the ring, the more
//! important a line must be to get in.

use std::collections::VecDeque;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

/// How important lines are, the least first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Importance {
    /// Requests that went as they should.
    Plain,
    /// Requests that needed more than one attempt or came late.
    Unusual,
    /// Requests that failed, and what the process believes.
    Failure,
}

impl Importance {
    const ALL: [Self; 3] = [Self::Plain, Self::Unusual, Self::Failure];

    /// Share of the ring up to which such lines are taken.
    fn capacity_share(self) -> f64 {
        match self {
            Self::Plain => 0.5,
            Self::Unusual => 0.75,
            Self::Failure => 1.0,
        }
    }
}

/// What became of lines so far.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RingCounts {
    /// Lines taken.
    pub accepted: u64,
    /// Lines dropped, by importance.
    pub dropped: [u64; 3],
}

impl RingCounts {
    /// All lines dropped.
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

/// A ring of lines.
#[derive(Debug)]
pub struct Ring {
    bytes_max: usize,
    state: Mutex<RingState>,
    has_lines: Condvar,
}

impl Ring {
    /// A ring that holds up to `bytes_max`.
    pub fn new(bytes_max: usize) -> Self {
        Self {
            bytes_max,
            state: Mutex::new(RingState::default()),
            has_lines: Condvar::new(),
        }
    }

    /// Adds lines that belong together, all or none. Returns whether they were taken.
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

    /// What became of lines so far.
    pub fn counts(&self) -> RingCounts {
        self.lock().counts
    }

    /// Takes no more lines; lines in the ring can still be taken out.
    pub fn close(&self) {
        self.lock().is_closed = true;
        self.has_lines.notify_all();
    }

    /// Takes all lines out, waiting for some for at most `wait`. `None` once the ring is closed
    /// and empty.
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
