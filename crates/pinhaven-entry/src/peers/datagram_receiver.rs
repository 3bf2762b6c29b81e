//! Receives the datagrams of other entries, applies their updates and describes entries on request.

use crate::entry::Entry;
use crate::peers::datagram_sender::DatagramSocket;
use crate::peers::datagram_sender::IDENTITIES_MAX;
use crate::peers::datagram_sender::send_all;
use crate::peers::gossip_message::identity_of;
use crate::peers::gossip_message::to_beat;
use crate::peers::gossip_message::to_incarnation;
use crate::peers::recipients::RecipientKind;
use crate::watch::counters::Count;
use crate::watch::steps::Step;
use pinhaven_agree::MemberRow;
use pinhaven_peer::Beat;
use pinhaven_peer::News;
use pinhaven_peer::TargetNews;
use pinhaven_runtime::TimeSlice;
use pinhaven_runtime::sleep_ms;
use pinhaven_types::BundleVersion;
use pinhaven_types::Incarnation;
use pinhaven_types::Microseconds;
use prost::Message as _;
use std::net::SocketAddr;
use std::sync::Arc;

/// Maximum size of an accepted datagram, in bytes.
const DATAGRAM_BYTES_MAX: usize = 8 * 1024;
/// Delay after a failed receive, in milliseconds.
const RECEIVE_RETRY_MS: u64 = 20;

impl Entry {
    /// Receives and applies datagrams. Runs until the process exits.
    pub(crate) async fn receive_datagrams(self: Arc<Self>, socket: Arc<DatagramSocket>) {
        let mut buffer = vec![0; DATAGRAM_BYTES_MAX];
        let mut slice = TimeSlice::new();
        loop {
            let (length, peer) = match slice.next(socket.recv_from(&mut buffer)).await {
                Ok(received) => received,
                Err(error) => {
                    log::debug!(target: "news", "Receiving a datagram failed: {error}.");
                    sleep_ms(RECEIVE_RETRY_MS).await;
                    continue;
                }
            };
            self.counters.add_many(Count::PeerBytes, length as u64);
            match News::decode(&buffer[..length]) {
                Ok(datagram) => {
                    self.steps
                        .record(Step::Counts, || self.apply_counts(&datagram));
                    let apply = || self.apply_datagram(datagram, peer);
                    if let Some(answer) = self.steps.record(Step::Datagram, apply) {
                        send_all(&self, &socket, RecipientKind::Describe, &[peer], &answer).await;
                    }
                }
                Err(error) => log::warn!(target: "news", "Datagram of {peer} is invalid: {error}."),
            }
        }
    }

    /// Applies the counts of admitted requests of a datagram.
    fn apply_counts(&self, datagram: &News) {
        let (Some(beat), Some(counts)) = (datagram.beats.first(), &datagram.organisations) else {
            return;
        };
        match to_incarnation(&beat.incarnation) {
            Some(incarnation) if incarnation != self.incarnation => {
                self.record_organisation_counts(incarnation, beat, counts);
            }
            _ => {}
        }
    }

    /// Applies the updates of a datagram other than its counts. Returns the answer to send, if there is one.
    fn apply_datagram(self: &Arc<Self>, datagram: News, peer: SocketAddr) -> Option<News> {
        let beat = datagram.beats.first().cloned()?;
        let incarnation = to_incarnation(&beat.incarnation)?;
        if incarnation == self.incarnation {
            return None;
        }
        let is_new = self.members.lock().member(incarnation).is_none();
        self.record_sender(datagram.sender, &datagram.beats);
        for identity in datagram.identities {
            self.record_identity(identity, &datagram.beats);
        }
        self.record_heartbeats(Some(incarnation), &datagram.beats);
        self.merge_suspects(&datagram.suspects);
        self.record_reaches(incarnation, &datagram.reaches);
        self.record_reported_leaves(&datagram.leaving);
        if let Some(drains) = datagram.drains {
            self.learn_peer_drains(drains, peer);
        }
        let targets = datagram.targets.unwrap_or_default().rows();
        self.apply_target_updates(incarnation, &beat, &targets, datagram.is_whole);
        let rpc_address = self.rpc_address(incarnation).unwrap_or(peer);
        self.learn_version(rpc_address, BundleVersion::new(beat.version));
        if let Some(list) = datagram.list {
            let age = list
                .age_ms
                .map(|age_ms| Microseconds::from_ms(u64::from(age_ms)));
            self.learn_list(rpc_address, list.revision, list.digest, age);
            if let Some(heard_age_ms) = list.heard_age_ms {
                let age = Microseconds::from_ms(u64::from(heard_age_ms));
                let now = self.now();
                let heard_at = now.saturating_sub(age);
                let mut targets = self.targets.lock();
                targets.record_heard(list.digest, heard_at, now);
            }
            if let Some(steady_ms) = list.steady_ms {
                let steady = Microseconds::from_ms(u64::from(steady_ms));
                let since = self.now().saturating_sub(steady);
                self.targets.lock().record_peer_steady(since);
                self.expire_targets();
            }
        }
        (is_new || !datagram.wanted.is_empty()).then(|| self.describe_members(&datagram.wanted))
    }

    /// Address at which a peer accepts RPCs, as advertised by the peer.
    fn rpc_address(&self, incarnation: Incarnation) -> Option<SocketAddr> {
        let members = self.members.lock();
        let member = members.member(incarnation)?;
        Some(member.row.peer_address)
    }

    fn apply_target_updates(
        &self,
        peer: Incarnation,
        beat: &Beat,
        updates: &[TargetNews],
        is_full: bool,
    ) {
        let snapshot = self.snapshot.load();
        let mut counts = self.peer_counts.lock();
        let has_new_speed = counts.record_update(
            peer,
            beat.heartbeat,
            updates,
            is_full,
            &snapshot,
            self.now(),
        );
        drop(counts);
        if has_new_speed {
            self.wake_waiting();
        }
    }

    /// Wakes one waiting request of each service, so that the request retries admission.
    pub(crate) fn wake_waiting(&self) {
        for service in self.snapshot.load().services.values() {
            if service.state.waiting() > 0 {
                service.capacity_freed.notify(1);
            }
        }
    }

    /// Describes this entry, the wanted members and random other live members.
    fn describe_members(&self, wanted: &[Vec<u8>]) -> News {
        let wanted: Vec<Incarnation> = wanted
            .iter()
            .take(IDENTITIES_MAX)
            .filter_map(|bytes| to_incarnation(bytes))
            .collect();
        let now = self.now();
        let members = self.members.lock();
        let is_wanted = |row: &&MemberRow| wanted.contains(&row.incarnation);
        let (mut rows, others): (Vec<&MemberRow>, Vec<&MemberRow>) =
            members.live_peers(now).into_iter().partition(is_wanted);
        let others_max = IDENTITIES_MAX.saturating_sub(rows.len());
        rows.extend(fastrand::choose_multiple(others, others_max));
        let described = std::iter::once(members.own()).chain(rows.iter().copied());
        let heartbeats = described.filter_map(|row| members.heartbeat_of(row.incarnation, now));
        News {
            sender: Some(identity_of(members.own())),
            beats: heartbeats.map(|heartbeat| to_beat(&heartbeat)).collect(),
            identities: rows.into_iter().map(identity_of).collect(),
            ..News::default()
        }
    }
}
