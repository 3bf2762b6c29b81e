//! Orders that emulated targets send with their answers, and statistics on whether entries follow the orders.

use super::plan::Change;
use pinhaven_decide::AnswerOrders;
use pinhaven_types::Microseconds;
use std::collections::HashMap;

/// Time after an order during which requests already in flight may still arrive, in milliseconds; as the
/// users specify.
const ORDER_GRACE_MS: f64 = 500.0;
/// Maximum number of requests that may arrive during a rest after the grace period; as the users specify.
const REST_ARRIVALS_MAX: u32 = 2;

/// Numbers of an entry and a target.
pub(super) type EntryTargetPair = (usize, usize);

/// Whether a target's number is within the first `share` of all `targets`.
fn is_among(target: usize, targets: usize, share: f64) -> bool {
    target < (targets as f64 * share) as usize
}

/// Orders that a target sends with an answer at `now_ms`.
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

/// A rest that a target ordered an entry to observe.
#[derive(Debug, Clone, Copy)]
struct Rest {
    from_ms: f64,
    until_ms: f64,
    arrivals: u32,
}

/// Statistics on how entries followed the orders of targets.
#[derive(Debug, Clone, Default)]
pub struct OrderTally {
    /// Number of orders to rest that entries received.
    pub rests: u64,
    /// Number of rests during which more requests arrived than are allowed.
    pub rests_broken: u64,
    /// Requests that arrived later than the grace period after their entry received the target's order to leave.
    pub arrivals_after_leave: u64,
    active_rests: HashMap<EntryTargetPair, Rest>,
    leaving_since_ms: HashMap<EntryTargetPair, f64>,
}

impl OrderTally {
    /// Records the orders that an entry received from a target at `now_ms`.
    pub(super) fn record_orders(
        &mut self,
        pair: EntryTargetPair,
        orders: &AnswerOrders,
        now_ms: f64,
    ) {
        if orders.leaves {
            self.leaving_since_ms.entry(pair).or_insert(now_ms);
        }
        let Some(rest) = orders.rest else {
            return;
        };
        self.rests += 1;
        let until_ms = now_ms + rest.as_ms();
        let active = self
            .active_rests
            .get_mut(&pair)
            .filter(|active| active.until_ms > now_ms);
        match active {
            Some(active) => active.until_ms = active.until_ms.max(until_ms),
            None => {
                let rest = Rest {
                    from_ms: now_ms,
                    until_ms,
                    arrivals: 0,
                };
                self.active_rests.insert(pair, rest);
            }
        }
    }

    /// Records that a request of an entry arrived at a target at `now_ms`.
    pub(super) fn record_arrival(&mut self, pair: EntryTargetPair, now_ms: f64) {
        let leaving_since_ms = self.leaving_since_ms.get(&pair);
        if leaving_since_ms.is_some_and(|since_ms| now_ms > since_ms + ORDER_GRACE_MS) {
            self.arrivals_after_leave += 1;
        }
        let Some(rest) = self.active_rests.get_mut(&pair) else {
            return;
        };
        if now_ms <= rest.from_ms + ORDER_GRACE_MS || now_ms >= rest.until_ms {
            return;
        }
        rest.arrivals += 1;
        if rest.arrivals == REST_ARRIVALS_MAX + 1 {
            self.rests_broken += 1;
        }
    }
}
