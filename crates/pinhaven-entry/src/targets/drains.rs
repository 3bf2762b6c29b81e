//! Failure domains that operators have drained, by an order in the store or by the bundle in force.
//!
//! The set from the store is told to peers in each full datagram, and at once when it changes. While a domain is drained,
//! no permit to send to its targets is given; requests in flight there end as usual.

use crate::entry::Entry;
use crate::versions::snapshot::Snapshot;
use crate::watch::counters::Count;
use pinhaven_agree::DrainChange;
use pinhaven_agree::DrainedDomains;
use pinhaven_agree::KnownDrains;
use pinhaven_peer::DrainNews;
use pinhaven_record::Line;
use pinhaven_types::FailureDomain;
use pinhaven_types::Microseconds;
use std::collections::BTreeSet;
use std::net::SocketAddr;

impl Entry {
    /// Records the drained failure domains as of one revision of the store, and applies them if they are newer than the
    /// known ones.
    pub(crate) fn learn_drained_domains(&self, set: DrainedDomains) {
        let revision = set.revision;
        let mut drains = self.drains.lock();
        let Some(change) = drains.record(set) else {
            return;
        };
        apply_drains(&self.snapshot.load(), &drains, self.now());
        drop(drains);
        self.record_drains(&change, revision);
        self.wake_waiting();
        self.become_ready();
        self.urgent_update.notify(usize::MAX);
    }

    /// Records the drained failure domains that a peer knows. Invalid names are left out: no target can be in such a
    /// failure domain.
    pub(crate) fn learn_peer_drains(&self, news: DrainNews, peer: SocketAddr) {
        let mut domains = BTreeSet::new();
        for name in news.domains {
            match name.parse() {
                Ok(domain) => _ = domains.insert(domain),
                Err(error) => {
                    log::warn!(target: "targets", "Peer {peer} names an invalid failure domain: {error}.");
                }
            }
        }
        self.learn_drained_domains(DrainedDomains::new(news.revision, domains));
    }

    /// The drained failure domains, to be told to peers.
    pub(crate) fn drains_to_advertise(&self) -> Option<DrainNews> {
        let drains = self.drains.lock();
        let newest = drains.newest()?;
        Some(DrainNews {
            revision: newest.revision,
            domains: newest.domains.iter().map(ToString::to_string).collect(),
        })
    }

    /// All failure domains whose targets receive nothing.
    pub(crate) fn drained_domains(&self) -> BTreeSet<FailureDomain> {
        let mut domains = self.snapshot.load().bundle().drained_domains.clone();
        if let Some(newest) = self.drains.lock().newest() {
            domains.extend(newest.domains.iter().cloned());
        }
        domains
    }

    fn record_drains(&self, change: &DrainChange, revision: u64) {
        for domain in &change.drained {
            self.counters.add(Count::DomainDrained);
            log::info!(target: "targets", "Failure domain {domain} is drained as of revision {revision}.");
            self.record_domain("drained", domain, revision);
        }
        for domain in &change.restored {
            self.counters.add(Count::DomainRestored);
            log::info!(target: "targets", "Failure domain {domain} is restored as of revision {revision}.");
            self.record_domain("restored", domain, revision);
        }
    }

    fn record_domain(&self, event: &str, domain: &FailureDomain, revision: u64) {
        self.record_line(|| {
            Line::new("domain", event, 0)
                .with("domain", domain.as_str())
                .with("revision", revision)
        });
    }
}

/// Marks each target of a snapshot by whether its failure domain is drained. Nobody probes targets of a drained domain, so
/// each may have turned cold meanwhile.
pub(crate) fn apply_drains(snapshot: &Snapshot, drains: &KnownDrains, now: Microseconds) {
    let by_bundle = &snapshot.bundle().drained_domains;
    for service in snapshot.services.values() {
        for target in service.state.targets() {
            let domain = target.failure_domain();
            let is_drained = by_bundle.contains(domain) || drains.is_drained(domain);
            if target.is_domain_drained() && !is_drained {
                service.state.assume_cold(target, now);
            }
            target.set_domain_drained(is_drained);
        }
    }
}
