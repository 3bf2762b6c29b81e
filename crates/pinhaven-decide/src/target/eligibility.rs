//! Eligibility of a target for new work, by leaving, rests, its failure domain, ejection and capacity; and
//! identification of its crashed runs.
//!
//! The choice of a target reads a cached copy of the orders beside the other fields of the target's state. A
//! permission to send reads the orders themselves, which all states of one run share.

use super::TargetState;
use crate::crashes::CrashedRun;
use crate::orders::AnswerOrders;
use crate::orders::CachedClosedUntil;
use crate::orders::OrderChanges;
use crate::orders::OrderState;
use crate::orders::SendPermit;
use crate::orders::TargetClosed;
use pinhaven_types::Microseconds;
use std::sync::Arc;
use std::sync::atomic::Ordering;

impl TargetState {
    /// Sets the orders of a run that was listed before.
    pub(crate) fn with_orders(mut self, orders: Arc<OrderState>) -> Self {
        self.closed_until = CachedClosedUntil::new(orders.closed_until());
        self.orders = orders;
        self
    }

    /// The orders of this run.
    pub(crate) fn orders(&self) -> &Arc<OrderState> {
        &self.orders
    }

    /// Whether the target is leaving, by its own order or by a list. Its own order arrives with answers, also while
    /// the store is unavailable and no list contains it.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving.load(Ordering::Relaxed) || self.closed_until.get().is_permanent()
    }

    /// Whether the target is leaving by a list, or by other evidence than its own order.
    pub fn is_marked_leaving(&self) -> bool {
        self.is_leaving.load(Ordering::Relaxed)
    }

    /// Marks the target as leaving. The mark is permanent for this state: a target that returns gets a new state in a
    /// new bundle version.
    pub fn mark_leaving(&self) {
        self.is_leaving.store(true, Ordering::Relaxed);
    }

    /// Whether operators have drained the target's failure domain.
    pub fn is_domain_drained(&self) -> bool {
        self.is_domain_drained.load(Ordering::Relaxed)
    }

    /// Sets whether operators have drained the target's failure domain.
    pub fn set_domain_drained(&self, is_drained: bool) {
        self.is_domain_drained.store(is_drained, Ordering::Relaxed);
    }

    /// Records the orders of an answer that arrived at `now`. Returns what they changed.
    pub fn record_orders(&self, orders: &AnswerOrders, now: Microseconds) -> OrderChanges {
        let changes = self.orders.record(orders, now);
        self.closed_until.set(self.orders.closed_until());
        if changes.rests_until.is_some() {
            // After the rest the target's share grows with its answers; otherwise all entries together would overload
            // it again.
            self.in_flight_max.store(1, Ordering::Relaxed);
        }
        changes
    }

    /// Records that the list named this run of the target at `at`.
    pub fn record_listed(&self, at: Microseconds) {
        self.orders.record_listed(at);
    }

    /// The end of the rest that the target asked this entry for, if the rest is not over at `now`.
    pub fn rests_until(&self, now: Microseconds) -> Option<Microseconds> {
        self.closed_until.get().rest(now)
    }

    /// Permission to send a request or probe to the target at `now`.
    ///
    /// # Errors
    ///
    /// [`TargetClosed`] if the target leaves or rests, or if its failure domain is drained.
    pub fn send_permit(&self, now: Microseconds) -> Result<SendPermit, TargetClosed> {
        // Orders that arrived for an earlier state of this run take effect here at the latest.
        self.closed_until.set(self.orders.closed_until());
        SendPermit::unless(self.closed(now))
    }

    /// Why nothing may be sent to the target at `now`; `None` if something may.
    fn closed(&self, now: Microseconds) -> Option<TargetClosed> {
        if self.is_leaving() {
            return Some(TargetClosed::Leaving);
        }
        if self.is_domain_drained() {
            return Some(TargetClosed::DomainDrained);
        }
        let until = self.rests_until(now)?;
        Some(TargetClosed::Resting { until })
    }

    /// Whether nothing may be sent to the target at `now`, as far as is known.
    pub(crate) fn is_closed(&self, now: Microseconds) -> bool {
        self.is_leaving.load(Ordering::Relaxed)
            || self.is_domain_drained()
            || self.closed_until.get().is_closed(now)
    }

    /// Whether a request may be sent to the target at `now`, by its orders, its failures and its connection limit.
    pub(crate) fn is_eligible(&self, now: Microseconds, connections_max: u32) -> bool {
        !self.is_closed(now) && !self.is_ejected(now) && self.has_capacity(connections_max)
    }

    /// Records that a request broke off at the target and that nothing was listening there at `now`. Returns the run
    /// that crashed.
    pub fn record_crash(&self, now: Microseconds) -> CrashedRun {
        let crash_number = self.crashes.record_crash(now);
        let start = self.incarnation.map(|run| run.started_unix_ms());
        CrashedRun::of(&self.name(), start.unwrap_or(crash_number))
    }

    /// Whether the target has crashed and has not accepted a connection since.
    pub(crate) fn is_down(&self) -> bool {
        self.crashes.is_down()
    }

    /// Records a successful connection to the target whose attempt began at `began`.
    pub fn record_connection(&self, began: Microseconds) {
        self.crashes.record_connection(began);
    }
}
