//! Recipients of this entry's datagrams, and their groups in the counts of datagrams.

use crate::entry::Entry;
use crate::watch::counters::Count;
use pinhaven_agree::Recipients;
use pinhaven_agree::TrafficFacts;
use pinhaven_agree::UpdateScope;
use pinhaven_types::Microseconds;
use std::sync::atomic::Ordering;

/// Time after an entry last served for which other entries and callers may still use it.
const NAMED_FOR: Microseconds = Microseconds::from_ms(20_000);

/// Group of recipients, for the counts of datagrams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RecipientKind {
    /// Serving entries of the same failure domain.
    Near,
    /// Serving entries of other failure domains.
    Far,
    /// Entries that stand by.
    Standby,
    /// An entry that describes others or asks for descriptions.
    Describe,
    /// Entries that are told at once of requests that were there at a crash.
    Crash,
}

impl RecipientKind {
    /// Counters of the datagrams and of their bytes.
    pub(crate) fn counts(self) -> (Count, Count) {
        match self {
            Self::Near => (Count::DatagramsNear, Count::DatagramBytesNear),
            Self::Far => (Count::DatagramsFar, Count::DatagramBytesFar),
            Self::Standby => (Count::DatagramsStandby, Count::DatagramBytesStandby),
            Self::Describe => (Count::DatagramsDescribe, Count::DatagramBytesDescribe),
            Self::Crash => (Count::DatagramsCrash, Count::DatagramBytesCrash),
        }
    }
}

impl Entry {
    /// Whether this entry serves or has requests in flight, so that it sends datagrams every round.
    pub(crate) fn sends_every_round(&self, now: Microseconds) -> bool {
        self.members.lock().is_serving(now) || self.in_flight() > 0
    }

    /// Selects the recipients of an update of this entry. An entry without live peers also sends to its seeds.
    pub(crate) fn recipients(&self, scope: UpdateScope, now: Microseconds) -> Recipients {
        let active_peers = self.peer_counts.lock().active_peers().collect();
        let served_at = Microseconds::new(self.served_at_us.load(Ordering::Relaxed));
        let facts = TrafficFacts {
            has_requests: self.in_flight() > 0,
            has_served: now.saturating_sub(served_at) < NAMED_FOR,
            active_peers,
        };
        let members = self.members.lock();
        let mut recipients = members.recipients(scope, &facts, &mut fastrand::Rng::new(), now);
        if !members.has_live_peer(now) {
            let own = members.own().peer_address;
            let seeds = self.peer_seeds.load();
            let other_seeds = seeds.iter().filter(|seed| **seed != own);
            recipients.standby.extend(other_seeds);
        }
        recipients
    }
}
