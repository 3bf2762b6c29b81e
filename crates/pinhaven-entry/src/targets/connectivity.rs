//! Checks whether this entry reaches the targets of each service.
//!
//! The evidence comes from requests and probes. If it leaves doubt, or while connectivity is lost, connections to some
//! targets are opened and a probe is sent on each. Where only the holders of seats may probe, a connection that stays
//! open suffices. The connections are then used for requests.

use crate::entry::Entry;
use crate::targets::pool::Probe;
use crate::versions::service_entry::ServiceEntry;
use crate::watch::counters::Count;
use pinhaven_agree::ServiceKey;
use pinhaven_decide::ConnectivityChange;
use pinhaven_decide::TargetState;
use pinhaven_record::Line;
use pinhaven_runtime::sleep_ms;
use pinhaven_runtime::spawn;
use pinhaven_types::Microseconds;
use std::sync::Arc;

/// Interval at which the evidence is examined while requests are in flight or targets are silent, in milliseconds.
const EXAMINE_INTERVAL_MS: u64 = 50;
/// Interval at which the evidence is examined otherwise, in milliseconds.
const IDLE_INTERVAL_MS: u64 = 200;

impl Entry {
    /// Watches the connectivity of all services. Runs until the process exits.
    pub(crate) async fn watch_connectivity(self: Arc<Self>) {
        loop {
            let snapshot = self.snapshot.load_full();
            let now = self.now();
            let is_suspect =
                |service: &&Arc<ServiceEntry>| service.state.connectivity().is_suspect(now);
            let mut is_idle = self.in_flight() == 0;
            for service in snapshot.services.values().filter(is_suspect) {
                is_idle = false;
                self.refresh_reached_by_peer(service);
                self.check_connectivity_if_due(service);
            }
            sleep_ms(match is_idle {
                true => IDLE_INTERVAL_MS,
                false => EXAMINE_INTERVAL_MS,
            })
            .await;
        }
    }

    /// Records that a target of the service was heard.
    pub(crate) fn record_heard(&self, service: &ServiceEntry) {
        let change = service.state.connectivity().record_heard(self.now());
        self.record_connectivity(service, change);
    }

    fn refresh_reached_by_peer(&self, service: &ServiceEntry) {
        let key = ServiceKey::new(&service.config.name);
        let forwarder = self.choose_forwarder(service, key, &[]);
        let connectivity = service.state.connectivity();
        connectivity.set_reached_by_peer(forwarder.is_some());
    }

    fn check_connectivity_if_due(self: &Arc<Self>, service: &Arc<ServiceEntry>) {
        let began = self.now();
        let state = &service.state;
        let due = state.connectivity().begin_check(began, state.typical_ms());
        let Some(target_count) = due else {
            return;
        };
        let is_candidate = |target: &&Arc<TargetState>| target.send_permit(began).is_ok();
        let candidates = state.targets().iter().filter(is_candidate);
        let targets = fastrand::choose_multiple(candidates, target_count);
        if targets.is_empty() {
            return;
        }
        let targets = targets.into_iter().cloned().collect();
        let (entry, service) = (Arc::clone(self), Arc::clone(service));
        spawn(async move { entry.check_connectivity(&service, targets, began).await }).detach();
    }

    /// Checks some targets, and records whether any of them was heard.
    async fn check_connectivity(
        self: &Arc<Self>,
        service: &Arc<ServiceEntry>,
        targets: Vec<Arc<TargetState>>,
        began: Microseconds,
    ) {
        self.counters.add(Count::ConnectivityChecks);
        let mut checks = Vec::new();
        for target in targets {
            let address = target.address();
            let Some(pool) = service.pools.get(&address).cloned() else {
                continue;
            };
            let (entry, service) = (Arc::clone(self), Arc::clone(service));
            let probe = move || entry.probe_for_check(&service, &target);
            checks.push(spawn(async move { pool.check(address, probe).await }));
        }
        let mut is_reached = false;
        for check in checks {
            is_reached |= check.await;
        }
        let connectivity = service.state.connectivity();
        let change = match is_reached {
            true => connectivity.record_check_passed(self.now()),
            false => connectivity.record_check_failed(began, self.now()),
        };
        self.record_connectivity(service, change);
    }

    /// The probe of a check; `None` if this entry may not send one.
    fn probe_for_check(&self, service: &ServiceEntry, target: &TargetState) -> Option<Probe> {
        let may_probe = self.settings.discovery.is_some();
        let path = service.config.probe_path.as_ref().filter(|_| may_probe)?;
        let permit = target.send_permit(self.now()).ok()?;
        self.counters.add(Count::Probes);
        Probe::new(permit, target.address(), path)
    }

    fn record_connectivity(&self, service: &ServiceEntry, change: Option<ConnectivityChange>) {
        let name = &service.config.name;
        let connectivity = service.state.connectivity();
        match change {
            None => {}
            Some(ConnectivityChange::Lost) => {
                let heard_age_ms = connectivity
                    .heard_age(self.now())
                    .map(|age| age.as_ms() as u64);
                let is_reached_by_peer = connectivity.is_reached_by_peer();
                let heard = heard_age_ms.map_or("never".to_owned(), |ms| format!("{ms} ms ago"));
                log::warn!(
                    target: "targets",
                    "No target of service {name} is reached; the last was heard {heard}; other entries reach it: {is_reached_by_peer}."
                );
                self.record_line(|| {
                    Line::new("service", "connectivity_lost", 0)
                        .with("service", name.as_str())
                        .with("heard_age_ms", heard_age_ms)
                        .with("reached_by_peer", is_reached_by_peer)
                });
                service.pools.values().for_each(|pool| pool.clear());
                service.connectivity_lost.notify(usize::MAX);
                self.urgent_update.notify(usize::MAX);
            }
            Some(ConnectivityChange::Regained(lost_for)) => {
                let lost_ms = lost_for.as_ms() as u64;
                log::info!(target: "targets", "Targets of service {name} are reached again after {lost_ms} ms.");
                self.record_line(|| {
                    Line::new("service", "connectivity_regained", 0)
                        .with("service", name.as_str())
                        .with("lost_ms", lost_ms)
                });
                self.urgent_update.notify(usize::MAX);
            }
        }
    }
}
