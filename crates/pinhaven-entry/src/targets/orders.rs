//! Applies the orders (directives) that targets send with their answers: to leave, and to rest.
//!
//! The order to leave applies to all entries, so an entry that receives one advertises it to its peers. The order
//! to rest applies only to the entry that received the answer.

use crate::entry::Entry;
use crate::targets::drains::apply_drains;
use crate::versions::service_entry::ServiceEntry;
use crate::versions::snapshot::KeyedTarget;
use crate::versions::snapshot::Snapshot;
use crate::watch::counters::Count;
use crate::wire::rest::ReceivedOrders;
use pinhaven_agree::KnownTargets;
use pinhaven_decide::AnswerOrders;
use pinhaven_decide::TargetState;
use pinhaven_record::Line;
use pinhaven_types::Microseconds;
use std::sync::Arc;

/// Source from which an order was received.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum OrderSource {
    /// The target's answer to a request.
    Answer,
    /// The target's answer to a probe.
    Probe,
    /// A peer that received the order from the target.
    Entry,
}

impl OrderSource {
    /// Description in the log.
    fn description(self) -> &'static str {
        match self {
            Self::Answer => "its answer to a request",
            Self::Probe => "its answer to a probe",
            Self::Entry => "another entry",
        }
    }

    /// Name in the record.
    fn name(self) -> &'static str {
        match self {
            Self::Answer => "answer",
            Self::Probe => "probe",
            Self::Entry => "entry",
        }
    }
}

impl Entry {
    /// Applies the orders that a target sent with an answer.
    pub(crate) fn apply_orders(
        &self,
        service: &ServiceEntry,
        target: &TargetState,
        received: &ReceivedOrders,
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

    /// Records when the known list last named the runs that are resting, before another list replaces it.
    pub(crate) fn confirm_resting_runs(&self, known: &KnownTargets) {
        let Some(confirmed_at) = known.confirmed_at() else {
            return;
        };
        let now = self.now();
        let is_superseded = |target: &TargetState| {
            let id = target.id();
            id.is_some_and(|id| known.is_superseded(id, target.incarnation()))
        };
        for service in self.snapshot.load().services.values() {
            let targets = service.state.targets().iter();
            let resting = targets.filter(|target| target.rests_until(now).is_some());
            for target in resting.filter(|target| !is_superseded(target)) {
                target.record_listed(confirmed_at);
            }
        }
    }

    /// Records a peer's list of runs, by key, that reported that they leave, and applies it.
    pub(crate) fn record_reported_leaves(&self, keys: &[u32]) {
        if keys.is_empty() {
            return;
        }
        let now = self.now();
        let mut leaves = self.reported_leaves.lock();
        for key in keys {
            leaves.record(*key, now);
        }
        drop(leaves);
        self.apply_leaves(&self.snapshot.load(), keys);
    }

    /// Puts a snapshot in place after applying all known leaves and drains to it. A target may be listed later than its
    /// leave becomes known.
    pub(crate) fn store_snapshot(&self, next: Snapshot) {
        // While the locks are held, no order can be recorded and applied to the previous snapshot only.
        let leaves = self.reported_leaves.lock();
        let drains = self.drains.lock();
        self.apply_leaves(&next, &leaves.all());
        apply_drains(&next, &drains, self.now());
        self.set_cold_access(&next);
        self.set_limits(&next);
        self.snapshot.store(Arc::new(next));
    }

    fn apply_leaves(&self, snapshot: &Snapshot, keys: &[u32]) {
        let leaves = AnswerOrders {
            leaves: true,
            rest: None,
        };
        for key in keys {
            let Some(KeyedTarget { service, target }) = snapshot.keyed_targets().get(key) else {
                continue;
            };
            if target.record_orders(&leaves, self.now()).leaves {
                self.record_leave(service, target, OrderSource::Entry);
            }
        }
    }

    /// Keys of runs that are known to leave, to be advertised to peers in the datagram with number `round`.
    pub(crate) fn leaves_to_advertise(&self, round: u64) -> Vec<u32> {
        let snapshot = self.snapshot.load();
        let is_listed_as_live = |key| {
            let keyed = snapshot.keyed_targets().get(&key);
            keyed.is_some_and(|keyed| !keyed.target.is_marked_leaving())
        };
        let mut leaves = self.reported_leaves.lock();
        leaves.expire(self.now(), is_listed_as_live);
        leaves.to_advertise(round)
    }

    /// Advertises to peers without delay that a target leaves. A target without an id has no key and is sent by
    /// address with the leaving targets.
    fn advertise_leave(&self, target: &TargetState) {
        if let Some(key) = target.key() {
            self.reported_leaves.lock().record(key, self.now());
        }
        self.urgent_update.notify(usize::MAX);
    }

    /// The valid orders of an answer, with the rest limited to the maximum in the settings.
    fn bound_orders(&self, received: &ReceivedOrders, target: &TargetState) -> AnswerOrders {
        let rest_max = Microseconds::from_ms(self.settings.target_rest_most_ms);
        let is_too_long = received.orders.rest > Some(rest_max);
        if received.has_bad_rest || is_too_long {
            self.counters.add(Count::TargetRestBad);
            log::debug!(target: "orders", "Target {} sent a rest that is invalid or too long.", target.name());
        }
        AnswerOrders {
            rest: received.orders.rest.map(|rest| rest.min(rest_max)),
            ..received.orders
        }
    }

    fn record_leave(&self, service: &ServiceEntry, target: &TargetState, source: OrderSource) {
        self.counters.add(Count::TargetLeft);
        log::info!(target: "orders", "Target {} is leaving, as reported by {}.", target.name(), source.description());
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
        log::info!(target: "orders", "Target {} asks for a rest of {rest_ms:.0} ms.", target.name());
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
