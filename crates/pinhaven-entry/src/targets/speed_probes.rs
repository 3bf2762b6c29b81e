//! Probes of targets' speed, for targets whose answers to requests don't report it often enough.
//!
//! The owner of a target probes it. While entries disagree on which entries serve, several entries may probe the
//! same target, so each entry limits its probes to an equal part of what all entries together may send.

use crate::entry::Entry;
use crate::targets::orders::OrderSource;
use crate::targets::owned_targets::OwnedTargets;
use crate::targets::pool::PROBE_ANSWER_BYTES_MAX;
use crate::targets::pool::probe_request;
use crate::versions::snapshot::KeyedTarget;
use crate::watch::counters::Count;
use pinhaven_decide::ProbePace;
use pinhaven_decide::SendPermit;
use pinhaven_runtime::HttpClient;
use pinhaven_runtime::sleep_ms;
use pinhaven_runtime::spawn;
use pinhaven_types::Microseconds;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

/// Interval between two checks for targets that are due, in milliseconds.
const TICK_MS: u64 = 15;
/// Interval between two checks at an entry that owns no target, in milliseconds.
const IDLE_TICK_MS: u64 = 200;
/// Timeout for a target's answer to a probe, in milliseconds.
const TIMEOUT_MS: u64 = 400;

/// Probe state of a target that this entry owns.
struct ProbedTarget {
    pace: ProbePace,
    client: Arc<HttpClient>,
    is_under_way: Arc<AtomicBool>,
}

impl Entry {
    /// Probes the speed of the owned targets. Runs until the process exits.
    pub(crate) async fn probe_speeds(self: Arc<Self>) {
        let mut owned = OwnedTargets::new(&self);
        let mut probed: HashMap<u32, ProbedTarget> = HashMap::new();
        let mut cold_access_due = Microseconds::ZERO;
        loop {
            let snapshot = self.snapshot.load_full();
            owned.refresh(&self, &snapshot);
            if owned.own_keys().is_empty() {
                probed.clear();
                sleep_ms(IDLE_TICK_MS).await;
                continue;
            }
            self.refresh_cold_access(&snapshot, &mut cold_access_due);
            probed.retain(|key, _| owned.contains(*key));
            for key in owned.own_keys() {
                if let Some(keyed) = snapshot.keyed_targets().get(key) {
                    self.probe_speed_if_due(*key, keyed, &mut probed);
                }
            }
            sleep_ms(TICK_MS).await;
        }
    }

    fn probe_speed_if_due(
        self: &Arc<Self>,
        key: u32,
        keyed: &KeyedTarget,
        probed: &mut HashMap<u32, ProbedTarget>,
    ) {
        let now = self.now();
        let target = &keyed.target;
        let Some(path) = &keyed.service.config.probe_path else {
            return;
        };
        let age = target
            .reported_speed()
            .map(|(_, at)| now.saturating_sub(at));
        let desired_age = keyed.service.state.desired_report_age();
        let Ok(permit) = target.send_permit(now) else {
            return;
        };
        if age.is_some_and(|age| age < desired_age) {
            return;
        }
        let per_second_max = self.settings.discovery.as_ref();
        let per_second_max = per_second_max.map_or(0, |discovery| discovery.probes_per_second_most);
        let probed = probed.entry(key).or_insert_with(|| ProbedTarget {
            pace: ProbePace::new(per_second_max),
            client: Arc::new(
                HttpClient::new(target.address().socket_address(), TIMEOUT_MS)
                    .with_answer_bytes_max(PROBE_ANSWER_BYTES_MAX)
                    .with_idle_connections(1),
            ),
            is_under_way: Arc::new(AtomicBool::new(false)),
        });
        if probed.is_under_way.load(Ordering::Acquire) || !probed.pace.take(now) {
            return;
        }
        probed.is_under_way.store(true, Ordering::Release);
        let (entry, keyed) = (Arc::clone(self), keyed.clone());
        let (client, is_under_way) = (Arc::clone(&probed.client), Arc::clone(&probed.is_under_way));
        let path = path.clone();
        spawn(async move {
            entry.probe_speed(permit, &keyed, &client, &path).await;
            is_under_way.store(false, Ordering::Release);
        })
        .detach();
    }

    async fn probe_speed(
        &self,
        permit: SendPermit,
        keyed: &KeyedTarget,
        client: &HttpClient,
        path: &str,
    ) {
        self.counters.add(Count::Probes);
        let KeyedTarget { service, target } = keyed;
        let Some(request) = probe_request(permit, path) else {
            return;
        };
        let answer = match client.call(request).await {
            Ok(answer) => answer,
            Err(error) => {
                self.counters.add(Count::ProbeFailed);
                log::debug!(target: "probe", "Probing the speed of a target failed: {error}.");
                return;
            }
        };
        self.record_heard(service);
        let answered_by = self.dialect.probed_target(answer.headers());
        if answered_by.is_some() && answered_by.as_ref() != target.id() {
            log::info!(target: "probe", "Another target answered at the address {}.", target.address());
            target.mark_leaving();
            return;
        }
        let answering = self.dialect.probed_incarnation(answer.body());
        if let (Some(answering), Some(known)) = (answering, target.incarnation())
            && answering != known
        {
            // The report is from another run and is not used. A later run is recorded and probed again.
            self.learn_run(target, answering);
            return;
        }
        let orders = self.dialect.read_orders(answer.status(), answer.headers());
        self.apply_orders(service, target, &orders, OrderSource::Probe);
        self.record_cold(service, target, answer.headers());
        match self.dialect.read_probe(answer.headers(), answer.body()) {
            Some(report) => service.state.record_report(target, self.now(), &report),
            None => self.counters.add(Count::ProbeFailed),
        }
    }
}
