//! Runs of targets that are known to leave by their own order, as entries advertise them to each other.
//!
//! Every entry that knows of a leave advertises it, so that the knowledge outlives the entry that received the order.
//! A leave is advertised until the list of targets contains it: while the store is unavailable, the list doesn't, and
//! entries that start or that were out of touch can learn of it in no other way than from a peer.

use pinhaven_types::Microseconds;
use std::collections::BTreeMap;

/// How long a leave is advertised at least. Single datagrams get lost, and a peer may list the target later than it
/// receives the leave.
const ADVERTISE_FOR: Microseconds = Microseconds::from_ms(10_000);
/// Maximum number of runs in one datagram, so that the datagram fits into one packet with its other content.
const ADVERTISED_MAX: usize = 64;
/// Number of runs in a datagram that are always the latest, if not all fit. The others take turns.
const LATEST_MAX: usize = 32;
/// Maximum number of runs that are remembered. The oldest are dropped first.
const RUNS_MAX: usize = 1_024;

/// Keys (short hashes) of leaving runs, with the time at which this entry learned of each.
#[derive(Debug, Default)]
pub struct ReportedLeaves(BTreeMap<u32, Microseconds>);

impl ReportedLeaves {
    /// No leaves.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a run leaves, as this entry learned at `now` from the target or from a peer.
    pub fn record(&mut self, key: u32, now: Microseconds) {
        self.0.entry(key).or_insert(now);
        while self.0.len() > RUNS_MAX {
            let oldest = self.0.iter().min_by_key(|(_, learned_at)| **learned_at);
            let Some(oldest) = oldest.map(|(key, _)| *key) else {
                return;
            };
            self.0.remove(&oldest);
        }
    }

    /// Removes runs that have been advertised long enough, unless `is_listed_as_live` holds for them.
    pub fn expire(&mut self, now: Microseconds, is_listed_as_live: impl Fn(u32) -> bool) {
        self.0.retain(|key, learned_at| {
            now.saturating_sub(*learned_at) < ADVERTISE_FOR || is_listed_as_live(*key)
        });
    }

    /// Keys of all remembered runs.
    pub fn all(&self) -> Vec<u32> {
        self.0.keys().copied().collect()
    }

    /// Keys of the runs to advertise in the datagram with number `round`, the latest first.
    pub fn to_advertise(&self, round: u64) -> Vec<u32> {
        let mut runs: Vec<(Microseconds, u32)> =
            self.0.iter().map(|(key, at)| (*at, *key)).collect();
        runs.sort_unstable_by(|a, b| b.cmp(a));
        if runs.len() > ADVERTISED_MAX {
            let earlier = &mut runs[LATEST_MAX..];
            let turn = round as usize % earlier.len();
            earlier.rotate_left((turn * (ADVERTISED_MAX - LATEST_MAX)) % earlier.len());
            runs.truncate(ADVERTISED_MAX);
        }
        runs.into_iter().map(|(_, key)| key).collect()
    }
}
