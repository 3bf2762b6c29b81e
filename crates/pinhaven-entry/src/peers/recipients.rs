//! Whom an entry tells its news.
//!
//! The entries that serve hear every round of each other. All others only hear now and then that one
//! lives, and of lists and versions, mostly from those of their own failure domain: what crosses domains
//! costs, and with many entries it would be most of all that they say.

use crate::entry::Entry;
use pinhaven_agree::MemberRow;
use pinhaven_agree::MemberState;
use pinhaven_types::FailureDomain;
use pinhaven_types::Incarnation;
use pinhaven_types::Microseconds;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Entries of a failure domain that tell all that serve that they live. They are the first to serve
/// when others are lost; of the rest only the domain itself needs to know at once.
const CANDIDATES_PER_DOMAIN: usize = 8;
/// Entries beside those that serve that a candidate tells that it lives, in case all that serve are
/// lost at once.
const OTHERS_TOLD: usize = 3;
/// The same for an entry that is no candidate.
const OTHERS_TOLD_LEAST: usize = 1;

/// What an entry has to say, which decides who must hear it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum UpdateScope {
    /// That it lives, and what it has under way.
    Heartbeat,
    /// What the store said to this entry itself, or that it stops: nobody else would tell.
    Direct,
}

/// Whom an entry talks to.
#[derive(Debug, Default)]
pub(crate) struct Recipients {
    /// Whether this entry serves or has something under way, so that it tells each round.
    pub(crate) sends_every_round: bool,
    /// Entries of this failure domain that serve or have requests under way.
    pub(crate) serving_near: Vec<SocketAddr>,
    /// The same of the other failure domains.
    pub(crate) serving_far: Vec<SocketAddr>,
    /// Others that are told that it lives.
    pub(crate) standby: Vec<SocketAddr>,
}

impl Entry {
    /// Whom this entry tells what it has to say.
    pub(crate) fn recipients(&self, occasion: UpdateScope, now: Microseconds) -> Recipients {
        let active: BTreeSet<Incarnation> = self.peer_counts.lock().active_peers().collect();
        let members = self.members.lock();
        let own = members.own();
        let serving: BTreeSet<Incarnation> = members
            .serving(now)
            .into_iter()
            .map(|row| row.incarnation)
            .collect();
        let sends_often = serving.contains(&own.incarnation) || self.in_flight() > 0;
        // Before any entry is ready, those that speak with the store are where the others meet.
        let delegates: BTreeSet<Incarnation> = members
            .delegates(now)
            .into_iter()
            .map(|row| row.incarnation)
            .collect();
        let is_close = |row: &MemberRow| {
            let peer = &row.incarnation;
            serving.contains(peer) || delegates.contains(peer) || active.contains(peer)
        };
        let (close, distant): (Vec<&MemberRow>, Vec<&MemberRow>) = members
            .peers_to_ask()
            .into_iter()
            .partition(|row| is_close(row));
        let is_candidate = members.place_in_domain(now) < CANDIDATES_PER_DOMAIN;
        let is_stopping = own.state >= MemberState::Stopping;
        let domain = &own.failure_domain;
        let mut recipients = match occasion {
            UpdateScope::Direct => all(&close, &distant, domain),
            UpdateScope::Heartbeat if is_stopping => all(&close, &distant, domain),
            UpdateScope::Heartbeat if sends_often => Recipients {
                serving_near: near(&close, domain),
                serving_far: far(&close, domain),
                standby: near_and_some(&distant, domain, OTHERS_TOLD),
                ..Recipients::default()
            },
            UpdateScope::Heartbeat if is_candidate => Recipients {
                serving_near: near(&close, domain),
                serving_far: far(&close, domain),
                standby: some(&distant, OTHERS_TOLD),
                ..Recipients::default()
            },
            UpdateScope::Heartbeat => Recipients {
                serving_near: near(&close, domain),
                standby: some(&distant, OTHERS_TOLD_LEAST),
                ..Recipients::default()
            },
        };
        recipients.sends_every_round = sends_often;
        if members.live_peers(now).is_empty() {
            let seeds = self.peer_seeds.load();
            let others = seeds.iter().filter(|seed| **seed != own.peer_address);
            recipients.standby.extend(others);
        }
        recipients
    }
}

fn addresses(rows: &[&MemberRow]) -> Vec<SocketAddr> {
    rows.iter().map(|row| row.peer_address).collect()
}

fn all(close: &[&MemberRow], distant: &[&MemberRow], domain: &FailureDomain) -> Recipients {
    Recipients {
        serving_near: near(close, domain),
        serving_far: far(close, domain),
        standby: addresses(distant),
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

/// Some of the rows, drawn by lot.
fn some(rows: &[&MemberRow], count: usize) -> Vec<SocketAddr> {
    fastrand::choose_multiple(rows.iter(), count)
        .into_iter()
        .map(|row| row.peer_address)
        .collect()
}

/// Those of a failure domain, and some of the rest.
fn near_and_some(rows: &[&MemberRow], domain: &FailureDomain, count: usize) -> Vec<SocketAddr> {
    let far: Vec<&MemberRow> = rows
        .iter()
        .copied()
        .filter(|row| row.failure_domain != *domain)
        .collect();
    let mut told = near(rows, domain);
    told.extend(some(&far, count));
    told
}
