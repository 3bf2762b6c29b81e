//! What came of an emulation.

use super::orders::OrderTally;
use super::plan::EmulationPlan;
use super::plan::RequestKind;
use hdrhistogram::Histogram;
use pinhaven_decide::ServiceCounts;

/// What a late answer is worth, as a share of one in time.
const LATE_WORTH: f64 = 0.1;
/// Length of a window, in milliseconds.
const WINDOW_MS: f64 = 2_000.0;
/// The longest time that is told apart, in microseconds.
const TIME_US_MAX: u64 = 60_000_000;

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Outcome {
    Answered,
    Refused,
}

/// Credit that was earned, of what could be.
#[derive(Debug, Clone, Copy, Default)]
struct Credit {
    earned: f64,
    owed: f64,
}

/// Counts of an emulation.
#[derive(Debug)]
pub struct Tally {
    kinds: Vec<RequestKind>,
    /// Requests.
    pub requests: u64,
    /// Those answered within their aims.
    pub in_time: u64,
    /// Those answered later.
    pub late: u64,
    /// Those refused to the end.
    pub refused: u64,
    /// Hedges and retries.
    pub added: u64,
    /// How what targets asked for was heeded.
    pub orders: OrderTally,
    all: Credit,
    windows: Vec<Credit>,
    times_us: Histogram<u64>,
}

impl Tally {
    pub(super) fn new(plan: &EmulationPlan) -> Self {
        let windows = (plan.length_ms / WINDOW_MS).ceil() as usize;
        Self {
            kinds: plan.kinds.clone(),
            requests: 0,
            in_time: 0,
            late: 0,
            refused: 0,
            added: 0,
            orders: OrderTally::default(),
            all: Credit::default(),
            windows: vec![Credit::default(); windows.max(1)],
            times_us: Histogram::new_with_max(TIME_US_MAX, 3)
                .unwrap_or_else(|_| unreachable!("the bounds are constants")),
        }
    }

    pub(super) fn count(&mut self, kind: usize, first_ms: f64, took_ms: f64, outcome: Outcome) {
        let plan = self.kinds[kind];
        let is_in_time = took_ms <= plan.aim_ms as f64;
        self.requests += 1;
        let share = match outcome {
            Outcome::Refused => {
                self.refused += 1;
                0.0
            }
            Outcome::Answered if is_in_time => {
                self.in_time += 1;
                1.0
            }
            Outcome::Answered => {
                self.late += 1;
                LATE_WORTH
            }
        };
        if outcome == Outcome::Answered {
            self.times_us.saturating_record((took_ms * 1_000.0) as u64);
        }
        let window = (first_ms / WINDOW_MS) as usize;
        let last = self.windows.len() - 1;
        for credit in [&mut self.all, &mut self.windows[window.min(last)]] {
            credit.earned += plan.worth * share;
            credit.owed += plan.worth;
        }
    }

    pub(super) fn count_added(&mut self, counts: ServiceCounts) {
        self.added += counts.hedges + counts.retries;
    }

    /// Credit earned of what was owed.
    pub fn credit(&self) -> f64 {
        self.all.earned / self.all.owed.max(f64::MIN_POSITIVE)
    }

    /// The same in the two worst windows of two seconds.
    pub fn worst_credit(&self) -> f64 {
        let owed = self.windows.iter().filter(|credit| credit.owed > 0.0);
        let mut shares: Vec<f64> = owed.map(|credit| credit.earned / credit.owed).collect();
        shares.sort_by(f64::total_cmp);
        let worst = &shares[..shares.len().min(2)];
        worst.iter().sum::<f64>() / worst.len().max(1) as f64
    }

    /// The same in one window of two seconds, by its number.
    pub fn window_credit(&self, window: usize) -> f64 {
        let credit = self.windows.get(window).copied().unwrap_or_default();
        credit.earned / credit.owed.max(f64::MIN_POSITIVE)
    }

    /// Time of an answer at a quantile, the ways to the caller included, in milliseconds.
    pub fn latency_ms(&self, quantile: f64) -> f64 {
        self.times_us.value_at_quantile(quantile) as f64 / 1_000.0
    }
}
