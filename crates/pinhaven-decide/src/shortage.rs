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
/// Share of a service's slots in use, and whether the service is short of capacity.
#[derive(Debug)]
pub(crate) struct Shortage {
    counted_at_us: AtomicU64,
    used_share: AtomicF32,
    is_short: AtomicBool,
}

impl Shortage {
    pub(crate) fn new() -> Self {
        Self {
            counted_at_us: AtomicU64::new(0),
            used_share: AtomicF32::new(0.0),
            is_short: AtomicBool::new(false),
        }
    }

    pub(crate) fn take_over(&self, previous: &Self) {
        self.used_share.set(previous.used_share.get());
        let is_short = previous.is_short.load(Ordering::Relaxed);
        self.is_short.store(is_short, Ordering::Relaxed);
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
