//! The limits of all organisations at one entry, usable from several threads.

use crate::AdvertisedCounts;
use crate::Limit;
use crate::OrganisationCount;
use crate::OrganisationKey;
use crate::OverLimit;
use crate::organisation::Organisation;
use crate::peers::Peers;
use parking_lot::Mutex;
use parking_lot::RwLock;
use parking_lot::RwLockReadGuard;
use pinhaven_types::Incarnation;
use pinhaven_types::Microseconds;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;

/// Time without a refusal after which an organisation counts as below its limit again.
const BELOW_LIMIT_AFTER: Microseconds = Microseconds::from_ms(5_000);

/// Use of an organisation's limit, as one entry knows it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct OrganisationUse {
    /// The organisation.
    pub key: OrganisationKey,
    /// Its limit, if it has one.
    pub limit: Option<Limit>,
    /// Recent rate of the requests admitted at all entries, in requests per second.
    pub rate_per_s: f64,
    /// Requests refused by this entry since its start because the organisation was at its limit.
    pub refused: u64,
    /// Whether the organisation was at its limit at this entry recently.
    pub is_at_limit: bool,
}

/// Rate limits of organisations, as one entry applies them.
#[derive(Debug, Default)]
pub struct OrganisationLimits {
    organisations: RwLock<HashMap<OrganisationKey, Arc<Mutex<Organisation>>>>,
    peers: RwLock<Peers>,
}

impl OrganisationLimits {
    /// Creates limits without organisations.
    pub fn new() -> Self {
        Self::default()
    }

    /// Whether no organisation is known, so that nothing needs to be exchanged.
    pub fn is_empty(&self) -> bool {
        self.organisations.read().is_empty()
    }

    /// Sets the organisations and their limits. A limit with a rate of 0 is no limit.
    pub fn set_limits(&self, limits: &[(OrganisationKey, Option<Limit>)], now: Microseconds) {
        self.peers.write().update(now);
        let mut organisations = self.organisations.write();
        // Callers may have used the bursts just before all entries restarted, so the first buckets are not full.
        let is_start = organisations.is_empty();
        let mut next = HashMap::with_capacity(limits.len());
        for (key, limit) in limits {
            let limit = limit.filter(|limit| limit.requests_per_s > 0.0);
            let organisation = match organisations.remove(key) {
                Some(known) => {
                    known.lock().set_limit(limit);
                    known
                }
                None => {
                    let organisation = Organisation::new(limit, now);
                    Arc::new(Mutex::new(match is_start {
                        true => organisation,
                        false => organisation.with_full_bucket(),
                    }))
                }
            };
            next.insert(*key, organisation);
        }
        *organisations = next;
    }

    /// Decides on a request of a caller. `is_later_try` says that an earlier try was refused, and that an answer to this
    /// one can still be in time. Organisations that are not known have no limit.
    ///
    /// # Errors
    ///
    /// [`OverLimit`] if the organisation is at its limit.
    pub fn admit(
        &self,
        key: OrganisationKey,
        is_later_try: bool,
        now: Microseconds,
    ) -> Result<(), OverLimit> {
        match self.organisation(key) {
            Some(organisation) => {
                let peers = self.peers(now);
                organisation.lock().admit(&peers, is_later_try, now)
            }
            None => Ok(()),
        }
    }

    /// Whether a hedge may be sent: whether there is a token that no caller's request needs.
    pub fn has_spare_token(&self, key: OrganisationKey, now: Microseconds) -> bool {
        match self.organisation(key) {
            Some(organisation) => {
                let peers = self.peers(now);
                organisation.lock().has_spare_token(&peers, now)
            }
            None => true,
        }
    }

    /// Counts an added attempt or a request that another entry admitted.
    pub fn charge(&self, key: OrganisationKey, now: Microseconds) {
        if let Some(organisation) = self.organisation(key) {
            let peers = self.peers(now);
            organisation.lock().charge(&peers, now);
        }
    }

    /// Takes back the count of a request that no target received.
    pub fn refund(&self, key: OrganisationKey, now: Microseconds) {
        if let Some(organisation) = self.organisation(key) {
            organisation.lock().refund(now);
        }
    }

    /// Counts to send to a group of peers now; `None` if nothing is due.
    ///
    /// Full datagrams contain the counts also if there are none, which shows that the sender serves and is heard.
    pub fn counts_to_advertise(
        &self,
        advertised: &mut AdvertisedCounts,
        is_full: bool,
        now: Microseconds,
    ) -> Option<Vec<OrganisationCount>> {
        self.tick(now);
        if !advertised.is_due(is_full, now) || self.is_empty() {
            return None;
        }
        let organisations = self.organisations.read();
        let counts = organisations.iter().map(|(key, organisation)| {
            let organisation = organisation.lock();
            let count = OrganisationCount {
                key: *key,
                count: organisation.count(),
            };
            (count, organisation.changed_at())
        });
        let selected = advertised.select(counts, is_full, now);
        (is_full || !selected.is_empty()).then_some(selected)
    }

    /// Records the counts of a peer from its datagram with number `sequence`. `demand` is the rate of requests that the
    /// peer sends to targets.
    pub fn record_peer(
        &self,
        incarnation: Incarnation,
        sequence: u64,
        counts: &[OrganisationCount],
        demand: f64,
        now: Microseconds,
    ) {
        let is_current = {
            let mut peers = self.peers.write();
            peers.update(now);
            peers.record(incarnation, sequence, demand, now)
        };
        if !is_current {
            return;
        }
        let peers = self.peers.read();
        for OrganisationCount { key, count } in counts {
            if let Some(organisation) = self.organisation(*key) {
                let mut organisation = organisation.lock();
                organisation.record_peer(incarnation, *count, &peers, now);
            }
        }
    }

    /// Records which other entries serve callers, and the demand on this entry.
    pub fn record_members(
        &self,
        serving: BTreeSet<Incarnation>,
        own_demand: f64,
        now: Microseconds,
    ) {
        let mut peers = self.peers.write();
        peers.update(now);
        peers.record_members(serving, own_demand);
    }

    /// Detects silent peers and freezes of this entry. Must be called every few hundred milliseconds: a longer pause
    /// between two calls of any function counts as a freeze.
    pub fn tick(&self, now: Microseconds) {
        drop(self.peers(now));
    }

    /// Ends the reservations for silent peers that stopped or that a later run replaced.
    pub fn end_peers(&self, has_ended: impl Fn(Incarnation) -> bool) {
        self.peers.write().remove_ended(has_ended);
    }

    /// Use of all organisations, the largest first.
    pub fn usage(&self, now: Microseconds) -> Vec<OrganisationUse> {
        let peers = self.peers(now);
        let organisations = self.organisations.read();
        let usage = organisations.iter().map(|(key, organisation)| {
            let mut organisation = organisation.lock();
            organisation.advance(&peers, now);
            OrganisationUse {
                key: *key,
                limit: organisation.limit(),
                rate_per_s: organisation.rate_per_s(),
                refused: organisation.refused,
                is_at_limit: is_at_limit(&organisation, now),
            }
        });
        let mut usage: Vec<OrganisationUse> = usage.collect();
        usage.sort_by(|a, b| {
            b.rate_per_s
                .total_cmp(&a.rate_per_s)
                .then(a.key.cmp(&b.key))
        });
        usage
    }

    /// Organisations that reached their limit here since the last call (`true`), or are below it again (`false`).
    pub fn changes(&self, now: Microseconds) -> Vec<(OrganisationKey, bool)> {
        let organisations = self.organisations.read();
        let changes = organisations.iter().filter_map(|(key, organisation)| {
            let mut organisation = organisation.lock();
            let is_at_limit = is_at_limit(&organisation, now);
            if is_at_limit == organisation.is_reported_at_limit {
                return None;
            }
            organisation.is_reported_at_limit = is_at_limit;
            Some((*key, is_at_limit))
        });
        changes.collect()
    }

    fn organisation(&self, key: OrganisationKey) -> Option<Arc<Mutex<Organisation>>> {
        self.organisations.read().get(&key).cloned()
    }

    fn peers(&self, now: Microseconds) -> RwLockReadGuard<'_, Peers> {
        let peers = self.peers.read();
        if !peers.needs_update(now) {
            return peers;
        }
        drop(peers);
        self.peers.write().update(now);
        self.peers.read()
    }
}

fn is_at_limit(organisation: &Organisation, now: Microseconds) -> bool {
    organisation.refused > 0 && now.saturating_sub(organisation.refused_at) < BELOW_LIMIT_AFTER
}
