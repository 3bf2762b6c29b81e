//! Evidence on one request that was in flight when targets crashed.

use pinhaven_types::Digest;
use pinhaven_types::Microseconds;
use pinhaven_types::RequestFingerprint;

/// Short hash of one run of a target that ended in a crash. All entries that had requests in flight there compute the
/// same hash.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CrashedRun(u32);

impl CrashedRun {
    /// Creates a run from a hash that was received in a message.
    pub const fn new(hash: u32) -> Self {
        Self(hash)
    }

    /// Creates a run of the target with this name. `start_or_number` distinguishes the runs of a target: its start
    /// time in Unix milliseconds by its own clock, or the number of the crash if the target reports no start time.
    pub fn of(target: &str, start_or_number: u64) -> Self {
        let parts = [target.as_bytes(), &start_or_number.to_le_bytes()[..]];
        Self(Digest::of_parts(&parts).short() as u32)
    }

    /// The hash, for messages.
    pub const fn hash(self) -> u32 {
        self.0
    }
}

/// Evidence on one request that entries exchange.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SuspectFacts {
    /// Fingerprint of the request.
    pub fingerprint: RequestFingerprint,
    /// Runs that crashed with the request in flight, and the age of each crash.
    pub crashes: Vec<(CrashedRun, Microseconds)>,
    /// Lower bound for the successes of the request since the first crash.
    pub successes: u32,
}

/// A target run that crashed with the request in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Crash {
    pub(super) run: CrashedRun,
    /// When this entry observed the crash, or the time of the crash according to the age that another entry sent.
    pub(super) at: Microseconds,
}

/// Evidence on one request. Merging is monotonic and independent of the order of messages, so all entries converge to
/// the same evidence.
#[derive(Debug, Clone, Default)]
pub(super) struct Evidence {
    /// The crashes, earliest first.
    crashes: Vec<Crash>,
    successes: u32,
    /// When this entry last recorded new evidence.
    pub(super) changed_at: Microseconds,
}

impl Evidence {
    pub(super) fn crashes(&self) -> &[Crash] {
        &self.crashes
    }

    pub(super) fn successes(&self) -> u32 {
        self.successes
    }

    pub(super) fn has(&self, run: CrashedRun) -> bool {
        self.crashes.iter().any(|crash| crash.run == run)
    }

    /// When the last target crashed.
    pub(super) fn last_at(&self) -> Microseconds {
        self.crashes
            .last()
            .map_or(Microseconds::ZERO, |crash| crash.at)
    }

    /// Records a crash. Returns whether the crash is new.
    pub(super) fn add_crash(&mut self, crash: Crash, now: Microseconds) -> bool {
        if self.has(crash.run) {
            return false;
        }
        let index = self.crashes.partition_point(|known| known.at <= crash.at);
        self.crashes.insert(index, crash);
        self.changed_at = now;
        true
    }

    /// Records one more success of the request.
    pub(super) fn add_success(&mut self, now: Microseconds) {
        self.raise_successes(self.successes.saturating_add(1), now);
    }

    /// Raises the number of successes to at least `successes`. The counts of several entries are not added up, because
    /// the count of a peer may include successes that the peer received from this entry.
    pub(super) fn raise_successes(&mut self, successes: u32, now: Microseconds) {
        if successes > self.successes {
            self.successes = successes;
            self.changed_at = now;
        }
    }
}
