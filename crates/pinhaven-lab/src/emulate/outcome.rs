//! Statistics of an emulation run.

use super::domains::CrossingTally;
use super::orders::OrderTally;
use super::plan::EmulationPlan;
use super::plan::RequestKind;
use super::slot_use::SlotTime;
use hdrhistogram::Histogram;
use pinhaven_decide::ServiceCounts;

/// Worth of a late answer, as a share of the worth of an answer within its aim.
const LATE_ANSWER_WORTH: f64 = 0.1;
/// Length of a window for which credit is summed, in milliseconds.
const WINDOW_MS: f64 = 2_000.0;
/// Maximum latency that the histogram distinguishes, in microseconds.
const LATENCY_US_MAX: u64 = 60_000_000;

/// Final outcome of a caller's request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Outcome {
    Answered,
    Refused,
}

/// Credit earned by answers, and the credit that answers within their aims would have earned.
#[derive(Debug, Clone, Copy, Default)]
struct Credit {
    earned: f64,
    possible: f64,
}

/// Statistics of an emulation run.
#[derive(Debug)]
pub struct Tally {
    kinds: Vec<RequestKind>,
    /// Number of requests.
    pub requests: u64,
    /// Requests answered within their aims.
    pub in_time: u64,
    /// Requests answered after their aims.
    pub late: u64,
    /// Requests refused on every try.
    pub refused: u64,
    /// Attempts added by hedges and retries.
    pub added: u64,
    /// Refusals, those after which the caller came back included.
    pub refusals: u64,
    /// Retries by callers.
    pub caller_retries: u64,
    /// What the slots of targets were used for.
    pub slot_time: SlotTime,
    /// Requests of each organisation, and those of them answered within their aims.
    pub by_organisation: Vec<(u64, u64)>,
    /// How entries followed the orders of targets.
    pub orders: OrderTally,
    /// What crossed between failure domains.
    pub crossings: CrossingTally,
    total: Credit,
    windows: Vec<Credit>,
    latencies_us: Histogram<u64>,
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
            refusals: 0,
            caller_retries: 0,
            slot_time: SlotTime::default(),
            by_organisation: vec![(0, 0); plan.organisations.len()],
            orders: OrderTally::default(),
            crossings: CrossingTally::new(plan.domains.as_ref().map_or(1, |plan| plan.domains)),
            total: Credit::default(),
            windows: vec![Credit::default(); windows.max(1)],
            latencies_us: Histogram::new_with_max(LATENCY_US_MAX, 3)
                .unwrap_or_else(|_| unreachable!("the bounds are constants")),
        }
    }

    pub(super) fn count(
        &mut self,
        (kind, organisation): (usize, Option<usize>),
        domain: usize,
        started_ms: f64,
        latency_ms: f64,
        outcome: Outcome,
    ) {
        let request_kind = self.kinds[kind];
        let is_in_time = latency_ms <= request_kind.aim_ms as f64;
        self.requests += 1;
        self.crossings
            .count_end(domain, is_in_time && outcome == Outcome::Answered);
        if let Some(organisation) = organisation {
            let (requests, in_time) = &mut self.by_organisation[organisation];
            *requests += 1;
            *in_time += u64::from(is_in_time && outcome == Outcome::Answered);
        }
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
                LATE_ANSWER_WORTH
            }
        };
        if outcome == Outcome::Answered {
            self.latencies_us
                .saturating_record((latency_ms * 1_000.0) as u64);
        }
        let window = (started_ms / WINDOW_MS) as usize;
        let last = self.windows.len() - 1;
        for credit in [&mut self.total, &mut self.windows[window.min(last)]] {
            credit.earned += request_kind.worth * share;
            credit.possible += request_kind.worth;
        }
    }

    pub(super) fn count_added(&mut self, counts: ServiceCounts) {
        self.added += counts.hedges + counts.retries;
    }

    /// Earned credit as a share of the possible credit.
    pub fn credit(&self) -> f64 {
        self.total.earned / self.total.possible.max(f64::MIN_POSITIVE)
    }

    /// Mean credit share of the two worst windows of two seconds.
    pub fn worst_credit(&self) -> f64 {
        let counted = self.windows.iter().filter(|credit| credit.possible > 0.0);
        let mut shares: Vec<f64> = counted
            .map(|credit| credit.earned / credit.possible)
            .collect();
        shares.sort_by(f64::total_cmp);
        let worst = &shares[..shares.len().min(2)];
        worst.iter().sum::<f64>() / worst.len().max(1) as f64
    }

    /// Share of requests answered within their aims of the worst tenth of the organisations.
    pub fn worst_organisations(&self) -> f64 {
        let mut shares = self.shares_of_organisations();
        shares.sort_by(f64::total_cmp);
        shares.truncate(shares.len().div_ceil(10));
        mean(&shares)
    }

    /// Share of requests answered within their aims, on average over the organisations.
    pub fn mean_of_organisations(&self) -> f64 {
        mean(&self.shares_of_organisations())
    }

    /// Share of requests answered within their aims of each organisation that sent any.
    fn shares_of_organisations(&self) -> Vec<f64> {
        let counted = self.by_organisation.iter().filter(|counts| counts.0 > 0);
        counted
            .map(|(requests, in_time)| *in_time as f64 / *requests as f64)
            .collect()
    }

    /// Credit share of the window of two seconds with this number.
    pub fn window_credit(&self, window: usize) -> f64 {
        let credit = self.windows.get(window).copied().unwrap_or_default();
        credit.earned / credit.possible.max(f64::MIN_POSITIVE)
    }

    /// Latency of answers at a quantile, in milliseconds, with the round trip between caller and entry.
    pub fn latency_ms(&self, quantile: f64) -> f64 {
        self.latencies_us.value_at_quantile(quantile) as f64 / 1_000.0
    }
}

fn mean(shares: &[f64]) -> f64 {
    shares.iter().sum::<f64>() / shares.len().max(1) as f64
}
