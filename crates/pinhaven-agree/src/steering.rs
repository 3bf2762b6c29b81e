//! Which entries serve, which of them a caller is told to use, and which speak with the store for all.
//!
//! Few entries know the targets better than many: each sees more of the answers, and there are fewer to
//! tell. So the best two of each failure domain serve, and more only while callers ask for more than
//! those can carry. All entries rank alike, by what an instance can carry and then by a hash, so they
//! come to the same few without a word.
//!
//! Callers of a region are told all that serve there, whatever their failure domain. When many entries
//! are lost at once, those who know only two can be left with none until they ask again.

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

/// Entries of each failure domain that serve whatever the load; when one fails the other is there.
const SERVING_PER_DOMAIN: usize = 2;
/// How many times the demand all that serve must be able to carry. Bursts of 1.6 times are usual, and
/// the demand that is known is the most of the last seconds.
const HEADROOM: f64 = 1.2;
/// Entries that an answer names at least, if there are so many.
const NAMED_MIN: usize = 2;
/// Entries that an answer names at most; callers take no more.
const NAMED_MAX: usize = 64;
/// Entries that speak with the store for the others, at least; each may be cut off from it.
const DELEGATES_MIN: usize = 6;
/// The same in each failure domain.
const DELEGATES_PER_DOMAIN: usize = 2;

/// A member and its place in the order that all entries agree on, the lowest first.
type Ranked<'row> = ((Reverse<RequestRate>, u64), &'row MemberRow);

impl Membership {
    /// The entries that callers are steered to, the two of each failure domain first.
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

    /// The entries that a caller in `region` and `domain` is told to use, those of its domain first.
    ///
    /// An entry is named with a probability in proportion to what it can carry, as callers spread
    /// evenly over those that are named. `draw` gives numbers from 0 to 1.
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

    /// Whether this entry is one of the few that speak with the store for all: they follow the
    /// configuration, and their rows are where entries that know nobody find the others.
    pub fn is_delegate(&self, now: Microseconds) -> bool {
        let ranked = self.ranked(now, MemberState::Starting);
        self.rank_among(&ranked) < delegates_per_domain(&ranked)
    }

    /// Those few, this entry included if it is one.
    pub fn delegates(&self, now: Microseconds) -> Vec<&MemberRow> {
        let ranked = self.ranked(now, MemberState::Starting);
        let per_domain = delegates_per_domain(&ranked);
        first_of_domains(ranked, per_domain).0
    }

    /// How many entries of this one's failure domain come before it.
    pub fn rank_in_domain(&self, now: Microseconds) -> usize {
        self.rank_among(&self.ranked(now, MemberState::Starting))
    }

    /// How many entries come before this one: first those that serve, then the others, best first.
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
        let stand_by = ranked
            .iter()
            .map(|(_, row)| row.incarnation)
            .take_while(|incarnation| *incarnation != own)
            .filter(|incarnation| !serving.contains(incarnation));
        serving.len() + stand_by.count()
    }

    fn rank_among(&self, ranked: &[Ranked<'_>]) -> usize {
        let own = self.own();
        ranked
            .iter()
            .take_while(|(_, row)| row.incarnation != own.incarnation)
            .filter(|(_, row)| row.failure_domain == own.failure_domain)
            .count()
    }

    /// Live members that are not leaving and have come at least as far as `from`, best first.
    fn ranked(&self, now: Microseconds, from: MemberState) -> Vec<Ranked<'_>> {
        let mut ranked: Vec<Ranked<'_>> = self
            .live_ranked(now)
            .filter(|(_, row)| row.state >= from && row.state < MemberState::Stopping)
            .map(|(rank, row)| ((Reverse(row.capacity), rank), row))
            .collect();
        ranked.sort_by_key(|(place, _)| *place);
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

/// The first `count` of each failure domain, and the rest.
fn first_of_domains(ranked: Vec<Ranked<'_>>, count: usize) -> (Vec<&MemberRow>, Vec<&MemberRow>) {
    let mut taken: BTreeMap<&FailureDomain, usize> = BTreeMap::new();
    ranked.into_iter().map(|(_, row)| row).partition(|row| {
        let before = taken.entry(&row.failure_domain).or_default();
        *before += 1;
        *before <= count
    })
}

/// Those of one region that serve: the first of each failure domain, and then as many as it takes.
fn select_serving(ranked: Vec<Ranked<'_>>, demand: RequestRate) -> Vec<&MemberRow> {
    let (mut serving, spare) = first_of_domains(ranked, SERVING_PER_DOMAIN);
    let wanted = f64::from(demand.per_second()) * HEADROOM;
    let capacity = |row: &&MemberRow| f64::from(row.capacity.per_second());
    let mut carried: f64 = serving.iter().map(capacity).sum();
    for row in spare {
        if carried >= wanted {
            break;
        }
        carried += capacity(&row);
        serving.push(row);
    }
    serving
}
