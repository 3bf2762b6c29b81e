//! Requests to cold targets, which bear only few requests a second until they are warm.
//!
//! Answers the load of many targets that turn cold at once: a failure domain that is restored, a service that is
//! replaced as a whole, targets that return from a loss of power. Cold targets look idle, and all entries together would
//! send them more than they bear.
//!
//! The limit holds for all entries together, but an entry knows of the others' requests only later. So one entry at a
//! time may send to a cold target, its owner, and only while the owner is certain that no other entry takes itself for
//! the owner. Where targets have no owners, each entry has an equal share of the rate.

use crate::service::ServiceState;
use crate::target::TargetState;
use pinhaven_bundle::Service;
use pinhaven_types::Microseconds;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// Number of requests that the owner of a cold target may send at once. While ownership changes, two entries may each
/// send as many.
const OWNER_BURST: u64 = 2;
/// Maximum interval between two requests to a cold target, in microseconds: one day. Operators may set any rate.
const INTERVAL_US_MAX: f64 = 86_400e6;

/// Who may send requests to cold targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum ColdAccess {
    /// Not this entry.
    Closed,
    /// This entry, to the targets that it owns.
    Owner,
    /// Each entry, at its share of the rate.
    Shared,
}

/// Limit of the requests to each cold target of a service.
#[derive(Debug)]
pub(crate) struct ColdLimit {
    /// Interval between two requests of all entries.
    interval: Microseconds,
    /// Interval between two requests of one of the entries that share the rate.
    shared_interval: Microseconds,
    /// Time for which targets stay cold after a start.
    duration: Microseconds,
    access: AtomicU8,
}

impl ColdLimit {
    /// The limit that a service sets, if it sets one.
    pub(crate) fn of(service: &Service) -> Option<Self> {
        let limit = service.cold_limit.as_ref()?;
        let interval_us = 1_000_000.0 / limit.requests_per_s;
        let interval = |us: f64| Microseconds::new(us.min(INTERVAL_US_MAX) as u64);
        Some(Self {
            interval: interval(interval_us),
            shared_interval: interval(interval_us * f64::from(service.entries_most)),
            duration: Microseconds::from_ms(limit.duration_ms),
            access: AtomicU8::new(ColdAccess::Closed as u8),
        })
    }

    fn access(&self) -> ColdAccess {
        let access = self.access.load(Ordering::Relaxed);
        [ColdAccess::Owner, ColdAccess::Shared]
            .into_iter()
            .find(|known| *known as u8 == access)
            .unwrap_or(ColdAccess::Closed)
    }

    /// Interval between two requests of this entry to the target, and how many it may send at once; `None` if it may
    /// send none.
    fn pace_at(&self, target: &TargetState) -> Option<(Microseconds, u64)> {
        match self.access() {
            ColdAccess::Owner if target.is_owned() => Some((self.interval, OWNER_BURST)),
            ColdAccess::Shared => Some((self.shared_interval, 1)),
            ColdAccess::Owner | ColdAccess::Closed => None,
        }
    }
}

/// Pace of this entry's requests to one target: the time at which those sent so far will have kept the interval.
#[derive(Debug, Default)]
pub(crate) struct ColdPace(AtomicU64);

impl ColdPace {
    fn allows(&self, now: Microseconds, interval: Microseconds, burst: u64) -> bool {
        let ahead = interval.count() * burst.saturating_sub(1);
        self.0.load(Ordering::Relaxed) <= now.count() + ahead
    }

    fn record(&self, now: Microseconds, interval: Microseconds) {
        let next = |due: u64| Some(due.max(now.count()) + interval.count());
        // The update always yields a value, so it can't fail.
        let _ = self
            .0
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, next);
    }
}

impl ServiceState {
    /// Sets who may send requests to cold targets.
    pub fn set_cold_access(&self, access: ColdAccess) {
        if let Some(limit) = self.cold_limit() {
            limit.access.store(access as u8, Ordering::Relaxed);
        }
    }

    /// Whether the service limits the requests to cold targets.
    pub fn limits_cold_targets(&self) -> bool {
        self.cold_limit().is_some()
    }

    /// Records that a target may have turned cold unseen before `now`.
    pub fn assume_cold(&self, target: &TargetState, now: Microseconds) {
        if let Some(limit) = self.cold_limit() {
            target.extend_cold(now.plus(limit.duration));
        }
    }

    /// Whether this entry may send one more request to the target at `now`, as far as the limit for cold targets goes.
    pub(crate) fn has_cold_turn(&self, target: &TargetState, now: Microseconds) -> bool {
        let Some(limit) = self.cold_limit().filter(|_| target.is_cold(now)) else {
            return true;
        };
        let pace = limit.pace_at(target);
        pace.is_some_and(|(interval, burst)| target.cold_pace().allows(now, interval, burst))
    }

    /// Records that a request is sent to the target at `now`.
    pub(crate) fn take_cold_turn(&self, target: &TargetState, now: Microseconds) {
        let limit = self.cold_limit().filter(|_| target.is_cold(now));
        if let Some((interval, _)) = limit.and_then(|limit| limit.pace_at(target)) {
            target.cold_pace().record(now, interval);
        }
    }
}
