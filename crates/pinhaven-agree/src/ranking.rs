//! Order of all known entries by capacity, and the places that they are in.
//!
//! Each entry selects the serving entries, the store delegates and the recipients of its datagrams many times a second.
//! Few entries are selected, and they rank first, so a selection examines entries in this order and ends early. The
//! order only changes when an entry becomes known, is removed or describes itself differently.

use crate::member::MemberRow;
use pinhaven_types::FailureDomain;
use pinhaven_types::Incarnation;
use pinhaven_types::Region;
use pinhaven_types::RequestRate;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

/// Position in the order on which all entries agree: highest capacity first, then the lowest tie-break rank.
type Position = (Reverse<RequestRate>, u64, Incarnation);

/// Order and places of the known entries.
#[derive(Debug, Default)]
pub(crate) struct Ranking {
    positions: BTreeSet<Position>,
    /// Number of known entries by region and failure domain.
    places: BTreeMap<Option<Region>, BTreeMap<FailureDomain, usize>>,
}

impl Ranking {
    /// Adds an entry with its tie-break rank.
    pub(crate) fn insert(&mut self, row: &MemberRow, rank: u64) {
        if !self.positions.insert(position_of(row, rank)) {
            return;
        }
        let domains = self.places.entry(row.region.clone()).or_default();
        *domains.entry(row.failure_domain.clone()).or_default() += 1;
    }

    /// Removes an entry that was added with this row.
    pub(crate) fn remove(&mut self, row: &MemberRow, rank: u64) {
        if !self.positions.remove(&position_of(row, rank)) {
            return;
        }
        let Some(domains) = self.places.get_mut(&row.region) else {
            return;
        };
        if let Some(count) = domains.get_mut(&row.failure_domain) {
            *count -= 1;
            if *count == 0 {
                domains.remove(&row.failure_domain);
            }
        }
        if domains.is_empty() {
            self.places.remove(&row.region);
        }
    }

    /// All entries in order.
    pub(crate) fn incarnations(&self) -> impl Iterator<Item = Incarnation> {
        self.positions
            .iter()
            .map(|(_, _, incarnation)| *incarnation)
    }

    /// Regions of the known entries, with the number of failure domains of each.
    pub(crate) fn regions(&self) -> impl Iterator<Item = (Option<&Region>, usize)> {
        let regions = self.places.iter();
        regions.map(|(region, domains)| (region.as_ref(), domains.len()))
    }

    /// Number of failure domains of the known entries.
    pub(crate) fn domain_count(&self) -> usize {
        let domains: BTreeSet<&FailureDomain> =
            self.places.values().flat_map(BTreeMap::keys).collect();
        domains.len()
    }
}

/// Whether two descriptions of an entry have the same position and place.
pub(crate) fn is_ranked_alike(one: &MemberRow, other: &MemberRow) -> bool {
    one.capacity == other.capacity
        && one.region == other.region
        && one.failure_domain == other.failure_domain
        && one.instance_id == other.instance_id
}

fn position_of(row: &MemberRow, rank: u64) -> Position {
    (Reverse(row.capacity), rank, row.incarnation)
}
