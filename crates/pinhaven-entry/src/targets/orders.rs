//! Taking in what targets ask for with their answers.

use crate::entry::Entry;
use crate::versions::service_entry::ServiceEntry;
use crate::watch::counters::Count;
use crate::wire::rest::HeardOrders;
use pinhaven_decide::AnswerOrders;
use pinhaven_decide::TargetState;
use pinhaven_record::Line;
use pinhaven_types::Microseconds;

impl Entry {
    /// Takes in what a target asks for with an answer, to a request or a probe.
    pub(crate) fn hear_orders(
        &self,
        service: &ServiceEntry,
        target: &TargetState,
        heard: &HeardOrders,
    ) {
        let orders = self.bounded(heard, target);
        if orders.is_empty() {
            return;
        }
        let now = self.now();
        let news = target.take_orders(&orders, now);
        if news.leaves {
            self.counters.add(Count::TargetLeft);
            log::info!(target: "orders", "Target {} says that it leaves.", target.name());
            self.record_line(|| order_line("told_leaving", service, target));
        }
        if let Some(until) = news.rests_until {
            let rest_ms = until.saturating_sub(now).as_ms();
            self.counters.add(Count::TargetRests);
            log::info!(target: "orders", "Target {} asks for {rest_ms:.0} ms of rest.", target.name());
            self.record_line(|| {
                order_line("told_rest", service, target).with_number("rest_ms", rest_ms)
            });
        }
    }

    /// The orders that can be read, with no rest longer than a target may ask for.
    fn bounded(&self, heard: &HeardOrders, target: &TargetState) -> AnswerOrders {
        let most = Microseconds::from_ms(self.settings.target_rest_most_ms);
        let is_too_long = heard.orders.rest > Some(most);
        if heard.has_bad_rest || is_too_long {
            self.counters.add(Count::TargetRestBad);
            log::debug!(target: "orders", "Target {} asks for a rest that is none.", target.name());
        }
        AnswerOrders {
            rest: heard.orders.rest.map(|rest| rest.min(most)),
            ..heard.orders
        }
    }
}

fn order_line(event: &str, service: &ServiceEntry, target: &TargetState) -> Line {
    Line::new("target", event, 0)
        .with("target", target.name())
        .with("service", service.config.name.as_str())
        .with("address", target.address().to_string())
}
