//! Targets that told this entry themselves that they leave, as far as the others should hear of it.

use pinhaven_types::Microseconds;

/// How long the others are told. Datagrams get lost; twenty whole ones in a row do not.
const ADVERTISE_FOR: Microseconds = Microseconds::from_ms(10_000);
/// Runs told of in one datagram, the last heard first, so that it fits into one packet beside all else.
const ADVERTISED_MAX: usize = 64;

/// Short hashes of runs of targets, and when each was heard, the last at the end.
#[derive(Debug, Default)]
pub(crate) struct ReportedLeaves(Vec<(u32, Microseconds)>);

impl ReportedLeaves {
    /// Takes in that a run said so at `now`.
    pub(crate) fn record(&mut self, key: u32, now: Microseconds) {
        self.0.push((key, now));
    }

    /// Forgets those that the others had time to hear of.
    pub(crate) fn expire(&mut self, now: Microseconds) {
        self.0
            .retain(|(_, reported_at)| now.saturating_sub(*reported_at) < ADVERTISE_FOR);
    }

    /// The runs to tell of.
    pub(crate) fn keys(&self) -> Vec<u32> {
        let latest = self.0.iter().rev().take(ADVERTISED_MAX);
        latest.map(|(key, _)| *key).collect()
    }
}
