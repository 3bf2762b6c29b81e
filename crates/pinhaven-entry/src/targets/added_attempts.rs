//! What this entry may add of attempts: its part of what all entries together may.

use crate::entry::Entry;
use pinhaven_types::RequestRate;

/// Share of the extra added attempts that goes to the entries that serve.
const SERVING_EXTRA_SHARE: f64 = 0.8;
/// Share of an entry's extra added attempts that hedges may use at once.
const HEDGE_BURST_SHARE: f64 = 0.45;
/// The same for retries. What is left covers entries that have just begun and those that are gone.
const RETRY_BURST_SHARE: f64 = 0.35;

impl Entry {
    /// Sets how many added attempts this entry may make at once: its part of what all may together.
    pub(crate) fn share_added_attempts(&self) {
        let Some(discovery) = &self.settings.discovery else {
            return;
        };
        let own_extra = self.own_added_attempts_extra(discovery.added_attempts_extra);
        for service in self.snapshot.load().services.values() {
            let (hedges, retries) = (own_extra * HEDGE_BURST_SHARE, own_extra * RETRY_BURST_SHARE);
            service
                .state
                .set_added_attempt_burst(hedges as f32, retries as f32);
        }
    }

    /// Those that serve share most of it; the rest is for callers that still use others.
    fn own_added_attempts_extra(&self, extra: f64) -> f64 {
        let members = self.members.lock();
        let now = self.now();
        let own = members.own();
        let serving = members.serving(now);
        let others = (members.live_peers(now).len() + 1).saturating_sub(serving.len());
        if serving.contains(&own) {
            // Callers spread over them by what they can carry.
            let all: RequestRate = serving.iter().map(|row| row.capacity).sum();
            let share = f64::from(own.capacity.per_second()) / f64::from(all.per_second().max(1));
            extra * SERVING_EXTRA_SHARE * share
        } else {
            extra * (1.0 - SERVING_EXTRA_SHARE) / others.max(1) as f64
        }
    }
}
