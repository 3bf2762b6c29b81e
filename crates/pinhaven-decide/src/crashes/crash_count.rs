//! Counts the crashes of one target as one entry observes them.
//!
//! A target that reports its start time has a different start time after each crash. The crashes of other targets are
//! identified by their number. Several requests fail in one crash, so the next crash counts only after a connection was
//! established whose attempt began after the target was last found not listening. An entry that missed a crash counts
//! fewer, so the crashes known to all entries together are never more than the actual number.

use pinhaven_types::Microseconds;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// Number of crashes so far.
#[derive(Debug, Default)]
pub(crate) struct CrashCount {
    number: AtomicU64,
    /// When a connection to the target was last refused.
    refused_at_us: AtomicU64,
    /// Whether the target has crashed and no connection has been established since.
    is_down: AtomicBool,
}

impl CrashCount {
    /// Records that a request failed and that the target was not listening at `now`. Returns the number of the crash,
    /// counted from 1.
    pub(crate) fn record_crash(&self, now: Microseconds) -> u64 {
        self.refused_at_us.fetch_max(now.count(), Ordering::AcqRel);
        match self.is_down.swap(true, Ordering::AcqRel) {
            true => self.number.load(Ordering::Acquire),
            false => self.number.fetch_add(1, Ordering::AcqRel) + 1,
        }
    }

    /// Whether the target has crashed and no connection has been established since.
    pub(crate) fn is_down(&self) -> bool {
        self.is_down.load(Ordering::Acquire)
    }

    /// Records an established connection whose attempt began at `started_at`.
    pub(crate) fn record_connection(&self, started_at: Microseconds) {
        if started_at.count() > self.refused_at_us.load(Ordering::Acquire) {
            self.is_down.store(false, Ordering::Release);
        }
    }
}
