//! Exchange of the numbers of admitted requests by organisation, and what limits need to know of the members.

use crate::entry::Entry;
use crate::versions::organisations::OrganisationIndex;
use crate::versions::snapshot::Snapshot;
use crate::watch::counters::Count;
use pinhaven_agree::MemberState;
use pinhaven_limits::AdvertisedCounts;
use pinhaven_limits::Limit;
use pinhaven_limits::OrganisationCount;
use pinhaven_limits::OrganisationKey;
use pinhaven_peer::Beat;
use pinhaven_peer::OrganisationColumns;
use pinhaven_record::Line;
use pinhaven_runtime::sleep_ms;
use pinhaven_types::Incarnation;
use pinhaven_types::Microseconds;
use pinhaven_types::OrganisationName;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::Ordering;

/// Interval at which the limits detect silent peers.
const TICK_MS: u64 = 200;
/// Number of ticks between two updates of the members. Changes of an organisation are logged at most once in this time.
const MEMBERS_TICKS: u32 = 5;
/// Time after an entry last served for which it still shares the limits.
const SHARES_FOR: Microseconds = Microseconds::from_ms(10_000);

impl Entry {
    /// Sets the limits of a version that comes into force.
    pub(crate) fn set_limits(&self, next: &Snapshot) {
        let Some(organisations) = &next.organisations else {
            if !self.limits.is_empty() {
                self.limits.set_limits(&[], self.now());
            }
            return;
        };
        let is_changed = match &self.snapshot.load().organisations {
            Some(before) => !Arc::ptr_eq(before, organisations),
            None => true,
        };
        if !is_changed {
            return;
        }
        let limits = organisations.all().map(|organisation| {
            let limit = organisation.limit.map(|limit| Limit {
                requests_per_s: limit.requests_per_s,
                burst: limit.burst,
            });
            (OrganisationKey::new(&organisation.name), limit)
        });
        let limits: Vec<_> = limits.collect();
        self.limits.set_limits(&limits, self.now());
    }

    /// Counts of admitted requests to send to a group of peers now.
    pub(crate) fn counts_to_advertise(
        &self,
        advertised: &mut AdvertisedCounts,
        is_full: bool,
        now: Microseconds,
    ) -> Option<OrganisationColumns> {
        let counts = self.limits.counts_to_advertise(advertised, is_full, now)?;
        let served_at = Microseconds::new(self.served_at_us.load(Ordering::Relaxed));
        if counts.is_empty() && now.saturating_sub(served_at) >= SHARES_FOR {
            return None;
        }
        let rows = counts.into_iter().map(|count| (count.key.0, count.count));
        Some(OrganisationColumns::new(rows))
    }

    /// Records the counts of a peer.
    pub(crate) fn record_organisation_counts(
        &self,
        peer: Incarnation,
        beat: &Beat,
        columns: &OrganisationColumns,
    ) {
        let rows = columns.rows().map(|(key, count)| OrganisationCount {
            key: OrganisationKey(key),
            count,
        });
        let counts: Vec<OrganisationCount> = rows.collect();
        let demand = f64::from(beat.demand);
        self.limits
            .record_peer(peer, beat.heartbeat, &counts, demand, self.now());
    }

    /// Passes the members to the limits, and logs which organisations reach their limit. Runs until the process exits.
    pub(crate) async fn follow_limits(self: Arc<Self>) {
        for tick in (0..MEMBERS_TICKS).cycle() {
            sleep_ms(TICK_MS).await;
            if self.limits.is_empty() {
                continue;
            }
            self.limits.tick(self.now());
            if tick == 0 {
                self.update_limit_members();
                self.log_limit_changes();
            }
        }
    }

    fn update_limit_members(&self) {
        let now = self.now();
        let members = self.members.lock();
        let own = members.own();
        let serving = members.serving(now);
        let serving = serving.iter().map(|row| row.incarnation);
        let others = serving.filter(|incarnation| *incarnation != own.incarnation);
        let (others, own_demand) = (others.collect(), own.demand.per_second());
        let instances: BTreeSet<_> = members
            .live_peers(now)
            .into_iter()
            .map(|row| (&row.instance_id, row.incarnation))
            .collect();
        let has_ended = |incarnation| {
            let Some(row) = members.row(incarnation) else {
                return false;
            };
            let is_replaced = |(instance, live): &(_, Incarnation)| {
                *instance == &row.instance_id && *live != incarnation
            };
            row.state >= MemberState::Stopping || instances.iter().any(is_replaced)
        };
        self.limits
            .record_members(others, f64::from(own_demand), now);
        self.limits.end_peers(has_ended);
    }

    fn log_limit_changes(&self) {
        let changes = self.limits.changes(self.now());
        if changes.is_empty() {
            return;
        }
        let snapshot = self.snapshot.load();
        let Some(organisations) = &snapshot.organisations else {
            return;
        };
        let names = names_by_key(organisations);
        for (key, is_at_limit) in changes {
            let Some(name) = names.get(&key) else {
                continue;
            };
            if is_at_limit {
                self.counters.add(Count::LimitReached);
                log::warn!(target: "limits", "Organisation {name} has reached its limit.");
            } else {
                log::info!(target: "limits", "Organisation {name} is below its limit again.");
            }
            let event = if is_at_limit { "reached" } else { "below" };
            self.record_line(|| Line::new("limit", event, 0).with("organisation", name.as_str()));
        }
    }
}

fn names_by_key(organisations: &OrganisationIndex) -> BTreeMap<OrganisationKey, &OrganisationName> {
    organisations
        .all()
        .map(|organisation| (OrganisationKey::new(&organisation.name), &organisation.name))
        .collect()
}
