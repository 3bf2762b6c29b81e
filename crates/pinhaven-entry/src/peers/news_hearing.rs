//! Taking in what other entries say in their datagrams, and answering who asks about entries.

use crate::entry::Entry;
use crate::peers::gossip_message::beat_of;
use crate::peers::gossip_message::identity_of;
use crate::peers::gossip_message::to_incarnation;
use crate::peers::news::IDENTITIES_MAX;
use crate::peers::news::NewsSocket;
use crate::peers::news::send_all;
use crate::watch::counters::Count;
use pinhaven_peer::Beat;
use pinhaven_peer::News;
use pinhaven_peer::TargetNews;
use pinhaven_runtime::sleep_ms;
use pinhaven_types::BundleVersion;
use pinhaven_types::Incarnation;
use pinhaven_types::Microseconds;
use prost::Message as _;
use std::net::SocketAddr;
use std::sync::Arc;

/// The largest datagram that is taken, in bytes.
const DATAGRAM_BYTES_MAX: usize = 8 * 1024;
/// Pause after a failed receive, in milliseconds.
const RECEIVE_RETRY_MS: u64 = 20;

impl Entry {
    /// Takes news in, for ever.
    pub(crate) async fn hear_news(self: Arc<Self>, socket: Arc<NewsSocket>) {
        let mut buffer = vec![0; DATAGRAM_BYTES_MAX];
        loop {
            let (length, peer) = match socket.recv_from(&mut buffer).await {
                Ok(received) => received,
                Err(error) => {
                    log::debug!(target: "news", "Receiving failed: {error}.");
                    sleep_ms(RECEIVE_RETRY_MS).await;
                    continue;
                }
            };
            self.counters.add_many(Count::PeerBytes, length as u64);
            match News::decode(&buffer[..length]) {
                Ok(news) => self.hear(news, peer, &socket).await,
                Err(error) => log::warn!(target: "news", "A datagram of {peer} is none: {error}."),
            }
        }
    }

    async fn hear(self: &Arc<Self>, news: News, peer: SocketAddr, socket: &NewsSocket) {
        let Some(beat) = news.beats.first().cloned() else {
            return;
        };
        let Some(incarnation) = to_incarnation(&beat.incarnation) else {
            return;
        };
        if incarnation == self.incarnation {
            return;
        }
        let is_new = self.members.lock().member(incarnation).is_none();
        self.hear_sender(news.sender, &news.beats);
        for identity in news.identities {
            self.hear_identity(identity, &news.beats);
        }
        self.hear_beats(&news.beats);
        self.hear_suspects(&news.suspects);
        self.apply_reported_leaves(&news.leaving);
        let targets = news.targets.unwrap_or_default().rows();
        self.hear_targets(incarnation, &beat, &targets, news.is_whole);
        let calls_at = self.calls_at(incarnation).unwrap_or(peer);
        self.hear_version(calls_at, BundleVersion::new(beat.version));
        if let Some(list) = news.list {
            let age = list
                .age_ms
                .map(|age_ms| Microseconds::from_ms(u64::from(age_ms)));
            self.learn_list(calls_at, list.revision, list.digest, age);
            if let Some(steady_ms) = list.steady_ms {
                let steady = Microseconds::from_ms(u64::from(steady_ms));
                let since = self.now().saturating_sub(steady);
                self.targets.lock().record_peer_steady(since);
                self.expire_targets();
            }
        }
        if is_new || !news.wanted.is_empty() {
            let answer = self.introduction(&news.wanted);
            send_all(self, socket, &[peer], &answer).await;
        }
    }

    /// Where a peer takes calls, as it says itself.
    fn calls_at(&self, incarnation: Incarnation) -> Option<SocketAddr> {
        let members = self.members.lock();
        let member = members.member(incarnation)?;
        Some(member.row.peer_address)
    }

    fn hear_targets(&self, peer: Incarnation, beat: &Beat, news: &[TargetNews], is_whole: bool) {
        let snapshot = self.snapshot.load();
        let mut counts = self.peer_counts.lock();
        let is_speed_news =
            counts.hear(peer, beat.heartbeat, news, is_whole, &snapshot, self.now());
        drop(counts);
        if is_speed_news {
            self.wake_waiting();
        }
    }

    /// Lets one request of each service that has some waiting look again.
    fn wake_waiting(&self) {
        for service in self.snapshot.load().services.values() {
            if service.state.waiting() > 0 {
                service.place_freed.notify(1);
            }
        }
    }

    /// Describes this entry, those that were asked about, and some more.
    fn introduction(&self, wanted: &[Vec<u8>]) -> News {
        let wanted: Vec<Incarnation> = wanted
            .iter()
            .take(IDENTITIES_MAX)
            .filter_map(|bytes| to_incarnation(bytes))
            .collect();
        let members = self.members.lock();
        let mut rows = members.live_peers(self.now());
        fastrand::shuffle(&mut rows);
        rows.sort_by_key(|row| !wanted.contains(&row.incarnation));
        rows.truncate(IDENTITIES_MAX);
        let beats = std::iter::once(members.own()).chain(rows.iter().copied());
        News {
            sender: Some(identity_of(members.own())),
            beats: beats.map(beat_of).collect(),
            identities: rows.into_iter().map(identity_of).collect(),
            ..News::default()
        }
    }
}
