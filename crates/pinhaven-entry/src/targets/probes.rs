//! Probes of the targets that belong to this entry's seat, within the probe budget.
//!
//! Probes detect what answers to requests don't show: that an idle target has begun to drain, or answers again.
//! Probes are sent one after another, and the seat and the budget are checked before each of them.

use crate::entry::Entry;
use crate::targets::orders::OrderSource;
use crate::targets::pool::PROBE_ANSWER_BYTES_MAX;
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

/// Interval at which an entry without a seat checks whether it has acquired one, in milliseconds.
const SEAT_POLL_MS: u64 = 500;
/// Minimum and maximum time between two checks for due probes, in milliseconds.
const PAUSE_MS: std::ops::RangeInclusive<u64> = 5..=500;
/// Timeout for a target's answer to a probe, in milliseconds.
const PROBE_TIMEOUT_MS: u64 = 1_000;

type ProbedTargets = BTreeMap<(ServiceName, TargetAddress), ProbedTarget>;

/// Probe budget of a target of the seat, and the client that sends its probes.
struct ProbedTarget {
    budget: ProbeBudget,
    client: HttpClient,
}

/// Budgets of the targets of one seat in one version.
struct ProbeRound {
    version: BundleVersion,
    seat: u32,
    targets: ProbedTargets,
}

impl ProbeRound {
    /// Time until the next probe is due, in milliseconds, within the limits of [`PAUSE_MS`].
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
    /// Probes the targets of this entry's seat. Runs until the process exits.
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

    /// Creates the budgets for a new version or seat. The budget of a target that was probed before is retained,
    /// unless its plan has changed: then a new budget begins with a wait, as after a change of the seat's holder.
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
                        client: HttpClient::new(target.address.socket_address(), PROBE_TIMEOUT_MS)
                            .with_answer_bytes_max(PROBE_ANSWER_BYTES_MAX),
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
        // The seat is checked last: if this task was paused and the seat expired meanwhile, no probe is sent.
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
        self.record_heard(service);
        // Orders in answers to probes apply in the same way as orders in answers to requests.
        let orders = self.dialect.read_orders(answer.status(), answer.headers());
        self.apply_orders(service, state, &orders, OrderSource::Probe);
        match load_report::from_json(answer.body()) {
            Some(report) => service.state.record_report(state, answered_at, &report),
            None => self.counters.add(Count::ProbeFailed),
        }
    }
}
