//! Taking in what targets ask for, from their answers or from another entry that has one.
//!
//! That a target leaves is meant for all entries, and goes on to those that serve. A rest is asked of one entry.

use crate::entry::Entry;
use crate::versions::service_entry::ServiceEntry;
use crate::versions::snapshot::KeyedTarget;
use crate::watch::counters::Count;
use crate::wire::rest::HeardOrders;
use pinhaven_decide::AnswerOrders;
use pinhaven_decide::TargetState;
use pinhaven_record::Line;
use pinhaven_types::Microseconds;

/// Where an order came from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum OrderSource {
    /// The target's answer to a request.
    Answer,
    /// Its answer to a probe.
    Probe,
    /// Another entry, to which the target said so.
    Entry,
}

impl OrderSource {
    /// Name in logs.
    fn name(self) -> &'static str {
        match self {
            Self::Answer => "answer",
            Self::Probe => "probe",
            Self::Entry => "entry",
        }
    }
}

impl Entry {
    /// Takes in what a target asks for with an answer.
    pub(crate) fn apply_orders(
        &self,
        service: &ServiceEntry,
        target: &TargetState,
        received: &HeardOrders,
        source: OrderSource,
    ) {
        let orders = self.bound_orders(received, target);
        if orders.is_empty() {
            return;
        }
        let now = self.now();
        let changes = target.record_orders(&orders, now);
        if changes.leaves {
            self.record_leave(service, target, source);
            self.advertise_leave(target);
        }
        if let Some(until) = changes.rests_until {
            self.record_rest(service, target, until.saturating_sub(now), source);
        }
    }

    /// Takes in which runs of targets told another entry that they leave.
    pub(crate) fn apply_reported_leaves(&self, keys: &[u32]) {
        let leaves = AnswerOrders {
            leaves: true,
            rest: None,
        };
        let snapshot = self.snapshot.load();
        for key in keys {
            let Some(KeyedTarget { service, target }) = snapshot.keyed_targets().get(key) else {
                continue;
            };
            if target.record_orders(&leaves, self.now()).leaves {
                self.record_leave(service, target, OrderSource::Entry);
            }
        }
    }

    /// Runs of targets that told this entry that they leave, for the others.
    pub(crate) fn leaves_to_advertise(&self) -> Vec<u32> {
        let mut leaves = self.heard_leaves.lock();
        leaves.expire(self.now());
        leaves.keys()
    }

    /// Lets the others hear at once that a target leaves. One without an id is told by its address.
    fn advertise_leave(&self, target: &TargetState) {
        if let Some(key) = target.key() {
            self.heard_leaves.lock().record(key, self.now());
        }
        self.news.notify(usize::MAX);
    }

    /// The orders that can be read, with no rest longer than a target may ask for.
    fn bound_orders(&self, received: &HeardOrders, target: &TargetState) -> AnswerOrders {
        let rest_max = Microseconds::from_ms(self.settings.target_rest_most_ms);
        let is_too_long = received.orders.rest > Some(rest_max);
        if received.has_bad_rest || is_too_long {
            self.counters.add(Count::TargetRestBad);
            log::debug!(target: "orders", "Target {} asks for a rest that is none.", target.name());
        }
        AnswerOrders {
            rest: received.orders.rest.map(|rest| rest.min(rest_max)),
            ..received.orders
        }
    }

    fn record_leave(&self, service: &ServiceEntry, target: &TargetState, source: OrderSource) {
        self.counters.add(Count::TargetLeft);
        log::info!(target: "orders", "Target {} says that it leaves.", target.name());
        self.record_line(|| order_line("told_leaving", service, target, source));
    }

    fn record_rest(
        &self,
        service: &ServiceEntry,
        target: &TargetState,
        rest: Microseconds,
        source: OrderSource,
    ) {
        let rest_ms = rest.as_ms();
        self.counters.add(Count::TargetRests);
        log::info!(target: "orders", "Target {} asks for {rest_ms:.0} ms of rest.", target.name());
        self.record_line(|| {
            order_line("told_rest", service, target, source).with_number("rest_ms", rest_ms)
        });
    }
}

fn order_line(
    event: &str,
    service: &ServiceEntry,
    target: &TargetState,
    source: OrderSource,
) -> Line {
    Line::new("target", event, 0)
        .with("target", target.name())
        .with("service", service.config.name.as_str())
        .with("address", target.address().to_string())
        .with("source", source.name())
}
