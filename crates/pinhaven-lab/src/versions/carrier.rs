//! The resources of an emulated entry: its network link and its share of a processor core. Each serves its jobs one at
//! a time, in the order in which they arrive.

/// Bits per byte; one bit takes 1 us on a link of 1 Mbit/s.
const BITS_PER_BYTE: f64 = 8.0;

/// Network link, shared by everything that an entry sends and receives.
#[derive(Debug, Clone)]
pub(super) struct Link {
    us_per_byte: f64,
    free_at_us: u64,
}

impl Link {
    /// Creates an idle link with a rate in megabits per second.
    pub(super) fn new(link_mbps: f64) -> Self {
        Self {
            us_per_byte: BITS_PER_BYTE / link_mbps,
            free_at_us: 0,
        }
    }

    /// Queues a transfer behind all earlier ones and returns the time at which its last byte has passed.
    pub(super) fn transfer(&mut self, bytes: usize, now_us: u64) -> u64 {
        let duration_us = bytes as f64 * self.us_per_byte;
        self.free_at_us = self.free_at_us.max(now_us) + duration_us.ceil() as u64;
        self.free_at_us
    }
}

/// Share of a processor core.
#[derive(Debug, Clone)]
pub(super) struct Processor {
    share: f64,
    free_at_us: u64,
    used_us: u64,
}

impl Processor {
    /// Creates an idle processor with a share of a core, from 0 to 1.
    pub(super) fn new(share: f64) -> Self {
        Self {
            share,
            free_at_us: 0,
            used_us: 0,
        }
    }

    /// Queues work that takes `cost_us` on a whole core behind all earlier work and returns the time of its end.
    pub(super) fn work(&mut self, cost_us: u64, now_us: u64) -> u64 {
        self.used_us += cost_us;
        let duration_us = cost_us as f64 / self.share;
        self.free_at_us = self.free_at_us.max(now_us) + duration_us.ceil() as u64;
        self.free_at_us
    }

    /// Processor time used so far, on a whole core.
    pub(super) fn used_us(&self) -> u64 {
        self.used_us
    }
}
