//! Datagrams between emulated entries, with heartbeats and the sender's version.
//!
//! Delegates poll the store, and the datagrams spread the version from the delegates to all entries. An entry that
//! receives a datagram with a newer version fetches the version from the sender.

use crate::versions::instance::address_of;
use crate::versions::instance::entry_at;
use crate::versions::message::Endpoint;
use crate::versions::message::Event;
use crate::versions::message::Message;
use crate::versions::message::Payload;
use crate::versions::plan::VersionFault;
use crate::versions::world::World;
use pinhaven_agree::MemberRow;
use pinhaven_agree::TrafficFacts;
use pinhaven_agree::UpdateScope;
use pinhaven_types::BundleVersion;
use pinhaven_types::Microseconds;
use std::net::SocketAddr;
use std::rc::Rc;

/// Interval between two rounds of datagrams with versions, in microseconds, as in an entry.
const DATAGRAM_INTERVAL_US: u64 = 500_000;
/// Maximum number of relayed heartbeats in a datagram, as in an entry.
const RELAYED_HEARTBEATS_MAX: usize = 6;
/// Size of a datagram, and of each heartbeat in the datagram, in bytes.
const DATAGRAM_BYTES: usize = 120;
const HEARTBEAT_BYTES: usize = 45;
/// Time that a delegate leaves the store to provide a version before the delegate fetches the version from a peer, in
/// microseconds, as in an entry.
const STORE_HEAD_START_US: u64 = 200_000;

impl World<'_> {
    pub(super) fn schedule_first_round(&mut self, entry: usize) {
        let phase_us = self.random.u64(0..DATAGRAM_INTERVAL_US);
        self.queue.schedule(phase_us, Event::DatagramRound(entry));
    }

    /// Sends an entry's periodic datagrams and starts polling the store if the entry has become a delegate.
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

    /// Sends datagrams with an entry's version. An urgent update from a delegate goes to all peers.
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
        let scope = match is_urgent && members.is_delegate(now) {
            true => UpdateScope::Everyone,
            false => UpdateScope::Heartbeat,
        };
        let facts = TrafficFacts::default();
        let recipients = members.recipients(scope, &facts, &mut self.random, now);
        let groups = [
            recipients.serving_near,
            recipients.serving_far,
            recipients.standby,
        ];
        groups.concat()
    }

    /// Rows of a datagram: the entry's own row, followed by rows of random live peers.
    fn datagram_rows(&mut self, entry: usize) -> Rc<[(MemberRow, Microseconds)]> {
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
        let relayed = relayed.into_iter().filter_map(|row| {
            let heartbeat = members.heartbeat_of(row.incarnation, now)?;
            Some((row.clone(), heartbeat.age))
        });
        std::iter::once((own, Microseconds::ZERO))
            .chain(relayed)
            .collect()
    }

    /// Records the members of a received datagram and the sender's version.
    pub(super) fn receive_datagram(&mut self, entry: usize, rows: &[(MemberRow, Microseconds)]) {
        let now = self.now();
        let Some(((sender, _), relayed)) = rows.split_first() else {
            return;
        };
        let members = &mut self.instances[entry].members;
        members.record_member(sender.clone(), now);
        for (row, age) in relayed {
            members.record_relayed_member(row.clone(), *age, now);
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

    /// Fetches a version from the peer that advertised it, unless the entry has received the version in the meantime.
    pub(super) fn fetch_if_behind(&mut self, entry: usize, peer: usize, version: BundleVersion) {
        let instance = &self.instances[entry];
        if !instance.is_alive || version <= instance.held || instance.attempt.is_some() {
            return;
        }
        self.start_fetch(entry, address_of(peer));
    }
}
