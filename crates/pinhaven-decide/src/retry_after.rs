//! Decides when the caller of a refused request should come back.
//!
//! Two load patterns need different answers. Where targets are full, a caller should come back when the backlog has
//! drained, which takes longer the more requests are refused. Where targets turn away requests although they have free
//! slots, there is no backlog: the next try is as likely to be served now as later, and each millisecond of the delay is
//! lost from the aim of the request. The same holds for requests that an entry refuses because it stops, as other
//! entries take them. While operators keep the failure domains of all targets drained, the time of the next answer
//! depends on people, and an early try only loads the entries.

use crate::availability::Availability;
use crate::forecast::TargetFilter;
use crate::refusal::RefusalReason;
use crate::request::EventHandler;

/// Bounds of the delay where a target with a free slot or another entry can take the request, in milliseconds. The delay
/// is random, so that requests that were turned away together don't return together.
const FREE_SLOT_DELAY_MS: std::ops::Range<u64> = 10..40;
/// Bounds of the delay while the failure domains of all targets are drained, in milliseconds.
const DRAINED_DELAY_MS: std::ops::Range<u64> = 1_000..2_000;

impl EventHandler<'_> {
    /// Time after which the caller should retry, in milliseconds, and not before the first time at which a target
    /// accepts requests.
    pub(crate) fn retry_after_ms(&mut self, reason: RefusalReason) -> u64 {
        let may_return_at_once = match reason {
            RefusalReason::Shed => self.has_free_slot(),
            RefusalReason::StopTooNear => true,
            _ => false,
        };
        if may_return_at_once {
            return self.random.u64(FREE_SLOT_DELAY_MS);
        }
        let after_shortage_ms = match reason {
            RefusalReason::Overloaded => {
                self.service.retry_after_shortage_ms(self.now, self.random)
            }
            _ => None,
        };
        let by_load_ms =
            after_shortage_ms.unwrap_or_else(|| self.service.retry_after_ms(self.random));
        match self.service.availability(self.now) {
            Availability::At(rest_ends) => {
                by_load_ms.max(self.service.staggered_retry_after_ms(self.now, rest_ends))
            }
            Availability::Drained => self.random.u64(DRAINED_DELAY_MS),
            Availability::Now | Availability::Unknown => by_load_ms,
        }
    }

    /// Whether a target that this request has not tried has a free slot, by the reports and counts of requests. Only
    /// the forecasting policy knows.
    fn has_free_slot(&mut self) -> bool {
        self.uses_forecast() && self.earliest(TargetFilter::Any).is_some()
    }
}
