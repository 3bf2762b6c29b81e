//! Logs when a service begins and ends to send part of its requests to other failure domains.

use crate::entry::Entry;
use pinhaven_decide::SpillOver;
use pinhaven_decide::SpillOverChange;
use pinhaven_record::Line;
use pinhaven_runtime::sleep_ms;
use pinhaven_types::ServiceName;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Interval between two looks, and thereby the minimum interval between two lines, in milliseconds.
const LOOK_INTERVAL_MS: u64 = 1_000;

impl Entry {
    /// Watches all services. Runs until the process exits.
    pub(crate) async fn watch_spill_over(self: Arc<Self>) {
        let mut known: BTreeMap<ServiceName, SpillOver> = BTreeMap::new();
        loop {
            sleep_ms(LOOK_INTERVAL_MS).await;
            self.look_for_spill_over(&mut known);
        }
    }

    /// Logs at most one change. Services that were not looked at for that reason are looked at the next time.
    fn look_for_spill_over(&self, known: &mut BTreeMap<ServiceName, SpillOver>) {
        let now = self.now();
        let snapshot = self.snapshot.load_full();
        known.retain(|name, _| snapshot.services.contains_key(name));
        for (name, service) in &snapshot.services {
            let crossings = service.state.crossings();
            let (near, far) = (crossings.near().attempts, crossings.far().attempts);
            let spill_over = known
                .entry(name.clone())
                .or_insert_with(|| SpillOver::new(near, far, now));
            if let Some(change) = spill_over.record(near, far, now) {
                return self.log_spill_over(name, change);
            }
        }
    }

    fn log_spill_over(&self, service: &ServiceName, change: SpillOverChange) {
        let (event, field, number) = match change {
            SpillOverChange::Began { share } => {
                let percent = share * 100.0;
                log::info!(
                    target: "locality",
                    "Service {service} spills over: {percent:.0} % of its attempts go to other failure domains."
                );
                ("spill_over_began", "far_percent", percent)
            }
            SpillOverChange::Ended { attempts } => {
                log::info!(
                    target: "locality",
                    "Service {service} no longer spills over; {attempts} attempts went to other failure domains."
                );
                ("spill_over_ended", "far_attempts", attempts as f64)
            }
        };
        self.record_line(|| {
            Line::new("service", event, 0)
                .with("service", service.as_str())
                .with_number(field, number)
        });
    }
}
