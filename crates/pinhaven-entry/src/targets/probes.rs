//! Probing the targets of this entry's seat, within the budget.
//!
//! Probes find what replies can't: that an idle target has begun to drain, or to answer again. They
//! are sent one after another, each after the seat and the budget were asked.

use crate::entry::Entry;
use crate::targets::orders::OrderSource;
use crate::targets::pool::probe_request;
use crate::versions::service_entry::ServiceEntry;
use crate::watch::counters::Count;
use crate::wire::load_report;
use pinhaven_agree::seat_of;
use pinhaven_decide::ProbeBudget;
use pinhaven_runtime::HttpClient;
use pinhaven_runtime::sleep_ms;
use pinhaven_types::BundleVersion;
use pinhaven_types::Microseconds;
use pinhaven_types::ServiceName;
use pinhaven_types::TargetAddress;
use std::collections::BTreeMap;
use std::sync::Arc;

/// How often an entry without a seat looks whether it has one, in milliseconds.
const SEAT_POLL_MS: u64 = 500;
/// The shortest and the longest pause between two looks for due probes, in milliseconds.
const PAUSE_MS: std::ops::RangeInclusive<u64> = 5..=500;
/// How long a target may take to answer a probe, in milliseconds.
const PROBE_TIMEOUT_MS: u64 = 1_000;

type ProbedTargets = BTreeMap<(ServiceName, TargetAddress), ProbedTarget>;

/// A target of the seat, with its budget and the connection that its probes use.
struct ProbedTarget {
    budget: ProbeBudget,
    client: HttpClient,
}

/// The budgets of the targets of one seat in one version.
struct ProbeRound {
    version: BundleVersion,
    seat: u32,
    targets: ProbedTargets,
}

impl ProbeRound {
    /// The time until the next probe is due, in milliseconds.
    fn pause_ms(&self, now: Microseconds) -> u64 {
        let dues = self.targets.values().filter_map(|t| t.budget.next_at());
        let next_at = dues
            .min()
            .unwrap_or(now.plus(Microseconds::from_ms(*PAUSE_MS.end())));
        let pause_ms = next_at.saturating_sub(now).count() / 1_000;
        pause_ms.clamp(*PAUSE_MS.start(), *PAUSE_MS.end())
    }
}

impl Entry {
    /// Sends probes for ever.
    pub(crate) async fn probe(self: Arc<Self>) {
        let mut round: Option<ProbeRound> = None;
        loop {
            let seat = self.seats.lock().seat(self.now());
            let Some(seat) = seat else {
                round = None;
                sleep_ms(SEAT_POLL_MS).await;
                continue;
            };
            let snapshot = self.snapshot.load_full();
            let is_current = round
                .as_ref()
                .is_some_and(|round| round.version == snapshot.version && round.seat == seat);
            if !is_current {
                let previous = round.take().filter(|round| round.seat == seat);
                round = Some(self.begin_round(seat, previous));
            }
            let Some(round) = &mut round else {
                continue;
            };
            for ((name, target), probed) in &mut round.targets {
                if let Some(service) = snapshot.services.get(name) {
                    self.probe_if_due(seat, service, *target, probed).await;
                }
            }
            sleep_ms(round.pause_ms(self.now())).await;
        }
    }

    /// The budgets for a new version or seat. What a target's budget has spent is retained, unless the
    /// service changed: then it begins anew with a pause, as after a change of holders.
    fn begin_round(&self, seat: u32, previous: Option<ProbeRound>) -> ProbeRound {
        let snapshot = self.snapshot.load();
        let measuring = &snapshot.bundle().measuring;
        let now = self.now();
        let mut previous = previous.map(|round| round.targets).unwrap_or_default();
        let mut targets = ProbedTargets::new();
        for (name, service) in &snapshot.services {
            if service.config.probe_path.is_none() {
                continue;
            }
            for target in &service.config.targets {
                if seat_of(target.address, measuring.seats) != seat {
                    continue;
                }
                let key = (name.clone(), target.address);
                let budget = ProbeBudget::new(measuring, &service.config, now);
                let probed = match previous.remove(&key) {
                    Some(previous) if previous.budget.is_same_plan(&budget) => previous,
                    _ => ProbedTarget {
                        budget,
                        client: HttpClient::new(target.address.socket_address(), PROBE_TIMEOUT_MS),
                    },
                };
                targets.insert(key, probed);
            }
        }
        ProbeRound {
            version: snapshot.version,
            seat,
            targets,
        }
    }

    async fn probe_if_due(
        &self,
        seat: u32,
        service: &ServiceEntry,
        target: TargetAddress,
        probed: &mut ProbedTarget,
    ) {
        let ProbedTarget { budget, client } = probed;
        let Some(path) = &service.config.probe_path else {
            return;
        };
        let Some(state) = service.state.target(target) else {
            return;
        };
        let now = self.now();
        let Ok(permit) = state.send_permit(now) else {
            return;
        };
        if budget.next_at().is_none_or(|at| at > now) {
            return;
        }
        // The seat is asked last, so that a pause before this line costs no probe.
        let holds_seat = self.seats.lock().seat(self.now()) == Some(seat);
        if !holds_seat || !budget.take(now) {
            return;
        }
        self.counters.add(Count::Probes);
        let Some(request) = probe_request(permit, path) else {
            return;
        };
        let answer = client.call(request).await;
        let answered_at = self.now();
        budget.record(answered_at.saturating_sub(now));
        let Ok(answer) = answer else {
            return self.counters.add(Count::ProbeFailed);
        };
        // What a target asks for holds whichever way it is asked.
        let orders = self.dialect.read_orders(answer.status(), answer.headers());
        self.apply_orders(service, state, &orders, OrderSource::Probe);
        match load_report::from_json(answer.body()) {
            Some(report) => service.state.record_report(state, answered_at, &report),
            None => self.counters.add(Count::ProbeFailed),
        }
    }
}
