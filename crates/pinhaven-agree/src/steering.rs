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

use crate::member::MemberRow;
use crate::member::MemberState;
use crate::membership::Membership;
use pinhaven_types::FailureDomain;
use pinhaven_types::Incarnation;
use pinhaven_types::Microseconds;
use pinhaven_types::Region;
use pinhaven_types::RequestRate;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

/// Number of entries in each failure domain that serve at any load, so that one can fail.
const SERVING_PER_DOMAIN: usize = 2;
/// Ratio of the capacity of the serving entries to the demand. Bursts of 1.6 times the usual rate
/// are common, but the known demand is already the peak of the last seconds.
pub(crate) const HEADROOM: f64 = 1.2;
/// Minimum number of entries named in an answer, if that many serve.
pub(crate) const NAMED_MIN: usize = 2;
/// Maximum number of entries named in an answer; callers ignore any beyond it.
const NAMED_MAX: usize = 64;
/// Minimum number of store delegates in all failure domains, as each may lose its connection to the store.
const DELEGATES_MIN: usize = 6;
/// Minimum number of store delegates in each failure domain.
const DELEGATES_PER_DOMAIN: usize = 2;

/// Share of the added attempts that the serving entries divide among themselves.
const SERVING_ADDED_ATTEMPTS: f64 = 0.8;

impl Membership {
    /// Entries that serve callers, region by region: first those that serve at any load, then those added for demand.
    pub fn serving(&self, now: Microseconds) -> Vec<&MemberRow> {
        let selection_of = |(region, domains)| {
            let demand = self.demand_in(region, now);
            let required = self.required_by_domain(region, now);
            (region, ServingSelection::new(domains, demand, required))
        };
        let mut by_region: BTreeMap<Option<&Region>, ServingSelection<'_>> =
            self.ranking().regions().map(selection_of).collect();
        let ready = self.ranked(now, MemberState::Ready);
        for row in ready.filter(|row| self.may_be_named(row, now)) {
            if let Some(selection) = by_region.get_mut(&row.region.as_ref()) {
                selection.add(row);
            }
            if by_region.values().all(ServingSelection::is_complete) {
                break;
            }
        }
        by_region
            .into_values()
            .flat_map(ServingSelection::into_rows)
            .collect()
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
        let near_first = domain
            .filter(|_| self.names_near_first)
            .and_then(|domain| self.name_near_first(&serving, domain, &mut draw, now));
        let mut named = near_first.unwrap_or_else(|| name_by_capacity(serving, &mut draw));
        named.truncate(NAMED_MAX);
        named.sort_by_key(|row| Some(&row.failure_domain) != domain);
        named
    }

    /// This entry's share of the added attempts that all entries together may send beyond those that their requests
    /// allow. The serving entries divide most of them; the other entries divide the rest, for callers that still use
    /// them.
    pub fn added_attempts_share(&self, now: Microseconds) -> f64 {
        let own = self.own();
        let serving = self.serving(now);
        if serving.contains(&own) {
            // Callers distribute their requests over the serving entries in proportion to capacity.
            let all: RequestRate = serving.iter().map(|row| row.capacity).sum();
            let part = f64::from(own.capacity.per_second()) / f64::from(all.per_second().max(1));
            SERVING_ADDED_ATTEMPTS * part
        } else {
            // Members that are heard seldom count as well: they send their shares however seldom they are heard.
            let others = (self.contactable_peers().len() + 1).saturating_sub(serving.len());
            (1.0 - SERVING_ADDED_ATTEMPTS) / others.max(1) as f64
        }
    }

    /// Whether this entry is a store delegate, one of the few entries that use the store on behalf of all entries.
    ///
    /// Delegates read changes of the configuration from the store. Entries that know no peers find the delegates by
    /// their rows in the store. Entries that the store does not answer are replaced by the next in rank. They go on
    /// calling the store if they would be delegates by rank alone, which shows when it answers them again.
    pub fn is_delegate(&self, now: Microseconds) -> bool {
        let count = self.delegates_per_domain(now);
        let own = self.own();
        let preceding = self.preceding_in_domain(now);
        let replacing = preceding.filter(|row| own.lacks_store || !row.lacks_store);
        replacing.take(count).count() < count
    }

    /// Whether this entry is a store delegate in place of one that the store does not answer.
    pub fn replaces_delegate(&self, now: Microseconds) -> bool {
        let count = self.delegates_per_domain(now);
        !self.own().lacks_store && self.is_delegate(now) && !self.is_within_domain_rank(count, now)
    }

    /// All store delegates, including this entry if it is one: of each failure domain the first that the store answers,
    /// and others only if those are too few.
    pub fn delegates(&self, now: Microseconds) -> Vec<&MemberRow> {
        let mut per_domain = DomainPrefix::new(self.delegates_per_domain(now));
        let mut open_domains = self.ranking().domain_count();
        let mut delegates = Vec::new();
        for lacks_store in [false, true] {
            let ranked = self.ranked(now, MemberState::Starting);
            for row in ranked.filter(|row| row.lacks_store == lacks_store) {
                if per_domain.add(row) {
                    delegates.push(row);
                    open_domains -= usize::from(per_domain.is_full(row));
                }
                if open_domains == 0 {
                    return delegates;
                }
            }
        }
        delegates
    }

    /// Whether fewer than `count` entries rank before this entry in its failure domain.
    pub fn is_within_domain_rank(&self, count: usize, now: Microseconds) -> bool {
        self.preceding_in_domain(now).take(count).count() < count
    }

    /// Entries of this entry's failure domain that rank before it.
    fn preceding_in_domain(&self, now: Microseconds) -> impl Iterator<Item = &MemberRow> {
        let own = self.own();
        self.ranked(now, MemberState::Starting)
            .take_while(|row| row.incarnation != own.incarnation)
            .filter(|row| row.failure_domain == own.failure_domain)
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
        let standby = self
            .ranked(now, MemberState::Starting)
            .map(|row| row.incarnation)
            .take_while(|incarnation| *incarnation != own)
            .filter(|incarnation| !serving.contains(incarnation));
        serving.len() + standby.count()
    }

    /// Whether this entry is one of the first `count` serving entries, or of the first `standby_count` that stand by.
    pub fn is_first_reader(&self, count: usize, standby_count: usize, now: Microseconds) -> bool {
        let own = self.own().incarnation;
        let serving = self.serving(now);
        let mut first = serving.iter().take(count);
        first.any(|row| row.incarnation == own) || self.standby_rank(standby_count, now).is_some()
    }

    /// This entry's rank among the ready entries that stand by, if it is one of the first `count`. Entries that the store
    /// does not answer are passed over.
    pub fn standby_rank(&self, count: usize, now: Microseconds) -> Option<usize> {
        let own = self.own().incarnation;
        let serving: BTreeSet<Incarnation> = self
            .serving(now)
            .into_iter()
            .map(|row| row.incarnation)
            .collect();
        self.ranked(now, MemberState::Ready)
            .filter(|row| !row.lacks_store && !serving.contains(&row.incarnation))
            .take(count)
            .position(|row| row.incarnation == own)
    }

    /// Live entries from state `from` up to but not including `Stopping`, highest capacity first.
    fn ranked(&self, now: Microseconds, from: MemberState) -> impl Iterator<Item = &MemberRow> {
        self.live_ranked(now)
            .filter(move |row| row.state >= from && row.state < MemberState::Stopping)
    }

    fn demand_in(&self, region: Option<&Region>, now: Microseconds) -> RequestRate {
        self.live_demanding(now)
            .filter(|row| row.region.as_ref() == region)
            .map(|row| row.demand)
            .sum()
    }

    /// Number of store delegates in each failure domain, by the number of domains with live entries.
    fn delegates_per_domain(&self, now: Microseconds) -> usize {
        let known = self.ranking().domain_count();
        let mut domains: BTreeSet<&FailureDomain> = BTreeSet::new();
        for row in self.ranked(now, MemberState::Starting) {
            domains.insert(&row.failure_domain);
            if domains.len() == known {
                break;
            }
        }
        DELEGATES_MIN
            .div_ceil(domains.len().max(1))
            .max(DELEGATES_PER_DOMAIN)
    }
}

/// Entries to name out of `rows`, each with a probability in proportion to its capacity.
pub(crate) fn name_by_capacity<'row>(
    rows: Vec<&'row MemberRow>,
    draw: &mut impl FnMut() -> f32,
) -> Vec<&'row MemberRow> {
    let largest = rows.iter().map(|row| row.capacity).max();
    let largest = largest.unwrap_or_default().per_second() as f32;
    let (mut named, spare): (Vec<&MemberRow>, Vec<&MemberRow>) = rows
        .into_iter()
        .partition(|row| draw() * largest <= row.capacity.per_second() as f32);
    let missing = NAMED_MIN.saturating_sub(named.len());
    named.extend(spare.into_iter().take(missing));
    named
}

/// Counts the entries of each failure domain up to a limit.
#[derive(Debug)]
struct DomainPrefix<'row> {
    limit: usize,
    counts: BTreeMap<&'row FailureDomain, usize>,
}

impl<'row> DomainPrefix<'row> {
    fn new(limit: usize) -> Self {
        Self {
            limit,
            counts: BTreeMap::new(),
        }
    }

    /// Counts the entry. Returns whether it is within the limit of its failure domain.
    fn add(&mut self, row: &'row MemberRow) -> bool {
        let count = self.counts.entry(&row.failure_domain).or_default();
        *count += 1;
        *count <= self.limit
    }

    /// Whether the entry's failure domain has reached the limit.
    fn is_full(&self, row: &MemberRow) -> bool {
        let count = self.counts.get(&row.failure_domain);
        count.is_some_and(|count| *count >= self.limit)
    }
}

/// Selection of the serving entries of one region from its entries in order: the first of each failure domain, then as
/// many as the demand requires.
#[derive(Debug)]
struct ServingSelection<'row> {
    /// Known failure domains of the region without enough serving entries so far.
    open_domains: usize,
    required_capacity: f64,
    /// Capacity that single failure domains need.
    required_by_domain: BTreeMap<&'row FailureDomain, f64>,
    /// Capacity that is still missing of it among the entries added so far.
    missing_by_domain: BTreeMap<&'row FailureDomain, f64>,
    per_domain: DomainPrefix<'row>,
    serving: Vec<&'row MemberRow>,
    spare: Vec<&'row MemberRow>,
    /// Capacity of all entries in `serving` and `spare`.
    capacity: f64,
}

impl<'row> ServingSelection<'row> {
    fn new(
        domains: usize,
        demand: RequestRate,
        required_by_domain: BTreeMap<&'row FailureDomain, f64>,
    ) -> Self {
        Self {
            missing_by_domain: required_by_domain.clone(),
            required_by_domain,
            open_domains: domains,
            required_capacity: f64::from(demand.per_second()) * HEADROOM,
            per_domain: DomainPrefix::new(SERVING_PER_DOMAIN),
            serving: Vec::new(),
            spare: Vec::new(),
            capacity: 0.0,
        }
    }

    fn add(&mut self, row: &'row MemberRow) {
        self.capacity += capacity_of(row);
        if let Some(missing) = self.missing_by_domain.get_mut(&row.failure_domain) {
            *missing -= capacity_of(row);
        }
        if self.per_domain.add(row) {
            self.serving.push(row);
            self.open_domains -= usize::from(self.per_domain.is_full(row));
        } else {
            self.spare.push(row);
        }
    }

    /// Whether no further entry can change the selection.
    fn is_complete(&self) -> bool {
        self.open_domains == 0
            && self.capacity >= self.required_capacity
            && self
                .missing_by_domain
                .values()
                .all(|missing| *missing <= 0.0)
    }

    fn into_rows(self) -> Vec<&'row MemberRow> {
        let mut serving = self.serving;
        let mut missing = self.required_by_domain;
        for row in &serving {
            if let Some(missing) = missing.get_mut(&row.failure_domain) {
                *missing -= capacity_of(row);
            }
        }
        let (needed, spare): (Vec<&MemberRow>, Vec<&MemberRow>) = self
            .spare
            .into_iter()
            .partition(|row| takes_part(&mut missing, row));
        serving.extend(needed);
        let mut capacity: f64 = serving.iter().map(|row| capacity_of(row)).sum();
        for row in spare {
            if capacity >= self.required_capacity {
                break;
            }
            capacity += capacity_of(row);
            serving.push(row);
        }
        serving
    }
}

/// Whether the failure domain of an entry misses capacity. Subtracts that of the entry if so.
fn takes_part(missing: &mut BTreeMap<&FailureDomain, f64>, row: &MemberRow) -> bool {
    let missing = missing.get_mut(&row.failure_domain);
    let Some(missing) = missing.filter(|missing| **missing > 0.0) else {
        return false;
    };
    *missing -= capacity_of(row);
    true
}

pub(crate) fn capacity_of(row: &MemberRow) -> f64 {
    f64::from(row.capacity.per_second())
}
