//! Choice of the counts that an entry advertises to a group of its peers.
//!
//! Bytes between failure domains are expensive, so only the counts that changed since the last advertisement are sent. Full
//! datagrams repeat what changed recently, which compensates for lost datagrams.

use crate::OrganisationCount;
use crate::OrganisationKey;
use pinhaven_types::Microseconds;
use std::collections::HashMap;

/// Minimum interval between two advertisements.
const INTERVAL: Microseconds = Microseconds::from_ms(150);
/// Tolerated earliness of an advertisement, so that a round that is slightly early is not skipped.
const EARLY: Microseconds = Microseconds::from_ms(10);
/// Time for which full datagrams repeat a changed count.
const REPEATED_FOR: Microseconds = Microseconds::from_ms(5_000);

/// What was advertised to a group of peers.
#[derive(Debug, Default)]
pub struct AdvertisedCounts {
    sent_at: Option<Microseconds>,
    sent: HashMap<OrganisationKey, u32>,
}

impl AdvertisedCounts {
    /// Whether an advertisement is due.
    pub(crate) fn is_due(&self, is_full: bool, now: Microseconds) -> bool {
        let since = |sent_at| now.saturating_sub(sent_at).plus(EARLY);
        is_full
            || self
                .sent_at
                .is_none_or(|sent_at| since(sent_at) >= INTERVAL)
    }

    /// Selects the counts to advertise now, from all counts and the times at which they changed.
    pub(crate) fn select(
        &mut self,
        counts: impl Iterator<Item = (OrganisationCount, Microseconds)>,
        is_full: bool,
        now: Microseconds,
    ) -> Vec<OrganisationCount> {
        self.sent_at = Some(now);
        let repeated_from = now.saturating_sub(REPEATED_FOR);
        let mut selected = Vec::new();
        for (count, changed_at) in counts {
            let before = self.sent.insert(count.key, count.count).unwrap_or_default();
            let is_recent = changed_at > Microseconds::ZERO && changed_at >= repeated_from;
            if before != count.count || (is_full && is_recent) {
                selected.push(count);
            }
        }
        selected
    }
}
