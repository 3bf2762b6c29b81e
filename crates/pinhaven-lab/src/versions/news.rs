//! Who tells whom that it lives and which version it has, and what an entry does on hearing it.

use crate::versions::instance::address_of;
use crate::versions::instance::entry_at;
use crate::versions::message::Endpoint;
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
const DATAGRAM_INTERVAL_US: u64 = 500_000;
/// Entries of a failure domain that tell all that serve, as in an entry.
const CANDIDATES_PER_DOMAIN: usize = 8;
/// Others that a candidate tells, and that any other entry tells, as in an entry.
const STANDBY_RECIPIENTS: usize = 3;
const STANDBY_RECIPIENTS_MIN: usize = 1;
/// Beats of standby in a datagram, as in an entry.
const RELAYED_HEARTBEATS_MAX: usize = 6;
/// Bytes of a datagram, and of each beat in it.
const DATAGRAM_BYTES: usize = 120;
const HEARTBEAT_BYTES: usize = 45;
/// Time in which the store may bring a version that a peer has already, in microseconds, as in an entry.
const STORE_HEAD_START_US: u64 = 200_000;

impl World<'_> {
    pub(super) fn schedule_first_round(&mut self, entry: usize) {
        let phase_us = self.random.u64(0..DATAGRAM_INTERVAL_US);
        self.queue.schedule(phase_us, Event::DatagramRound(entry));
    }

    /// Tells that an entry lives, and looks whether it speaks with the store.
    pub(super) fn send_round(&mut self, entry: usize) {
        if !self.instances[entry].is_alive {
            return;
        }
        let now = self.now();
        let instance = &mut self.instances[entry];
        let was_delegate = instance.is_delegate;
        instance.is_delegate = instance.members.is_delegate(now);
        let becomes_delegate = instance.is_delegate && !was_delegate;
        instance.members.advance_heartbeat(instance.held, 0);
        instance.members.remove_silent(now);
        if becomes_delegate && !instance.waits_for_store {
            self.queue.schedule(self.now_us, Event::PollStore(entry));
        }
        self.send_datagrams(entry, false);
        self.queue.schedule(
            self.now_us + DATAGRAM_INTERVAL_US,
            Event::DatagramRound(entry),
        );
    }

    /// Tells which version an entry has; a delegate whose news are urgent tells all.
    pub(super) fn send_datagrams(&mut self, entry: usize, is_urgent: bool) {
        let recipients = self.choose_recipients(entry, is_urgent);
        let rows = self.datagram_rows(entry);
        let bytes = DATAGRAM_BYTES + rows.len() * HEARTBEAT_BYTES;
        for peer in recipients {
            self.send(Message {
                from: Endpoint::Entry(entry),
                to: entry_at(peer),
                bytes,
                payload: Payload::Datagram(Rc::clone(&rows)),
            });
        }
    }

    fn choose_recipients(&mut self, entry: usize, is_urgent: bool) -> Vec<SocketAddr> {
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
        let is_delegate_row = |row: &&MemberRow| delegates.contains(&row.peer_address);
        let serving_far = far.iter().copied().filter(is_delegate_row);
        let mut standby: Vec<&MemberRow> = far
            .iter()
            .copied()
            .filter(|row| !is_delegate_row(row))
            .collect();
        let mut recipients: Vec<&MemberRow> =
            near.iter().copied().filter(is_delegate_row).collect();
        if is_delegate || is_candidate {
            recipients.extend(serving_far);
        }
        let standby_near = near.iter().copied().filter(|row| !is_delegate_row(row));
        match is_delegate {
            true => recipients.extend(standby_near),
            false => standby.extend(standby_near),
        }
        let count = match is_delegate || is_candidate {
            true => STANDBY_RECIPIENTS,
            false => STANDBY_RECIPIENTS_MIN,
        };
        let mut recipients: Vec<SocketAddr> =
            recipients.into_iter().map(|row| row.peer_address).collect();
        let standby: Vec<SocketAddr> = standby.into_iter().map(|row| row.peer_address).collect();
        recipients.extend(self.random.choose_multiple(standby, count));
        recipients
    }

    /// The row of an entry itself, and relayed of standby that live.
    fn datagram_rows(&mut self, entry: usize) -> Rc<[MemberRow]> {
        let now = self.now();
        let is_advertiser = self.has_fault(|fault| match fault {
            VersionFault::AdvertisesButIsSilent { entry: faulty }
            | VersionFault::AdvertisesButHasNone { entry: faulty } => *faulty == entry,
            _ => false,
        });
        let members = &self.instances[entry].members;
        let live = members.live_peers(now);
        let relayed = self.random.choose_multiple(live, RELAYED_HEARTBEATS_MAX);
        let mut own = members.own().clone();
        if is_advertiser {
            own.version = self.store_head;
        }
        std::iter::once(own)
            .chain(relayed.into_iter().cloned())
            .collect()
    }

    /// Takes in what another entry tells.
    pub(super) fn receive_datagram(&mut self, entry: usize, rows: &[MemberRow]) {
        let now = self.now();
        let Some((sender, relayed)) = rows.split_first() else {
            return;
        };
        let members = &mut self.instances[entry].members;
        members.record_member(sender.clone(), now);
        for row in relayed {
            members.record_relayed_member(row.clone(), now);
        }
        self.learn_version(entry, entry_at(sender.peer_address), sender.version);
    }

    fn learn_version(&mut self, entry: usize, peer: usize, version: BundleVersion) {
        let now = self.now();
        let instance = &mut self.instances[entry];
        if version <= instance.held {
            return;
        }
        instance.lag.record_known(version, now);
        let is_delegate = instance.members.is_delegate(now);
        let delay_us = match is_delegate {
            true => STORE_HEAD_START_US,
            false if instance.attempt.is_some() => return,
            false => 0,
        };
        let fetch = Event::FetchFrom {
            entry,
            peer,
            version,
        };
        self.queue.schedule(self.now_us + delay_us, fetch);
    }

    /// Fetches a version from the peer that recipients of it, if it has not come in the meantime.
    pub(super) fn fetch_if_behind(&mut self, entry: usize, peer: usize, version: BundleVersion) {
        let instance = &self.instances[entry];
        if !instance.is_alive || version <= instance.held || instance.attempt.is_some() {
            return;
        }
        self.ask_peer(entry, address_of(peer));
    }
}
