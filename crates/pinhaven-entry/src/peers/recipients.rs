//! Selects the recipients of an entry's datagrams.
//!
//! Entries that serve callers send each other every round. All other entries receive only an occasional heartbeat with
//! the target list and bundle version of the sender, mostly from entries of their own failure domain: traffic between
//! failure domains is expensive, and with many entries it would be the larger part of the traffic between entries.

use crate::entry::Entry;
use crate::watch::counters::Count;
use pinhaven_agree::MemberRow;
use pinhaven_agree::MemberState;
use pinhaven_types::FailureDomain;
use pinhaven_types::Incarnation;
use pinhaven_types::Microseconds;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;

/// Number of candidates per failure domain, which send heartbeats to all serving entries. Candidates are the first to
/// serve when serving entries fail; about the rest, only entries of their own failure domain need to know at once.
const CANDIDATES_PER_DOMAIN: usize = 8;
/// Number of standby entries to which a candidate sends heartbeats, in case all serving entries fail at once. A serving
/// entry sends to all standby entries of its own failure domain and to this number of others.
const STANDBY_RECIPIENTS: usize = 3;
/// Number of standby entries to which an entry that is no candidate sends heartbeats.
const STANDBY_RECIPIENTS_MIN: usize = 1;

/// Time after an entry last served for which other entries and callers may still use it.
const NAMED_FOR: Microseconds = Microseconds::from_ms(20_000);

/// Content of an update, which determines the recipients.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum UpdateScope {
    /// The heartbeat and the requests in flight of this entry.
    Heartbeat,
    /// State that this entry read from the store itself. Serving entries pass it on to the entries of their failure
    /// domains that stand by.
    Direct,
    /// What each entry must learn at once.
    Everyone,
}

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

/// Recipients of the datagrams of one round.
#[derive(Debug, Default)]
pub(crate) struct Recipients {
    /// Whether this entry serves or has requests in flight, so that it sends datagrams every round.
    pub(crate) sends_every_round: bool,
    /// Entries of this failure domain that serve, are store delegates or have requests in flight.
    pub(crate) serving_near: Vec<SocketAddr>,
    /// Entries of other failure domains that serve, are store delegates or have requests in flight.
    pub(crate) serving_far: Vec<SocketAddr>,
    /// Other entries that receive heartbeats.
    pub(crate) standby: Vec<SocketAddr>,
}

impl Recipients {
    /// A random recipient to ask for descriptions of members. Serving entries of this failure domain know the most and
    /// are the cheapest to ask.
    pub(crate) fn to_ask(&self) -> Option<SocketAddr> {
        let groups = [&self.serving_near, &self.serving_far, &self.standby];
        let group = groups.into_iter().find(|group| !group.is_empty())?;
        fastrand::choice(group).copied()
    }
}

impl Entry {
    /// Whether this entry serves or has requests in flight, so that it sends datagrams every round.
    pub(crate) fn sends_every_round(&self, now: Microseconds) -> bool {
        let members = self.members.lock();
        let own = members.own().incarnation;
        let mut serving = members.serving(now).into_iter();
        serving.any(|row| row.incarnation == own) || self.in_flight() > 0
    }

    /// Selects the recipients of an update of this entry.
    pub(crate) fn recipients(&self, scope: UpdateScope, now: Microseconds) -> Recipients {
        let active: BTreeSet<Incarnation> = self.peer_counts.lock().active_peers().collect();
        let members = self.members.lock();
        let own = members.own();
        let serving: BTreeSet<Incarnation> = members
            .serving(now)
            .into_iter()
            .map(|row| row.incarnation)
            .collect();
        let sends_every_round = serving.contains(&own.incarnation) || self.in_flight() > 0;
        let served_at = Microseconds::new(self.served_at_us.load(Ordering::Relaxed));
        let has_served = now.saturating_sub(served_at) < NAMED_FOR;
        // Before any entry is ready, entries discover each other through the store delegates.
        let delegates: BTreeSet<Incarnation> = members
            .delegates(now)
            .into_iter()
            .map(|row| row.incarnation)
            .collect();
        let receives_rounds = |row: &MemberRow| {
            let peer = &row.incarnation;
            serving.contains(peer) || delegates.contains(peer) || active.contains(peer)
        };
        let (serving_rows, standby_rows): (Vec<&MemberRow>, Vec<&MemberRow>) = members
            .contactable_peers()
            .into_iter()
            .partition(|row| receives_rounds(row));
        let is_candidate = members.is_within_domain_rank(CANDIDATES_PER_DOMAIN, now);
        let is_stopping = own.state >= MemberState::Stopping;
        let domain = &own.failure_domain;
        let mut recipients = match scope {
            UpdateScope::Everyone => all(&serving_rows, &standby_rows, domain),
            // Everybody may still name it to callers.
            UpdateScope::Heartbeat | UpdateScope::Direct if is_stopping && has_served => {
                all(&serving_rows, &standby_rows, domain)
            }
            UpdateScope::Heartbeat if sends_every_round => Recipients {
                serving_near: near(&serving_rows, domain),
                serving_far: far(&serving_rows, domain),
                standby: near_and_sampled_far(&standby_rows, domain, STANDBY_RECIPIENTS),
                ..Recipients::default()
            },
            UpdateScope::Direct => Recipients {
                serving_near: near(&serving_rows, domain),
                serving_far: far(&serving_rows, domain),
                standby: near_and_uncovered(&standby_rows, &serving_rows, domain),
                ..Recipients::default()
            },
            UpdateScope::Heartbeat if is_candidate => Recipients {
                serving_near: near(&serving_rows, domain),
                serving_far: far(&serving_rows, domain),
                standby: sample(&standby_rows, STANDBY_RECIPIENTS),
                ..Recipients::default()
            },
            UpdateScope::Heartbeat => Recipients {
                serving_near: near(&serving_rows, domain),
                standby: sample(&standby_rows, STANDBY_RECIPIENTS_MIN),
                ..Recipients::default()
            },
        };
        recipients.sends_every_round = sends_every_round;
        if !members.has_live_peer(now) {
            let seeds = self.peer_seeds.load();
            let other_seeds = seeds.iter().filter(|seed| **seed != own.peer_address);
            recipients.standby.extend(other_seeds);
        }
        recipients
    }
}

fn addresses(rows: &[&MemberRow]) -> Vec<SocketAddr> {
    rows.iter().map(|row| row.peer_address).collect()
}

fn all(
    serving_rows: &[&MemberRow],
    standby_rows: &[&MemberRow],
    domain: &FailureDomain,
) -> Recipients {
    Recipients {
        serving_near: near(serving_rows, domain),
        serving_far: far(serving_rows, domain),
        standby: addresses(standby_rows),
        ..Recipients::default()
    }
}

fn near(rows: &[&MemberRow], domain: &FailureDomain) -> Vec<SocketAddr> {
    rows.iter()
        .filter(|row| row.failure_domain == *domain)
        .map(|row| row.peer_address)
        .collect()
}

fn far(rows: &[&MemberRow], domain: &FailureDomain) -> Vec<SocketAddr> {
    rows.iter()
        .filter(|row| row.failure_domain != *domain)
        .map(|row| row.peer_address)
        .collect()
}

/// Addresses of random rows.
fn sample(rows: &[&MemberRow], count: usize) -> Vec<SocketAddr> {
    fastrand::choose_multiple(rows.iter(), count)
        .into_iter()
        .map(|row| row.peer_address)
        .collect()
}

/// Addresses of the entries that stand by in this failure domain or in one without a serving entry to tell them.
fn near_and_uncovered(
    standby_rows: &[&MemberRow],
    serving_rows: &[&MemberRow],
    domain: &FailureDomain,
) -> Vec<SocketAddr> {
    let covered: BTreeSet<&FailureDomain> = serving_rows
        .iter()
        .map(|row| &row.failure_domain)
        .filter(|covered| *covered != domain)
        .collect();
    standby_rows
        .iter()
        .filter(|row| !covered.contains(&row.failure_domain))
        .map(|row| row.peer_address)
        .collect()
}

/// Addresses of all rows of a failure domain and of random other rows.
fn near_and_sampled_far(
    rows: &[&MemberRow],
    domain: &FailureDomain,
    count: usize,
) -> Vec<SocketAddr> {
    let far: Vec<&MemberRow> = rows
        .iter()
        .copied()
        .filter(|row| row.failure_domain != *domain)
        .collect();
    let mut selected = near(rows, domain);
    selected.extend(sample(&far, count));
    selected
}
