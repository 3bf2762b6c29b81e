//! Who tells whom that it lives and which version it has, and what an entry does on hearing it.

use crate::versions::instance::address_of;
use crate::versions::instance::entry_at;
use crate::versions::message::End;
use crate::versions::message::Event;
use crate::versions::message::Message;
use crate::versions::message::Payload;
use crate::versions::plan::VersionFault;
use crate::versions::world::World;
use pinhaven_agree::MemberRow;
use pinhaven_types::BundleVersion;
use std::net::SocketAddr;
use std::rc::Rc;

/// Time between two datagrams that an entry tells versions in, in microseconds, as in an entry.
const WHOLE_EVERY_US: u64 = 500_000;
/// Entries of a failure domain that tell all that serve, as in an entry.
const CANDIDATES_PER_DOMAIN: usize = 8;
/// Others that a candidate tells, and that any other entry tells, as in an entry.
const OTHERS_TOLD: usize = 3;
const OTHERS_TOLD_LEAST: usize = 1;
/// Beats of others in a datagram, as in an entry.
const BEATS_PASSED_ON: usize = 6;
/// Bytes of a datagram, and of each beat in it.
const NEWS_BYTES: usize = 120;
const BEAT_BYTES: usize = 45;
/// Time in which the store may bring a version that a peer has already, in microseconds, as in an entry.
const STORE_HEAD_START_US: u64 = 200_000;

impl World<'_> {
    pub(super) fn plan_first_round(&mut self, entry: usize) {
        let phase_us = self.random.u64(0..WHOLE_EVERY_US);
        self.queue.schedule(phase_us, Event::NewsRound(entry));
    }

    /// Tells that an entry lives, and looks whether it speaks with the store.
    pub(super) fn tell_round(&mut self, entry: usize) {
        if !self.instances[entry].is_alive {
            return;
        }
        let now = self.now();
        let instance = &mut self.instances[entry];
        let was_delegate = instance.is_delegate;
        instance.is_delegate = instance.members.is_delegate(now);
        let begins = instance.is_delegate && !was_delegate;
        instance.members.advance_heartbeat(instance.held, 0);
        instance.members.remove_silent(now);
        if begins && !instance.waits_for_store {
            self.queue.schedule(self.now_us, Event::AskStore(entry));
        }
        self.tell(entry, false);
        self.queue
            .schedule(self.now_us + WHOLE_EVERY_US, Event::NewsRound(entry));
    }

    /// Tells which version an entry has; a delegate whose news are urgent tells all.
    pub(super) fn tell(&mut self, entry: usize, is_urgent: bool) {
        let told = self.told_by(entry, is_urgent);
        let rows = self.rows_to_tell(entry);
        let bytes = NEWS_BYTES + rows.len() * BEAT_BYTES;
        for peer in told {
            self.send(Message {
                from: End::Entry(entry),
                to: entry_at(peer),
                bytes,
                payload: Payload::News(Rc::clone(&rows)),
            });
        }
    }

    fn told_by(&mut self, entry: usize, is_urgent: bool) -> Vec<SocketAddr> {
        let now = self.now();
        let members = &self.instances[entry].members;
        let domain = &members.own().failure_domain;
        let delegates: Vec<SocketAddr> = members
            .delegates(now)
            .into_iter()
            .map(|row| row.peer_address)
            .collect();
        let peers = members.contactable_peers();
        let is_delegate = delegates.contains(&members.own().peer_address);
        if is_urgent && is_delegate {
            return peers.into_iter().map(|row| row.peer_address).collect();
        }
        let is_candidate = members.rank_in_domain(now) < CANDIDATES_PER_DOMAIN;
        let (near, far): (Vec<&MemberRow>, Vec<&MemberRow>) = peers
            .into_iter()
            .partition(|row| row.failure_domain == *domain);
        let is_close = |row: &&MemberRow| delegates.contains(&row.peer_address);
        let close_far = far.iter().copied().filter(is_close);
        let mut others: Vec<&MemberRow> =
            far.iter().copied().filter(|row| !is_close(row)).collect();
        let mut told: Vec<&MemberRow> = near.iter().copied().filter(is_close).collect();
        if is_delegate || is_candidate {
            told.extend(close_far);
        }
        let others_near = near.iter().copied().filter(|row| !is_close(row));
        match is_delegate {
            true => told.extend(others_near),
            false => others.extend(others_near),
        }
        let count = match is_delegate || is_candidate {
            true => OTHERS_TOLD,
            false => OTHERS_TOLD_LEAST,
        };
        let mut told: Vec<SocketAddr> = told.into_iter().map(|row| row.peer_address).collect();
        let others: Vec<SocketAddr> = others.into_iter().map(|row| row.peer_address).collect();
        told.extend(self.random.choose_multiple(others, count));
        told
    }

    /// The row of an entry itself, and some of others that live.
    fn rows_to_tell(&mut self, entry: usize) -> Rc<[MemberRow]> {
        let now = self.now();
        let claims = self.has_fault(|fault| match fault {
            VersionFault::AdvertisesButIsSilent { entry: claims }
            | VersionFault::AdvertisesButHasNone { entry: claims } => *claims == entry,
            _ => false,
        });
        let members = &self.instances[entry].members;
        let live = members.live_peers(now);
        let some = self.random.choose_multiple(live, BEATS_PASSED_ON);
        let mut own = members.own().clone();
        if claims {
            own.version = self.store_head;
        }
        std::iter::once(own)
            .chain(some.into_iter().cloned())
            .collect()
    }

    /// Takes in what another entry tells.
    pub(super) fn hear(&mut self, entry: usize, rows: &[MemberRow]) {
        let now = self.now();
        let Some((sender, others)) = rows.split_first() else {
            return;
        };
        let members = &mut self.instances[entry].members;
        members.record_member(sender.clone(), now);
        for row in others {
            members.record_relayed_member(row.clone(), now);
        }
        self.hear_version(entry, entry_at(sender.peer_address), sender.version);
    }

    fn hear_version(&mut self, entry: usize, peer: usize, version: BundleVersion) {
        let now = self.now();
        let instance = &mut self.instances[entry];
        if version <= instance.held {
            return;
        }
        instance.lag.record_known(version, now);
        let follows = instance.members.is_delegate(now);
        let waits_us = match follows {
            true => STORE_HEAD_START_US,
            false if instance.asking.is_some() => return,
            false => 0,
        };
        let fetch = Event::FetchFrom {
            entry,
            peer,
            version,
        };
        self.queue.schedule(self.now_us + waits_us, fetch);
    }

    /// Fetches a version from the peer that told of it, if it has not come in the meantime.
    pub(super) fn fetch_if_behind(&mut self, entry: usize, peer: usize, version: BundleVersion) {
        let instance = &self.instances[entry];
        if !instance.is_alive || version <= instance.held || instance.asking.is_some() {
            return;
        }
        self.ask_peer(entry, address_of(peer));
    }
}
