//! What is known of one request that was under way when targets crashed.

use pinhaven_types::Digest;
use pinhaven_types::Microseconds;
use pinhaven_types::RequestFingerprint;

/// Short hash of one run of a target that crashed. All entries that had requests there name it alike.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CrashedRun(u32);

impl CrashedRun {
    /// A run with this hash, as it came in a message.
    pub const fn new(hash: u32) -> Self {
        Self(hash)
    }

    /// A run of the target with this name. What tells it from others is its start, a Unix time in milliseconds by its own
    /// clock, or the number of its crash where it tells none.
    pub fn of(target: &str, start_or_number: u64) -> Self {
        let parts = [target.as_bytes(), &start_or_number.to_le_bytes()[..]];
        Self(Digest::of_parts(&parts).short() as u32)
    }

    /// Its hash, for messages.
    pub const fn hash(self) -> u32 {
        self.0
    }
}

/// What an entry tells another one of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SuspectFacts {
    /// The request.
    pub print: RequestFingerprint,
    /// The runs that crashed with it under way, and how long ago.
    pub crashes: Vec<(CrashedRun, Microseconds)>,
    /// Times that it was answered well meanwhile, at the least.
    pub unharmed: u32,
}

/// A target that crashed with the request under way.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Crash {
    pub(super) run: CrashedRun,
    /// When that was known here or, as far as its age tells, elsewhere.
    pub(super) at: Microseconds,
}

/// What is known of a request. It only grows, whoever tells it in which order, so that entries agree.
#[derive(Debug, Clone, Default)]
pub(super) struct Evidence {
    /// The earliest first.
    crashes: Vec<Crash>,
    unharmed: u32,
    /// When anything was last learned here.
    pub(super) changed_at: Microseconds,
}

impl Evidence {
    pub(super) fn crashes(&self) -> &[Crash] {
        &self.crashes
    }

    pub(super) fn unharmed(&self) -> u32 {
        self.unharmed
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

    /// Takes a crash in. Returns whether it was not known.
    pub(super) fn add_crash(&mut self, crash: Crash, now: Microseconds) -> bool {
        if self.has(crash.run) {
            return false;
        }
        let place = self.crashes.partition_point(|known| known.at <= crash.at);
        self.crashes.insert(place, crash);
        self.changed_at = now;
        true
    }

    /// Takes in that it was answered well once more.
    pub(super) fn add_unharmed(&mut self, now: Microseconds) {
        self.raise_unharmed(self.unharmed.saturating_add(1), now);
    }

    /// Takes in that it was answered well at least so often. Counts of several entries are not added up, as what one
    /// tells may hold what it was told.
    pub(super) fn raise_unharmed(&mut self, unharmed: u32, now: Microseconds) {
        if unharmed > self.unharmed {
            self.unharmed = unharmed;
            self.changed_at = now;
        }
    }
}
