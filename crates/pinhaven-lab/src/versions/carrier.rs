//! What carries out an instance's work in emulated time: its link and its share of a core. Each does one thing
//! after the other, in the order in which they come.

/// Bits in a byte, and microseconds of a bit at a megabit a second.
const BITS_PER_BYTE: f64 = 8.0;

/// A link that all which an instance sends and receives shares.
#[derive(Debug, Clone)]
pub(super) struct Link {
    us_per_byte: f64,
    free_at_us: u64,
}

impl Link {
    /// A link of so many megabits a second.
    pub(super) fn new(link_mbps: f64) -> Self {
        Self {
            us_per_byte: BITS_PER_BYTE / link_mbps,
            free_at_us: 0,
        }
    }

    /// Carries bytes after all that came before. Returns when the last of them is through.
    pub(super) fn transfer(&mut self, bytes: usize, now_us: u64) -> u64 {
        let duration_us = bytes as f64 * self.us_per_byte;
        self.free_at_us = self.free_at_us.max(now_us) + duration_us.ceil() as u64;
        self.free_at_us
    }
}

/// A share of a core.
#[derive(Debug, Clone)]
pub(super) struct Processor {
    share: f64,
    free_at_us: u64,
    used_us: u64,
}

impl Processor {
    /// Such a share of a core.
    pub(super) fn new(share: f64) -> Self {
        Self {
            share,
            free_at_us: 0,
            used_us: 0,
        }
    }

    /// Does work that takes `cost_us` on a whole core, after all that came before. Returns when it is done.
    pub(super) fn work(&mut self, cost_us: u64, now_us: u64) -> u64 {
        self.used_us += cost_us;
        let duration_us = cost_us as f64 / self.share;
        self.free_at_us = self.free_at_us.max(now_us) + duration_us.ceil() as u64;
        self.free_at_us
    }

    /// Processor time used so far.
    pub(super) fn used_us(&self) -> u64 {
        self.used_us
    }
}
