//! The probe budget of one target.
//!
//! Only the holder of a target's seat probes it, so the entries need no shared count of probes. A change of holders
//! needs protection: the old holder may have been paused just before it sent a probe, and the new holder may begin at
//! once. Both probes are reserved in advance by planning two probes fewer than the window could hold.

use pinhaven_bundle::Measuring;
use pinhaven_bundle::Service;
use pinhaven_types::Microseconds;
use pinhaven_types::Promise;
use pinhaven_types::require_promise;
use std::collections::VecDeque;

/// Probes per window that are reserved for a change of holders.
const PROBES_RESERVED: u64 = 2;

/// Limits when one target may be probed.
#[derive(Debug, Clone)]
pub struct ProbeBudget {
    window: Microseconds,
    /// Maximum time in each window for which probes may occupy the target.
    allowed: Microseconds,
    /// Planned time for which one probe occupies the target.
    cost: Microseconds,
    spacing: Option<Microseconds>,
    next_at: Microseconds,
    /// Time and cost of each probe in the current window.
    spent: VecDeque<(Microseconds, Microseconds)>,
}

impl ProbeBudget {
    /// The budget of each target of a service, for a holder that acquired the seat at `now`.
    pub fn new(measuring: &Measuring, service: &Service, now: Microseconds) -> Self {
        let window = Microseconds::from_ms(measuring.window_ms);
        let share = service.measuring_budget_percent.fraction();
        let allowed_us = share * f64::from(service.slots) * window.count() as f64;
        let cost = Microseconds::from_ms(service.probe_cost_ms + service.connection_cost_ms);
        let probes = allowed_us as u64 / cost.count().max(1);
        let planned = probes.saturating_sub(PROBES_RESERVED);
        let spacing = window.count().checked_div(planned).map(Microseconds::new);
        Self {
            window,
            allowed: Microseconds::new(allowed_us as u64),
            cost,
            spacing,
            next_at: now.plus(spacing.unwrap_or(window)),
            spent: VecDeque::new(),
        }
    }

    /// Whether `other` has the same window, allowance and cost.
    pub fn is_same_plan(&self, other: &Self) -> bool {
        (self.window, self.allowed, self.cost) == (other.window, other.allowed, other.cost)
    }

    /// Whether the budget allows any probe at all.
    pub fn allows_probes(&self) -> bool {
        self.spacing.is_some()
    }

    /// When the next probe may be sent; `None` if never.
    pub fn next_at(&self) -> Option<Microseconds> {
        self.spacing.map(|_| self.next_at)
    }

    /// Takes a probe from the budget; `false` if it is too early.
    pub fn take(&mut self, now: Microseconds) -> bool {
        let Some(spacing) = self.spacing else {
            return false;
        };
        if now < self.next_at {
            return false;
        }
        self.next_at = now.plus(spacing);
        self.remove_spent_before(now);
        let after = self.spent_in_window().plus(self.cost);
        let is_within_budget =
            require_promise(Promise::MeasuringBudget, after <= self.allowed, || {
                format!("{after} of {} would be spent", self.allowed)
            });
        if is_within_budget {
            self.spent.push_back((now, self.cost));
        }
        is_within_budget
    }

    /// Records that the last probe occupied the target for `time`. A probe that took longer than planned delays the
    /// next one in proportion.
    pub fn record(&mut self, time: Microseconds) {
        let Some(spacing) = self.spacing else {
            return;
        };
        let Some((_, cost)) = self.spent.back_mut() else {
            return;
        };
        if time <= *cost {
            return;
        }
        let extra = time.saturating_sub(*cost);
        *cost = time;
        let factor = extra.count() / self.cost.count().max(1) + 1;
        let delay = spacing.count().saturating_mul(factor);
        self.next_at = self.next_at.plus(Microseconds::new(delay));
    }

    fn spent_in_window(&self) -> Microseconds {
        Microseconds::new(self.spent.iter().map(|(_, cost)| cost.count()).sum())
    }

    fn remove_spent_before(&mut self, now: Microseconds) {
        let from = now.saturating_sub(self.window);
        while self.spent.front().is_some_and(|(at, _)| *at <= from) {
            self.spent.pop_front();
        }
    }
}

/// Maximum number of entries that may probe one target at the same time while they disagree on the holder.
const PROBERS_MAX: u64 = 3;

/// Limits when one entry may probe one target again, where several entries may probe it.
///
/// All entries together are limited to a number of probes a second. No entry sees the probes of the others, so each
/// uses a fixed share of that number, which holds for the maximum number of concurrent probers.
#[derive(Debug, Clone)]
pub struct ProbePace {
    /// Time between two probes; `None` if none may be sent.
    spacing: Option<Microseconds>,
    last_at: Option<Microseconds>,
}

impl ProbePace {
    /// The pace where all entries together may send `per_second_max` probes a second; 0 for none.
    pub fn new(per_second_max: u32) -> Self {
        let second_us: u64 = 1_000_000;
        let spacing_us = (second_us * PROBERS_MAX).checked_div(u64::from(per_second_max));
        Self {
            spacing: spacing_us.map(Microseconds::new),
            last_at: None,
        }
    }

    /// Takes a probe from the budget; `false` if it is too early.
    pub fn take(&mut self, now: Microseconds) -> bool {
        let Some(spacing) = self.spacing else {
            return false;
        };
        let since = self.last_at.map(|last_at| now.saturating_sub(last_at));
        if since.is_some_and(|since| since < spacing) {
            return false;
        }
        let is_within_budget = require_promise(
            Promise::MeasuringBudget,
            self.last_at
                .is_none_or(|last_at| last_at.plus(spacing) <= now),
            || format!("a probe would follow the last after {since:?}"),
        );
        if is_within_budget {
            self.last_at = Some(now);
        }
        is_within_budget
    }
}
