//! This entry's share of the added attempts (hedges and retries) that all entries together may make.
//!
//! The settings limit the total. Each entry computes its own share from the members that it knows, without a
//! message to the other entries.

use crate::entry::Entry;
use pinhaven_types::RequestRate;

/// Share of the extra added attempts that the serving entries divide among themselves.
const SERVING_EXTRA_SHARE: f64 = 0.8;
/// Share of an entry's extra added attempts that hedges may use in a burst.
const HEDGE_BURST_SHARE: f64 = 0.45;
/// Share of an entry's extra added attempts that retries may use in a burst. The rest covers entries that have
/// just started and entries that have left.
const RETRY_BURST_SHARE: f64 = 0.35;

impl Entry {
    /// Sets how many hedges and retries of each service this entry may send in a burst.
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

    /// This entry's part of `extra`, the extra added attempts of all entries. The serving entries divide most
    /// of it; the other entries divide the rest, for callers that still use them.
    fn own_added_attempts_extra(&self, extra: f64) -> f64 {
        let members = self.members.lock();
        let now = self.now();
        let own = members.own();
        let serving = members.serving(now);
        let others = (members.live_peers(now).len() + 1).saturating_sub(serving.len());
        if serving.contains(&own) {
            // Callers distribute their requests over the serving entries in proportion to capacity.
            let all: RequestRate = serving.iter().map(|row| row.capacity).sum();
            let share = f64::from(own.capacity.per_second()) / f64::from(all.per_second().max(1));
            extra * SERVING_EXTRA_SHARE * share
        } else {
            extra * (1.0 - SERVING_EXTRA_SHARE) / others.max(1) as f64
        }
    }
}
