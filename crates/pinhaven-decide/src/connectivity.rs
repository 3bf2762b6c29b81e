//! Whether this entry reaches the targets of a service.
//!
//! A connection that fails says little: the target may have crashed, or the links of this entry may be lost. An answer
//! of any target shows that the links work.

use pinhaven_types::Microseconds;
use pinhaven_types::TargetAddress;
use std::hash::BuildHasher as _;
use std::hash::BuildHasherDefault;
use std::hash::DefaultHasher;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// Evidence on whether this entry reaches the targets of one service.
#[derive(Debug, Default)]
pub struct Connectivity {
    /// Last time at which any target was heard; 0 for never.
    heard_at_us: AtomicU64,
    /// Time of the first request sent since any target was heard; 0 for none.
    unanswered_since_us: AtomicU64,
    /// Number of targets that failed since any target was heard. A target counts again after a failure of another.
    failed_targets: AtomicU32,
    last_failed: AtomicU64,
}

impl Connectivity {
    /// Records that a request was sent to a target.
    pub fn record_sent(&self, now: Microseconds) {
        let (unset, ordering) = (0, Ordering::Relaxed);
        // Fails if an earlier request is unanswered, whose time is retained.
        let _ = self.unanswered_since_us.compare_exchange(
            unset,
            now.count().max(1),
            ordering,
            ordering,
        );
    }

    /// Records that a target answered or accepted a connection.
    pub fn record_heard(&self, now: Microseconds) {
        self.heard_at_us.store(now.count(), Ordering::Relaxed);
        self.unanswered_since_us.store(0, Ordering::Relaxed);
        self.failed_targets.store(0, Ordering::Relaxed);
    }

    /// Records that a connection to a target failed.
    pub fn record_failed(&self, target: TargetAddress) {
        let hash = BuildHasherDefault::<DefaultHasher>::default().hash_one(target);
        if self.last_failed.swap(hash, Ordering::Relaxed) != hash || !self.has_failures() {
            self.failed_targets.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Time since any target was heard; `None` if none ever was.
    pub fn heard_age(&self, now: Microseconds) -> Option<Microseconds> {
        let heard_at_us = self.heard_at_us.load(Ordering::Relaxed);
        (heard_at_us > 0).then(|| now.saturating_sub(Microseconds::new(heard_at_us)))
    }

    /// Number of targets that failed since any target was heard.
    pub fn failed_targets(&self) -> u32 {
        self.failed_targets.load(Ordering::Relaxed)
    }

    fn has_failures(&self) -> bool {
        self.failed_targets() > 0
    }
}
