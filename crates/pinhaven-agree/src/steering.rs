//! Selection of the entries that serve callers, the entries named to a caller, and the store delegates.
//!
//! A few entries estimate the state of the targets better than many: each observes a larger share of the
//! answers, and fewer entries need each other's updates. So two entries of each failure domain serve
//! callers, and further entries join only while the demand exceeds the capacity of the serving entries.
//! All entries use the same ranking, by capacity and then by a hash of the instance id, and so select the
//! same entries without exchanging messages about the selection.
//!
//! Callers learn the serving entries of their whole region, not only those of one failure domain. A caller
//! that knows only two entries can be left without a usable one until its next address request when many
//! entries fail at once.

use crate::membership::MemberRow;
use crate::membership::MemberState;
use crate::membership::Membership;
use pinhaven_types::FailureDomain;
use pinhaven_types::Incarnation;
use pinhaven_types::Microseconds;
use pinhaven_types::Region;
use pinhaven_types::RequestRate;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

/// Number of entries in each failure domain that serve at any load, so that one can fail.
const SERVING_PER_DOMAIN: usize = 2;
/// Ratio of the capacity of the serving entries to the demand. Bursts of 1.6 times the usual rate
/// are common, but the known demand is already the peak of the last seconds.
const HEADROOM: f64 = 1.2;
/// Minimum number of entries named in an answer, if that many serve.
const NAMED_MIN: usize = 2;
/// Maximum number of entries named in an answer; callers ignore any beyond it.
const NAMED_MAX: usize = 64;
/// Minimum number of store delegates in all failure domains, as each may lose its connection to the store.
const DELEGATES_MIN: usize = 6;
/// Minimum number of store delegates in each failure domain.
const DELEGATES_PER_DOMAIN: usize = 2;

/// A member's row with its sort key in the order on which all entries agree, lowest first.
type Ranked<'row> = ((Reverse<RequestRate>, u64), &'row MemberRow);

impl Membership {
    /// Entries that serve callers, region by region: first those that serve at any load, then those added for demand.
    pub fn serving(&self, now: Microseconds) -> Vec<&MemberRow> {
        let mut by_region: BTreeMap<Option<&Region>, Vec<Ranked<'_>>> = BTreeMap::new();
        for ranked in self.ranked(now, MemberState::Ready) {
            let region = ranked.1.region.as_ref();
            by_region.entry(region).or_default().push(ranked);
        }
        let serving_in = |(region, ranked)| {
            let demand = self.demand_in(region, now);
            select_serving(ranked, demand)
        };
        by_region.into_iter().flat_map(serving_in).collect()
    }

    /// Entries to name to a caller in `region` and `domain`, those of `domain` first.
    ///
    /// An entry is named with a probability in proportion to its capacity, because callers spread evenly
    /// over the named entries. `draw` returns random numbers from 0 to 1.
    pub fn named_for(
        &self,
        region: Option<&Region>,
        domain: Option<&FailureDomain>,
        mut draw: impl FnMut() -> f32,
        now: Microseconds,
    ) -> Vec<&MemberRow> {
        let mut serving = self.serving(now);
        let is_near = |row: &&MemberRow| region.is_none() || row.region.as_ref() == region;
        if serving.iter().filter(|row| is_near(row)).count() >= NAMED_MIN {
            serving.retain(is_near);
        }
        let largest = serving.iter().map(|row| row.capacity).max();
        let largest = largest.unwrap_or_default().per_second() as f32;
        let (mut named, spare): (Vec<&MemberRow>, Vec<&MemberRow>) = serving
            .into_iter()
            .partition(|row| draw() * largest <= row.capacity.per_second() as f32);
        let missing = NAMED_MIN.saturating_sub(named.len());
        named.extend(spare.into_iter().take(missing));
        named.truncate(NAMED_MAX);
        named.sort_by_key(|row| Some(&row.failure_domain) != domain);
        named
    }

    /// Whether this entry is a store delegate, one of the few entries that use the store on behalf of all entries.
    ///
    /// Delegates read changes of the configuration from the store. Entries that know no peers find the delegates by
    /// their rows in the store.
    pub fn is_delegate(&self, now: Microseconds) -> bool {
        let ranked = self.ranked(now, MemberState::Starting);
        self.rank_among(&ranked) < delegates_per_domain(&ranked)
    }

    /// All store delegates, including this entry if it is one.
    pub fn delegates(&self, now: Microseconds) -> Vec<&MemberRow> {
        let ranked = self.ranked(now, MemberState::Starting);
        let per_domain = delegates_per_domain(&ranked);
        first_of_domains(ranked, per_domain).0
    }

    /// Number of entries that rank before this entry in its failure domain.
    pub fn rank_in_domain(&self, now: Microseconds) -> usize {
        self.rank_among(&self.ranked(now, MemberState::Starting))
    }

    /// Number of entries that rank before this entry. Serving entries rank first, then all others in order.
    pub fn rank_among_all(&self, now: Microseconds) -> usize {
        let own = self.own().incarnation;
        let serving: Vec<Incarnation> = self
            .serving(now)
            .into_iter()
            .map(|row| row.incarnation)
            .collect();
        if let Some(position) = serving.iter().position(|serves| *serves == own) {
            return position;
        }
        let ranked = self.ranked(now, MemberState::Starting);
        let standby = ranked
            .iter()
            .map(|(_, row)| row.incarnation)
            .take_while(|incarnation| *incarnation != own)
            .filter(|incarnation| !serving.contains(incarnation));
        serving.len() + standby.count()
    }

    fn rank_among(&self, ranked: &[Ranked<'_>]) -> usize {
        let own = self.own();
        ranked
            .iter()
            .take_while(|(_, row)| row.incarnation != own.incarnation)
            .filter(|(_, row)| row.failure_domain == own.failure_domain)
            .count()
    }

    /// Live entries from state `from` up to but not including `Stopping`, highest capacity first.
    fn ranked(&self, now: Microseconds, from: MemberState) -> Vec<Ranked<'_>> {
        let mut ranked: Vec<Ranked<'_>> = self
            .live_ranked(now)
            .filter(|(_, row)| row.state >= from && row.state < MemberState::Stopping)
            .map(|(rank, row)| ((Reverse(row.capacity), rank), row))
            .collect();
        ranked.sort_by_key(|(key, _)| *key);
        ranked
    }

    fn demand_in(&self, region: Option<&Region>, now: Microseconds) -> RequestRate {
        self.live_ranked(now)
            .filter(|(_, row)| row.region.as_ref() == region)
            .map(|(_, row)| row.demand)
            .sum()
    }
}

fn delegates_per_domain(ranked: &[Ranked<'_>]) -> usize {
    let domains: BTreeSet<&FailureDomain> =
        ranked.iter().map(|(_, row)| &row.failure_domain).collect();
    DELEGATES_MIN
        .div_ceil(domains.len().max(1))
        .max(DELEGATES_PER_DOMAIN)
}

/// Splits entries into the first `count` of each failure domain and the remaining ones.
fn first_of_domains(ranked: Vec<Ranked<'_>>, count: usize) -> (Vec<&MemberRow>, Vec<&MemberRow>) {
    let mut counts: BTreeMap<&FailureDomain, usize> = BTreeMap::new();
    ranked.into_iter().map(|(_, row)| row).partition(|row| {
        let in_domain = counts.entry(&row.failure_domain).or_default();
        *in_domain += 1;
        *in_domain <= count
    })
}

/// Selects the serving entries of one region: the first of each failure domain, then as many as `demand` needs.
fn select_serving(ranked: Vec<Ranked<'_>>, demand: RequestRate) -> Vec<&MemberRow> {
    let (mut serving, spare) = first_of_domains(ranked, SERVING_PER_DOMAIN);
    let required_capacity = f64::from(demand.per_second()) * HEADROOM;
    let capacity = |row: &&MemberRow| f64::from(row.capacity.per_second());
    let mut total_capacity: f64 = serving.iter().map(capacity).sum();
    for row in spare {
        if total_capacity >= required_capacity {
            break;
        }
        total_capacity += capacity(&row);
        serving.push(row);
    }
    serving
}
