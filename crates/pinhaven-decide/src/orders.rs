//! Orders that targets send with their answers: to send no new work, or none for a time.
//!
//! Orders bind this entry, unlike load reports, which only influence the choice. They hold for one run of a target.
//! Leaving is permanent. A rest ends at its time, and a later order for a shorter rest does not shorten it.
//!
//! An answer does not name the run that sent it. If a target restarts unnoticed, an order of its later run is recorded
//! for the earlier run, which is still the listed one. A rest that was recorded after the list last confirmed the
//! earlier run is therefore of uncertain origin, and binds the later run as well. Leaving is not passed on: it is
//! permanent, and a later run that leaves says so again in each answer.

use pinhaven_types::Microseconds;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// Orders that a target sends with one answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AnswerOrders {
    /// The target is leaving and accepts no new work in this run.
    pub leaves: bool,
    /// The target accepts nothing from this entry for this long.
    pub rest: Option<Microseconds>,
}

impl AnswerOrders {
    /// Whether there is no order.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

/// Changes that an answer's orders made to the orders of its target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct OrderChanges {
    /// Whether the target was not known to be leaving.
    pub leaves: bool,
    /// The end of the rest, if the rest was not known to last that long.
    pub rests_until: Option<Microseconds>,
}

/// Permission to send one request or probe to a target immediately. Everything that writes to a target requires one.
#[derive(Debug)]
#[must_use]
pub struct SendPermit(());

/// Why nothing may be sent to a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetClosed {
    /// The target is leaving.
    Leaving,
    /// Operators have drained the target's failure domain.
    DomainDrained,
    /// The target asked for a rest that is not over.
    Resting {
        /// End of the rest.
        until: Microseconds,
    },
}

impl SendPermit {
    /// Permission to send now, unless the target is closed.
    ///
    /// # Errors
    ///
    /// The reason for which the target is closed, if it is.
    pub(crate) fn unless(closed: Option<TargetClosed>) -> Result<Self, TargetClosed> {
        match closed {
            Some(closed) => Err(closed),
            None => Ok(Self(())),
        }
    }
}

/// Time within which a restarted target registers its later run. The list may name the earlier run until then.
const REGISTERED_WITHIN: Microseconds = Microseconds::from_ms(2_300);

/// The orders of one run of a target.
#[derive(Debug, Default)]
pub(crate) struct OrderState {
    leaves: AtomicBool,
    rests_until_us: AtomicU64,
    /// When the last rest was recorded.
    rest_recorded_at_us: AtomicU64,
    /// When the list last named this run while it rested; 0 if that is not known.
    listed_at_us: AtomicU64,
}

impl OrderState {
    /// Records the orders of an answer that arrived at `now`. Returns what they changed.
    pub(crate) fn record(&self, orders: &AnswerOrders, now: Microseconds) -> OrderChanges {
        OrderChanges {
            leaves: orders.leaves && !self.leaves.swap(true, Ordering::Relaxed),
            rests_until: orders
                .rest
                .and_then(|rest| self.extend_rest(now.plus(rest), now)),
        }
    }

    /// Records that the list named this run at `at`.
    pub(crate) fn record_listed(&self, at: Microseconds) {
        self.listed_at_us.fetch_max(at.count(), Ordering::Relaxed);
    }

    /// The end of a rest that this run or a later run asked for, if the rest is not over at `now`.
    pub(crate) fn rest_of_uncertain_run(&self, now: Microseconds) -> Option<Microseconds> {
        let listed_at_us = self.listed_at_us.load(Ordering::Relaxed);
        let recorded_at = Microseconds::new(self.rest_recorded_at_us.load(Ordering::Relaxed));
        let is_certain =
            listed_at_us == 0 || recorded_at.plus(REGISTERED_WITHIN).count() <= listed_at_us;
        let until = Microseconds::new(self.rests_until_us.load(Ordering::Relaxed));
        (!is_certain && until > now).then_some(until)
    }

    /// Until when nothing may be sent to the target.
    pub(crate) fn closed_until(&self) -> ClosedUntil {
        match self.leaves.load(Ordering::Relaxed) {
            true => ClosedUntil::PERMANENT,
            false => ClosedUntil(self.rests_until_us.load(Ordering::Relaxed)),
        }
    }

    /// Extends the rest to `until`. Returns its end if the rest was not known to last that long.
    fn extend_rest(&self, until: Microseconds, now: Microseconds) -> Option<Microseconds> {
        self.rest_recorded_at_us
            .fetch_max(now.count(), Ordering::Relaxed);
        let previous_us = self
            .rests_until_us
            .fetch_max(until.count(), Ordering::Relaxed);
        (previous_us < until.count()).then_some(until)
    }
}

/// Time until which nothing may be sent to a target, in microseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ClosedUntil(u64);

impl ClosedUntil {
    /// Value for a target that leaves.
    const PERMANENT: Self = Self(u64::MAX);

    /// Whether the target leaves.
    pub(crate) fn is_permanent(self) -> bool {
        self == Self::PERMANENT
    }

    /// The end of the rest, if it is not over at `now`.
    pub(crate) fn rest(self, now: Microseconds) -> Option<Microseconds> {
        let is_resting = !self.is_permanent() && self.0 > now.count();
        is_resting.then_some(Microseconds::new(self.0))
    }

    /// Whether nothing may be sent at `now`.
    pub(crate) fn is_closed(self, now: Microseconds) -> bool {
        self.0 > now.count()
    }
}

/// A copy of [`ClosedUntil`] beside the other fields that the choice of a target reads, so that the choice follows no
/// further pointer for each target that it considers.
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
