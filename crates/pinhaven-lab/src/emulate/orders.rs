//! What emulated targets ask for with their answers, and whether that is heeded.

use super::plan::Change;
use pinhaven_decide::AnswerOrders;
use pinhaven_types::Microseconds;
use std::collections::HashMap;

/// How long after the word what was under way may still arrive, in milliseconds; as the users give it.
const CROSSING_MS: f64 = 500.0;
/// Requests that may arrive within a rest after that; as the users give it.
const ARRIVALS_MOST: u32 = 2;

/// An entry and a target, by their numbers.
pub(super) type Pair = (usize, usize);

/// Whether the first so many of `targets` have this number.
fn is_among(target: usize, targets: usize, share: f64) -> bool {
    target < (targets as f64 * share) as usize
}

/// What a target asks for at `now_ms`.
pub(super) fn orders_of(
    changes: &[Change],
    (target, targets): (usize, usize),
    now_ms: f64,
) -> AnswerOrders {
    let mut orders = AnswerOrders::default();
    for change in changes {
        match *change {
            Change::TargetsRest {
                share,
                between_ms: (from, to),
                rest_ms,
            } if (from..to).contains(&now_ms) && is_among(target, targets, share) => {
                orders.rest = Some(Microseconds::from_ms(rest_ms));
            }
            Change::TargetsAnnounceLeave { share, at_ms }
                if now_ms >= at_ms && is_among(target, targets, share) =>
            {
                orders.leaves = true;
            }
            _ => {}
        }
    }
    orders
}

/// A rest that a target asked an entry for.
#[derive(Debug, Clone, Copy)]
struct Rest {
    from_ms: f64,
    until_ms: f64,
    arrivals: u32,
}

/// How the orders of targets were heeded.
#[derive(Debug, Clone, Default)]
pub struct OrderTally {
    /// Rests that were asked for.
    pub rests: u64,
    /// Those in which more requests came than may.
    pub rests_broken: u64,
    /// Requests that came to a target after it had told their entry that it leaves, but for those under way.
    pub arrivals_after_leave: u64,
    open: HashMap<Pair, Rest>,
    left_at_ms: HashMap<Pair, f64>,
}

impl OrderTally {
    /// Takes in that an entry has heard a target's orders at `now_ms`.
    pub(super) fn hear(&mut self, pair: Pair, orders: &AnswerOrders, now_ms: f64) {
        if orders.leaves {
            self.left_at_ms.entry(pair).or_insert(now_ms);
        }
        let Some(rest) = orders.rest else {
            return;
        };
        self.rests += 1;
        let until_ms = now_ms + rest.as_ms();
        let known = self
            .open
            .get_mut(&pair)
            .filter(|known| known.until_ms > now_ms);
        match known {
            Some(known) => known.until_ms = known.until_ms.max(until_ms),
            None => {
                let rest = Rest {
                    from_ms: now_ms,
                    until_ms,
                    arrivals: 0,
                };
                self.open.insert(pair, rest);
            }
        }
    }

    /// Takes in that a request of an entry comes to a target at `now_ms`.
    pub(super) fn arrive(&mut self, pair: Pair, now_ms: f64) {
        let left_at_ms = self.left_at_ms.get(&pair);
        if left_at_ms.is_some_and(|at_ms| now_ms > at_ms + CROSSING_MS) {
            self.arrivals_after_leave += 1;
        }
        let Some(rest) = self.open.get_mut(&pair) else {
            return;
        };
        if now_ms <= rest.from_ms + CROSSING_MS || now_ms >= rest.until_ms {
            return;
        }
        rest.arrivals += 1;
        if rest.arrivals == ARRIVALS_MOST + 1 {
            self.rests_broken += 1;
        }
    }
}
