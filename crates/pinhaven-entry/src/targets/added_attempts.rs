//! This entry's share of the added attempts (hedges and retries) that all entries together may make.
//!
//! The settings limit the total. Each entry computes its own share from the members that it knows, without a
//! message to the other entries.

use crate::entry::Entry;

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
        let share = self.members.lock().added_attempts_share(self.now());
        let own_extra = discovery.added_attempts_extra * share;
        for service in self.snapshot.load().services.values() {
            let (hedges, retries) = (own_extra * HEDGE_BURST_SHARE, own_extra * RETRY_BURST_SHARE);
            service
                .state
                .set_added_attempt_burst(hedges as f32, retries as f32);
        }
    }
}
