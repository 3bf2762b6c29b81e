//! Which entries reach the targets of each service, as entries tell each other.

use crate::entry::Entry;
use crate::peers::gossip_message::to_bytes;
use crate::peers::gossip_message::to_incarnation;
use crate::versions::service_entry::ServiceEntry;
use pinhaven_agree::Forwarder;
use pinhaven_agree::ServiceKey;
use pinhaven_peer::ServiceReach;
use pinhaven_types::Incarnation;
use pinhaven_types::Microseconds;

/// Maximum number of services in one datagram, so that the datagram fits into one packet.
const SERVICES_MAX: usize = 12;
/// Number of other entries per service of which entries on standby are told.
const RELAYED_PER_SERVICE: usize = 2;

impl Entry {
    /// Which services' targets this entry reaches itself, a random selection if there are many.
    pub(crate) fn own_reaches(&self, now: Microseconds) -> Vec<ServiceReach> {
        let snapshot = self.snapshot.load();
        let reaches = snapshot.services.values().filter_map(|service| {
            let connectivity = service.state.connectivity();
            let is_lost = connectivity.is_lost();
            // Where no entry reaches the targets, the targets are down and their owners stay.
            if is_lost && !connectivity.is_reached_by_peer() {
                return None;
            }
            let heard_age = match is_lost {
                true => Microseconds::ZERO,
                false => connectivity.heard_age(now)?,
            };
            Some(ServiceReach {
                service: ServiceKey::new(&service.config.name).0,
                heard_age_ms: to_ms(heard_age),
                incarnation: Vec::new(),
                is_lost,
            })
        });
        fastrand::choose_multiple(reaches, SERVICES_MAX)
    }

    /// What this entry knows of other entries that reach targets, to be told to entries on standby.
    pub(crate) fn reaches_to_relay(&self, now: Microseconds) -> Vec<ServiceReach> {
        let reach = self.reach.lock();
        let services = fastrand::choose_multiple(reach.services(), SERVICES_MAX);
        let relayed = services.into_iter().flat_map(|service| {
            let latest = reach.latest(service, RELAYED_PER_SERVICE, now);
            latest.into_iter().map(move |(entry, age)| ServiceReach {
                service: service.0,
                heard_age_ms: to_ms(age),
                incarnation: to_bytes(&entry),
                is_lost: false,
            })
        });
        relayed.collect()
    }

    /// Records which entries reach targets, from a datagram of `sender`.
    pub(crate) fn record_reaches(&self, sender: Incarnation, reaches: &[ServiceReach]) {
        if reaches.is_empty() {
            return;
        }
        let now = self.now();
        let mut known = self.reach.lock();
        known.remove_old(now);
        for reach in reaches {
            let entry = match reach.incarnation.is_empty() {
                true => Some(sender),
                false => to_incarnation(&reach.incarnation),
            };
            let Some(entry) = entry.filter(|entry| *entry != self.incarnation) else {
                continue;
            };
            let service = ServiceKey(reach.service);
            if reach.is_lost {
                known.record_lost(service, entry, now);
            } else {
                let age = Microseconds::from_ms(u64::from(reach.heard_age_ms));
                known.record(service, entry, now.saturating_sub(age));
            }
        }
    }

    /// Chooses an entry that reaches the targets of a service and is not among `asked`.
    pub(crate) fn choose_forwarder(
        &self,
        service: &ServiceEntry,
        key: ServiceKey,
        asked: &[Incarnation],
    ) -> Option<Forwarder> {
        let now = self.now();
        let connectivity = service.state.connectivity();
        let lost_at = connectivity.lost_since().or(connectivity.heard_at());
        let lost_at = lost_at.unwrap_or(Microseconds::ZERO);
        let random = &mut fastrand::Rng::new();
        let members = self.members.lock();
        let reach = self.reach.lock();
        reach.choose(key, &members, lost_at, asked, random, now)
    }
}

/// An age in milliseconds, rounded up.
fn to_ms(age: Microseconds) -> u32 {
    u32::try_from(age.count().div_ceil(1_000)).unwrap_or(u32::MAX)
}
