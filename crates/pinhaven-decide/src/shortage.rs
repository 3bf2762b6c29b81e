//! Whether a service is short of capacity.
//!
//! Answers the load of about twice the requests that can be answered within their aims. Without these rules, two
//! thirds of the slot time go to answers that come late: entries collide at the few slots that become free, work
//! begins at targets that are already nearly full, and requests that have waited are sent although they can no longer
//! meet their aims.
//!
//! A service is short while nearly all slots that are worth using are in use, over all entries and all targets that take
//! requests. Free slots at other entries' targets end a shortage, so an entry with more than its share
//! of the requests does not take the service for short while others have capacity.

use crate::atomic::AtomicF32;
use crate::forecast;
use crate::service::ServiceState;
use pinhaven_types::Microseconds;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// Share of slots in use from which a service is short, and below which it no longer is.
const USED_SHARE_BEGIN: f32 = 0.9;
const USED_SHARE_END: f32 = 0.6;
/// Interval between two counts of the slots in use. A count examines all targets.
const COUNT_INTERVAL: Microseconds = Microseconds::from_ms(20);
/// Time over which the share of slots in use is averaged, in milliseconds.
const USED_SHARE_PERIOD_MS: f32 = 150.0;
/// Maximum weight of one count, so that a service isn't short on the evidence of a moment.
const COUNT_WEIGHT_MAX: f32 = 0.4;
/// Minimum and maximum of the time after which the first refused callers return, in milliseconds.
const RETRY_DELAY_MS: (f32, f32) = (100.0, 3_000.0);

/// Share of a service's slots in use, and whether the service is short of capacity.
#[derive(Debug)]
pub(crate) struct Shortage {
    counted_at_us: AtomicU64,
    used_share: AtomicF32,
    is_short: AtomicBool,
    /// Time at which the present shortage began.
    began_at_us: AtomicU64,
}

impl Shortage {
    pub(crate) fn new() -> Self {
        Self {
            counted_at_us: AtomicU64::new(0),
            used_share: AtomicF32::new(0.0),
            is_short: AtomicBool::new(false),
            began_at_us: AtomicU64::new(0),
        }
    }

    pub(crate) fn take_over(&self, previous: &Self) {
        self.used_share.set(previous.used_share.get());
        let is_short = previous.is_short.load(Ordering::Relaxed);
        self.is_short.store(is_short, Ordering::Relaxed);
        let began_at_us = previous.began_at_us.load(Ordering::Relaxed);
        self.began_at_us.store(began_at_us, Ordering::Relaxed);
    }

    /// Time for which the service has been short at `now`; `None` if it isn't short.
    fn age(&self, now: Microseconds) -> Option<Microseconds> {
        let began_at = Microseconds::new(self.began_at_us.load(Ordering::Relaxed));
        self.is_short().then(|| now.saturating_sub(began_at))
    }

    /// Whether the service is short of capacity, as of the last count.
    pub(crate) fn is_short(&self) -> bool {
        self.is_short.load(Ordering::Relaxed)
    }

    fn record_count(&self, used_share: f32, now: Microseconds) {
        let counted_at = Microseconds::new(self.counted_at_us.load(Ordering::Relaxed));
        let age_ms = now.saturating_sub(counted_at).as_ms() as f32;
        let weight = (age_ms / USED_SHARE_PERIOD_MS).min(COUNT_WEIGHT_MAX);
        self.used_share.blend(used_share, weight);
        self.counted_at_us.store(now.count(), Ordering::Relaxed);
        let threshold = match self.is_short() {
            true => USED_SHARE_END,
            false => USED_SHARE_BEGIN,
        };
        let is_short = self.used_share.get() >= threshold;
        if is_short && !self.is_short() {
            self.began_at_us.store(now.count(), Ordering::Relaxed);
        }
        self.is_short.store(is_short, Ordering::Relaxed);
    }
}

impl ServiceState {
    /// Counts the slots in use, unless they were counted a moment ago.
    pub(crate) fn count_used_slots(&self, now: Microseconds) {
        let counted_at = Microseconds::new(self.shortage.counted_at_us.load(Ordering::Relaxed));
        if now.saturating_sub(counted_at) >= COUNT_INTERVAL {
            self.shortage.record_count(self.used_share(now), now);
        }
    }

    /// Retry delay of a caller that is refused while the service is short, in milliseconds; `None` if it isn't short. A
    /// shortage is expected to last as long again as it has lasted, and callers return over an equal time after that.
    pub(crate) fn retry_after_shortage_ms(
        &self,
        now: Microseconds,
        random: &mut fastrand::Rng,
    ) -> Option<u64> {
        let age_ms = self.shortage.age(now)?.as_ms() as f32;
        let delay_ms = age_ms.clamp(RETRY_DELAY_MS.0, RETRY_DELAY_MS.1);
        Some((delay_ms * (1.0 + random.f32())) as u64)
    }

    /// Whether the service is short of capacity.
    pub fn is_short(&self) -> bool {
        self.shortage.is_short()
    }

    /// Share in use of the slots that are worth using, over all targets that take requests at `now`.
    fn used_share(&self, now: Microseconds) -> f32 {
        let (mut used, mut slots) = (0.0, 0.0);
        for target in self.targets() {
            if !self.may_send_to(target, now) {
                continue;
            }
            let worth_using = forecast::slots_worth_using(self, target, now);
            used += forecast::load_of(target, now).min(worth_using);
            slots += worth_using;
        }
        if slots > 0.0 { used / slots } else { 0.0 }
    }
}
