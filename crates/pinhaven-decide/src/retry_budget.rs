//! Decides which requests may be sent again, within the budgets of the service.
//!
//! Answers the load of targets that turn away a part of their requests while their reports are good: nothing tells in
//! advance which request will be turned away, each needs a second attempt, and there are more of them than the budget
//! of retries allows. Two rules decide what the budget is spent on:
//!
//! - A retry turns a certain refusal into a likely answer, and a hedge only makes an answer earlier. Retries therefore
//!   also use what hedges have left, and hedges wait while retries need it. Both together stay within the sum of the
//!   two budgets.
//! - While a more urgent request needed a retry recently, a less urgent one leaves half of the budget to those.

use crate::budget::TokenBudget;
use crate::waiting::PRIORITY_MAX;
use pinhaven_types::Microseconds;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// Time for which the need of a retry counts as recent.
const RECENT: Microseconds = Microseconds::from_ms(1_000);
/// Time for which hedges wait after a retry that needed their budget.
const HEDGE_PAUSE: Microseconds = Microseconds::from_ms(200);
/// Share of a budget's capacity that less urgent requests leave to more urgent ones.
const URGENT_SHARE: f32 = 0.5;
/// Number of priorities, from 0 (least urgent).
const PRIORITIES: usize = PRIORITY_MAX as usize + 1;

/// Budget of the retries of a service.
#[derive(Debug)]
pub(crate) struct RetryBudget {
    own: TokenBudget,
    /// Last time at which a request of each priority needed a retry; 0 for never.
    needed_at_us: [AtomicU64; PRIORITIES],
    /// Last time at which a retry needed the budget of hedges; 0 for never.
    borrowed_at_us: AtomicU64,
}

impl RetryBudget {
    /// Creates a full budget to which each request adds `share` of a retry.
    pub(crate) fn new(share: f64, capacity: f32) -> Self {
        Self {
            own: TokenBudget::new(share, capacity),
            needed_at_us: [const { AtomicU64::new(0) }; PRIORITIES],
            borrowed_at_us: AtomicU64::new(0),
        }
    }

    /// Adds the share of one request.
    pub(crate) fn pay_in(&self) {
        self.own.pay_in();
    }

    /// Sets the maximum number of retries in a burst.
    pub(crate) fn set_capacity(&self, capacity: f32) {
        self.own.set_capacity(capacity);
    }

    /// Carries over the state of the service's previous budget.
    pub(crate) fn take_over(&self, previous: &Self) {
        self.own.take_over(&previous.own);
        for (needed_at_us, previous) in self.needed_at_us.iter().zip(&previous.needed_at_us) {
            needed_at_us.store(previous.load(Ordering::Relaxed), Ordering::Relaxed);
        }
    }

    /// Takes a retry of a request with this priority from the own budget, or from `hedges` if given. Returns whether
    /// the retry is allowed.
    pub(crate) fn take(
        &self,
        priority: u8,
        hedges: Option<&TokenBudget>,
        now: Microseconds,
    ) -> bool {
        let priority = usize::from(priority.min(PRIORITY_MAX));
        self.needed_at_us[priority].store(now.count(), Ordering::Relaxed);
        let more_urgent = self.needed_at_us.iter().skip(priority + 1);
        let left_share = match more_urgent
            .map(|needed_at_us| needed_at_us.load(Ordering::Relaxed))
            .any(|needed_at_us| is_within(needed_at_us, RECENT, now))
        {
            true => URGENT_SHARE,
            false => 0.0,
        };
        if self.own.take_leaving(left_share) {
            return true;
        }
        let Some(hedges) = hedges else {
            return false;
        };
        self.borrowed_at_us.store(now.count(), Ordering::Relaxed);
        hedges.take_leaving(left_share)
    }

    /// Whether hedges have to leave their budget to retries at `now`.
    pub(crate) fn needs_hedges(&self, now: Microseconds) -> bool {
        let borrowed_at_us = self.borrowed_at_us.load(Ordering::Relaxed);
        is_within(borrowed_at_us, HEDGE_PAUSE, now)
    }
}

/// Whether a time, 0 for never, is at most `period` before `now`.
fn is_within(at_us: u64, period: Microseconds, now: Microseconds) -> bool {
    at_us > 0 && now.saturating_sub(Microseconds::new(at_us)) <= period
}
