//! Charges the attempts of a request to the limit of its organisation.

use super::RequestDriver;
use pinhaven_decide::Event;
use pinhaven_types::Microseconds;

impl RequestDriver<'_> {
    /// Prevents the hedge that an event would cause if the organisation has no token to spare.
    pub(super) fn withhold_hedges_over_limit(&mut self, event: Event, now: Microseconds) {
        let Some(admission) = &self.job.admission else {
            return;
        };
        let may_be_hedge = event == Event::TimerFired && !self.in_flight.is_empty();
        if may_be_hedge && self.request.is_hedge_due(now) && !admission.may_hedge() {
            self.request.withhold_hedges();
        }
    }

    /// Accounts for an attempt that is sent.
    pub(super) fn charge_attempt(&self) {
        if let Some(admission) = &self.job.admission {
            admission.charge_attempt();
        }
    }

    /// Takes back the charge of an attempt that did not reach its target.
    pub(super) fn refund_attempt(&self) {
        if let Some(admission) = &self.job.admission {
            admission.refund_attempt();
        }
    }
}
