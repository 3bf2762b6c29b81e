//! What targets ask for with their answers: that no new work comes, or none for a time.
//!
//! Both bind this entry, unlike reports of load, which only weigh. They hold for one run of a target. A target that
//! leaves does so for good; a rest ends at its time, and a shorter one that is asked for later does not cut it.

use pinhaven_types::Microseconds;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// What a target asks for with one answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AnswerOrders {
    /// It leaves, and wants no new work in this run.
    pub leaves: bool,
    /// It wants nothing from this entry for this long.
    pub rest: Option<Microseconds>,
}

impl AnswerOrders {
    /// Whether it asks for nothing.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

/// What of a target's orders was news.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct OrderChanges {
    /// Whether it was not known that it leaves.
    pub leaves: bool,
    /// When a rest ends that was not known to last as long.
    pub rests_until: Option<Microseconds>,
}

/// Leave to send one request or probe to a target at once. Whatever writes to a target takes one.
#[derive(Debug)]
#[must_use]
pub struct SendPermit(());

/// Why a target gets nothing now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetClosed {
    /// It leaves.
    Leaving,
    /// It asked for a rest that is not over.
    Resting {
        /// When that ends.
        until: Microseconds,
    },
}

impl SendPermit {
    /// Leave to send now, unless the target leaves or rests.
    pub(crate) fn new(
        is_leaving: bool,
        rests_until: Option<Microseconds>,
    ) -> Result<Self, TargetClosed> {
        match (is_leaving, rests_until) {
            (true, _) => Err(TargetClosed::Leaving),
            (false, Some(until)) => Err(TargetClosed::Resting { until }),
            (false, None) => Ok(Self(())),
        }
    }
}

/// The orders of one run of a target.
#[derive(Debug, Default)]
pub(crate) struct OrderState {
    leaves: AtomicBool,
    rests_until_us: AtomicU64,
}

impl OrderState {
    /// Takes in what an answer that came at `now` asks for. Returns what of it was news.
    pub(crate) fn record(&self, orders: &AnswerOrders, now: Microseconds) -> OrderChanges {
        OrderChanges {
            leaves: orders.leaves && !self.leaves.swap(true, Ordering::Relaxed),
            rests_until: orders
                .rest
                .and_then(|rest| self.extend_rest(now.plus(rest))),
        }
    }

    /// Until when nothing may be sent.
    pub(crate) fn closed_until(&self) -> ClosedUntil {
        match self.leaves.load(Ordering::Relaxed) {
            true => ClosedUntil::PERMANENT,
            false => ClosedUntil(self.rests_until_us.load(Ordering::Relaxed)),
        }
    }

    /// Returns the end of the rest if that was not known to be as late.
    fn extend_rest(&self, until: Microseconds) -> Option<Microseconds> {
        let previous_us = self
            .rests_until_us
            .fetch_max(until.count(), Ordering::Relaxed);
        (previous_us < until.count()).then_some(until)
    }
}

/// Until when nothing may be sent to a target, in microseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ClosedUntil(u64);

impl ClosedUntil {
    /// That of a target that leaves.
    const PERMANENT: Self = Self(u64::MAX);

    /// Whether the target leaves.
    pub(crate) fn is_permanent(self) -> bool {
        self == Self::PERMANENT
    }

    /// The end of a rest, if that is not over at `now`.
    pub(crate) fn rest(self, now: Microseconds) -> Option<Microseconds> {
        let is_resting = !self.is_permanent() && self.0 > now.count();
        is_resting.then_some(Microseconds::new(self.0))
    }

    /// Whether nothing may be sent at `now`.
    pub(crate) fn is_closed(self, now: Microseconds) -> bool {
        self.0 > now.count()
    }
}

/// A copy of [`ClosedUntil`] beside what else is read of a target when one is chosen, so that a pick follows no further
/// pointer for each target that it looks at.
#[derive(Debug)]
pub(crate) struct CachedClosedUntil(AtomicU64);

impl CachedClosedUntil {
    pub(crate) fn new(until: ClosedUntil) -> Self {
        Self(AtomicU64::new(until.0))
    }

    pub(crate) fn get(&self) -> ClosedUntil {
        ClosedUntil(self.0.load(Ordering::Relaxed))
    }

    pub(crate) fn set(&self, until: ClosedUntil) {
        self.0.store(until.0, Ordering::Relaxed);
    }
}
