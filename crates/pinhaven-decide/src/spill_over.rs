//! Detection of the times in which a service sends part of its requests to other failure domains.
//!
//! Answers a peak of demand in one domain, and the loss of its targets. Input is the number of attempts within the domain
//! and to others, output the begin and the end of a spill-over, each once. A few requests always cross, so that a
//! spill-over begins at a higher share than that at which it ends.

use pinhaven_types::Microseconds;

/// Minimum time over which the share is computed.
const WINDOW_MIN: Microseconds = Microseconds::from_ms(1_000);
/// Share of the attempts that cross from which a spill-over begins, and below which it ends.
const BEGIN_SHARE: f64 = 0.15;
const END_SHARE: f64 = 0.05;
/// Minimum number of attempts that cross in a window in which a spill-over begins.
const BEGIN_ATTEMPTS_MIN: u64 = 5;
/// Number of successive windows below [`END_SHARE`] after which a spill-over ends.
const END_WINDOWS: u32 = 3;

/// Begin or end of a spill-over.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum SpillOverChange {
    /// The share of the attempts that cross has become large.
    Began {
        /// The share, from 0 to 1.
        share: f64,
    },
    /// The share has been small for some seconds.
    Ended {
        /// Attempts that crossed since the begin.
        attempts: u64,
    },
}

/// Spill-over of one service at one entry.
#[derive(Debug, Clone, Copy, Default)]
pub struct SpillOver {
    at: Microseconds,
    near: u64,
    far: u64,
    /// Number of attempts that had crossed when the spill-over began, while there is one.
    far_at_begin: Option<u64>,
    windows_below: u32,
}

impl SpillOver {
    /// Creates the state of a service that has sent `near` and `far` attempts by `now`.
    pub fn new(near: u64, far: u64, now: Microseconds) -> Self {
        Self {
            at: now,
            near,
            far,
            ..Self::default()
        }
    }

    /// Records the numbers of all attempts by `now`. Returns what has changed.
    pub fn record(&mut self, near: u64, far: u64, now: Microseconds) -> Option<SpillOverChange> {
        if now.saturating_sub(self.at) < WINDOW_MIN {
            return None;
        }
        let crossed = far.saturating_sub(self.far);
        let sent = near.saturating_sub(self.near) + crossed;
        let share = crossed as f64 / sent.max(1) as f64;
        let far_before = self.far;
        (self.at, self.near, self.far) = (now, near, far);
        let Some(far_at_begin) = self.far_at_begin else {
            if share < BEGIN_SHARE || crossed < BEGIN_ATTEMPTS_MIN {
                return None;
            }
            self.far_at_begin = Some(far_before);
            self.windows_below = 0;
            return Some(SpillOverChange::Began { share });
        };
        self.windows_below = match share < END_SHARE {
            true => self.windows_below + 1,
            false => 0,
        };
        if self.windows_below < END_WINDOWS {
            return None;
        }
        self.far_at_begin = None;
        let attempts = far.saturating_sub(far_at_begin);
        Some(SpillOverChange::Ended { attempts })
    }
}
