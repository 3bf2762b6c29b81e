//! Entries to name to callers of one failure domain, those of the domain first.
//!
//! Answers demand that is spread unevenly over failure domains. Callers choose at random among the named entries, so that
//! with four domains three in four requests go through an entry of another domain and run there. Where operators set it,
//! an answer names the entries of the caller's domain and few others: one, or two beside eight or more near ones, because
//! all entries of a domain may fail at once while callers hold their answers for some seconds. So a third of the requests
//! still crosses beside two near entries, a fifth beside four. More far entries are named only as far as the entries of
//! the domain lack capacity for its demand.

use crate::member::MemberRow;
use crate::membership::Membership;
use crate::steering::HEADROOM;
use crate::steering::NAMED_MIN;
use crate::steering::capacity_of;
use crate::steering::name_by_capacity;
use pinhaven_types::FailureDomain;
use pinhaven_types::Microseconds;
use pinhaven_types::Region;
use std::collections::BTreeMap;

/// Number of near entries in an answer from which a second far entry is named.
const SECOND_FAR_FROM: usize = 8;

impl Membership {
    /// Sets whether answers to callers name the entries of the caller's failure domain first and others only as far as
    /// needed. Entries that serve then follow the demand of each domain, so that all entries must have the same setting.
    pub fn with_near_entries_first(mut self, is_set: bool) -> Self {
        self.names_near_first = is_set;
        self
    }

    /// Capacity that each failure domain of a region needs for its demand; empty unless near entries are named first.
    pub(crate) fn required_by_domain(
        &self,
        region: Option<&Region>,
        now: Microseconds,
    ) -> BTreeMap<&FailureDomain, f64> {
        let mut required = BTreeMap::new();
        if self.names_near_first {
            let rows = self.live_demanding(now);
            for row in rows.filter(|row| row.region.as_ref() == region) {
                let demand = f64::from(row.demand.per_second());
                *required.entry(&row.failure_domain).or_default() += demand * HEADROOM;
            }
        }
        required
    }

    /// Entries of `serving` to name to a caller in `domain`; `None` if fewer than two of its entries serve.
    pub(crate) fn name_near_first<'row>(
        &self,
        serving: &[&'row MemberRow],
        domain: &FailureDomain,
        draw: &mut impl FnMut() -> f32,
        now: Microseconds,
    ) -> Option<Vec<&'row MemberRow>> {
        let (near, far): (Vec<&MemberRow>, Vec<&MemberRow>) = serving
            .iter()
            .partition(|row| row.failure_domain == *domain);
        if near.len() < NAMED_MIN {
            return None;
        }
        let capacity: f64 = near.iter().map(|row| capacity_of(row)).sum();
        let region = near.first().and_then(|row| row.region.as_ref());
        let required = self.required_by_domain(region, now);
        let required = required.get(domain).copied().unwrap_or_default();
        let mut named = name_by_capacity(near, draw);
        let guards = 1 + usize::from(named.len() >= SECOND_FAR_FROM);
        // Callers spread evenly, so that these many far entries get the part that the domain can't carry.
        let lacking = named.len() as f64 * (required / capacity.max(1.0) - 1.0).max(0.0);
        let lacking = (lacking + f64::from(draw())) as usize;
        named.extend(draw_by_capacity(far, guards.max(lacking), draw));
        Some(named)
    }
}

/// Draws entries without repetition, with probabilities in proportion to their capacities.
fn draw_by_capacity<'row>(
    rows: Vec<&'row MemberRow>,
    count: usize,
    draw: &mut impl FnMut() -> f32,
) -> impl Iterator<Item = &'row MemberRow> {
    // The highest of the values u^(1/capacity) belongs to each entry with that probability.
    let key_of = |row: &MemberRow, drawn: f32| f64::from(drawn).ln() / capacity_of(row).max(1.0);
    let mut keyed: Vec<(f64, &MemberRow)> = rows
        .into_iter()
        .map(|row| (key_of(row, draw()), row))
        .collect();
    keyed.sort_by(|(a, _), (b, _)| b.total_cmp(a));
    keyed.into_iter().take(count).map(|(_, row)| row)
}
