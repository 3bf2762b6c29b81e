//! Runs of targets that reported to this entry that they leave.
//!
//! The entry advertises these runs to its peers for a limited time.

use pinhaven_types::Microseconds;

/// How long a run is advertised. Single datagrams get lost; the period covers twenty full datagrams, and the
/// chance that all of them are lost is negligible.
const ADVERTISE_FOR: Microseconds = Microseconds::from_ms(10_000);
/// Maximum number of runs in one datagram, so that the datagram fits into one packet with its other content. The
/// latest runs are preferred.
const ADVERTISED_MAX: usize = 64;

/// Keys (short hashes) of leaving runs with the time of each report, in the order of the reports.
#[derive(Debug, Default)]
pub(crate) struct ReportedLeaves(Vec<(u32, Microseconds)>);

impl ReportedLeaves {
    /// Records that a run reported at `now` that it leaves.
    pub(crate) fn record(&mut self, key: u32, now: Microseconds) {
        self.0.push((key, now));
    }

    /// Removes runs that have been advertised long enough.
    pub(crate) fn expire(&mut self, now: Microseconds) {
        self.0
            .retain(|(_, reported_at)| now.saturating_sub(*reported_at) < ADVERTISE_FOR);
    }

    /// Keys of the runs to advertise, the latest first.
    pub(crate) fn keys(&self) -> Vec<u32> {
        let latest = self.0.iter().rev().take(ADVERTISED_MAX);
        latest.map(|(key, _)| *key).collect()
    }
}
