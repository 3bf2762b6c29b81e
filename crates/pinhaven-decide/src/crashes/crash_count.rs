//! Crashes of one target, as one entry sees them.
//!
//! A target that tells its start is another run after each crash. One that tells none is told apart by the number of the
//! crash: several requests break in one crash, and it is the next one only if a connection was made in between that began
//! when nobody listened any more. Entries that missed a crash count fewer, so that together they never count too many.

use pinhaven_types::Microseconds;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// The crashes so far.
#[derive(Debug, Default)]
pub(crate) struct CrashCount {
    number: AtomicU64,
    /// When it was last seen that nobody listened.
    seen_at_us: AtomicU64,
    /// Whether it has crashed and no connection was made since.
    is_down: AtomicBool,
}

impl CrashCount {
    /// Takes in that a request broke and nobody listened at `now`. Returns the number of the crash, from 1.
    pub(crate) fn record_crash(&self, now: Microseconds) -> u64 {
        self.seen_at_us.fetch_max(now.count(), Ordering::AcqRel);
        match self.is_down.swap(true, Ordering::AcqRel) {
            true => self.number.load(Ordering::Acquire),
            false => self.number.fetch_add(1, Ordering::AcqRel) + 1,
        }
    }

    /// Takes in that a connection was made which began at `began`.
    pub(crate) fn record_connection(&self, began: Microseconds) {
        if began.count() > self.seen_at_us.load(Ordering::Acquire) {
            self.is_down.store(false, Ordering::Release);
        }
    }
}
