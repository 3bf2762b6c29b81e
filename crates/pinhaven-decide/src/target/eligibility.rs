//! What closes a target to new work: that it leaves, or that it rests; and telling its crashes apart.
//!
//! Choices go by what is kept beside the rest of its state; leave to send is given by the orders themselves.

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
    /// The same for a run that was there before and has asked for something.
    pub(crate) fn with_orders(mut self, orders: Arc<OrderState>) -> Self {
        self.closed_until = CachedClosedUntil::new(orders.closed_until());
        self.orders = orders;
        self
    }

    /// What it has asked for in this run.
    pub(crate) fn orders(&self) -> &Arc<OrderState> {
        &self.orders
    }

    /// Whether it is leaving, by its own word or another's. Its own comes with answers, also while the store is away
    /// and no list says so.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving.load(Ordering::Relaxed) || self.closed_until.get().is_permanent()
    }

    /// Marks the target as leaving. Nothing in its life takes that back: a target that comes back is
    /// a new one in a new bundle version.
    pub fn mark_leaving(&self) {
        self.is_leaving.store(true, Ordering::Relaxed);
    }

    /// Takes in what it asks for with an answer that came at `now`. Returns what of it was news.
    pub fn record_orders(&self, orders: &AnswerOrders, now: Microseconds) -> OrderChanges {
        let changes = self.orders.record(orders, now);
        self.closed_until.set(self.orders.closed_until());
        if changes.rests_until.is_some() {
            // What it gets after its rest grows with its answers, so that all entries together don't press it into the next.
            self.in_flight_max.store(1, Ordering::Relaxed);
        }
        changes
    }

    /// The end of the rest that it asked this entry for, if that is not over at `now`.
    pub fn rests_until(&self, now: Microseconds) -> Option<Microseconds> {
        self.closed_until.get().rest(now)
    }

    /// Leave to send it something at `now`.
    ///
    /// # Errors
    ///
    /// [`TargetClosed`] when it leaves or rests.
    pub fn send_permit(&self, now: Microseconds) -> Result<SendPermit, TargetClosed> {
        // What came with an answer to an earlier state of this run is seen here at the latest.
        self.closed_until.set(self.orders.closed_until());
        SendPermit::new(self.is_leaving(), self.rests_until(now))
    }

    /// Whether it is known to leave or to rest at `now`.
    pub(crate) fn is_closed(&self, now: Microseconds) -> bool {
        self.is_leaving.load(Ordering::Relaxed) || self.closed_until.get().is_closed(now)
    }

    /// Whether a request may be sent to it at `now`, by its own word, by its failures, and by the connections that it takes.
    pub(crate) fn is_eligible(&self, now: Microseconds, connections_max: u32) -> bool {
        !self.is_closed(now) && !self.is_ejected(now) && self.has_capacity(connections_max)
    }

    /// Takes in that a request broke there and that nobody listened at `now`. Returns the run that crashed.
    pub fn record_crash(&self, now: Microseconds) -> CrashedRun {
        let crash_number = self.crashes.record_crash(now);
        let start = self.incarnation.map(|run| run.started_unix_ms());
        CrashedRun::of(&self.name(), start.unwrap_or(crash_number))
    }

    /// Takes in that a connection to it was made which began at `began`.
    pub fn record_connection(&self, began: Microseconds) {
        self.crashes.record_connection(began);
    }
}
