//! Telling other entries the news, as datagrams.
//!
//! The entries that serve tell each other every few milliseconds what they have under way and how
//! fast the targets say they are; those of other failure domains less often while targets have room. To
//! the others they only tell now and then that they live. An entry that does not serve tells one that does,
//! which passes it on.

use crate::crashes::news::TOLD_BESIDE;
use crate::entry::Entry;
use crate::error::EntryError;
use crate::error::EntryStep;
use crate::peers::gossip_message::beat_of;
use crate::peers::gossip_message::identity_of;
use crate::peers::gossip_message::to_bytes;
use crate::peers::news_message::gather;
use crate::peers::recipients::Occasion;
use crate::peers::recipients::Recipients;
use crate::watch::beliefs::LivePeers;
use crate::watch::counters::Count;
use async_io::Async;
use pinhaven_agree::DemandMeter;
use pinhaven_agree::MemberRow;
use pinhaven_decide::AdvertisedTargets;
use pinhaven_peer::Beat;
use pinhaven_peer::ListNews;
use pinhaven_peer::News;
use pinhaven_peer::TargetColumns;
use pinhaven_peer::TargetNews;
use pinhaven_runtime::within;
use pinhaven_types::Microseconds;
use prost::Message as _;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::sync::Arc;
use std::time::Duration;

/// Time between two rounds while targets have room, in milliseconds. A target's speed lasts some
/// hundred milliseconds, and a slot that is taken meanwhile is not the last one.
const ROUND_MOST_MS: f32 = 50.0;
/// Time between two rounds when targets are full, in milliseconds. Who has the last free slot changes
/// with each request then.
const ROUND_LEAST_MS: f32 = 8.0;
/// How many times longer that is for receivers in other failure domains while targets have room: each target
/// has an owner in its own domain, and others send there only when theirs are full. With what is left out of
/// datagrams this halves the traffic between domains of a calm day (0.008 to 0.004 GB, 17 entries, three runs without processor time).
const FAR_ROUND_FACTOR: f32 = 2.5;
/// Time between two rounds of an entry that has nothing to tell but that it lives.
const ROUND_OF_IDLE: Duration = Duration::from_millis(250);
/// Use of a service's slots from which rounds get shorter, and at which they are shortest.
const BUSY_USE: (f32, f32) = (0.15, 0.45);
/// Time between two whole datagrams, which make good for lost ones.
const WHOLE_EVERY: Microseconds = Microseconds::from_ms(500);
/// Share of the link that news may take; rounds get longer when it would be more.
const NEWS_LINK_SHARE: f64 = 0.06;
/// Bytes a second in a megabit a second.
const BYTES_PER_MEGABIT: f64 = 125_000.0;
/// Age of an entry until which it meets the others.
const MEETING_TIME: Microseconds = Microseconds::from_ms(600);
/// Time between two whole datagrams of an entry of that age. It learns of others with each.
const WHOLE_EVERY_WHILE_MEETING: Microseconds = Microseconds::from_ms(60);
/// An entry whose last read of the list is older than this does not read at present.
const READS_WITHIN: Microseconds = Microseconds::from_ms(2_000);
/// Beats of other entries in a whole datagram to this failure domain, and to others, whose entries hear most
/// beats at first hand.
const BEATS_PASSED_ON: usize = 6;
const BEATS_PASSED_ON_FAR: usize = 2;
/// Time between two descriptions of this entry in its datagrams. Who knows only its beat asks for one.
const IDENTITY_EVERY: Microseconds = Microseconds::from_ms(2_000);
/// Entries described or asked about in one datagram, so that it fits into one packet.
pub(crate) const IDENTITIES_MAX: usize = 6;
/// Crashes at which a request was there before entries that stand by are told of it.
const REPEATED_CRASHES: usize = 2;
/// Targets in one datagram, so that it fits into one packet.
const TARGETS_MAX: usize = 160;

/// The socket for news.
pub(crate) type NewsSocket = Async<UdpSocket>;

/// Opens the socket for news, at the address for peers.
///
/// # Errors
///
/// [`EntryError`] when the address can't be had.
pub(crate) fn listen(address: SocketAddr) -> Result<Arc<NewsSocket>, EntryError> {
    let socket = Async::<UdpSocket>::bind(address);
    socket.map(Arc::new).map_err(|error| EntryError::System {
        step: EntryStep::ListenForNews,
        peer: address.to_string(),
        message: error.to_string(),
    })
}

/// The entries of one failure domain or of all others, and what they have been told so far.
#[derive(Default)]
struct Audience {
    told: AdvertisedTargets,
    told_at: Microseconds,
}

/// What a datagram says beside targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Extent {
    /// Only that this entry lives.
    Round,
    /// Who lives, too, and which list of targets this entry has.
    Whole {
        beats_passed_on: usize,
        has_identity: bool,
    },
}

/// What has been told so far.
#[derive(Default)]
struct Sender {
    whole_at: Microseconds,
    identity_at: Microseconds,
    near: Audience,
    far: Audience,
    live_peers: LivePeers,
    sends_often: bool,
    list_told_at: Option<Microseconds>,
    demand: DemandMeter,
    /// The least time until the next round, so that news stay within their rate.
    pause_least: Duration,
}

impl Entry {
    /// Tells news, for ever.
    pub(crate) async fn tell_news(self: Arc<Self>, socket: Arc<NewsSocket>) {
        let mut sender = Sender::default();
        // Others should hear of this entry at once.
        self.tell_round(&mut sender, &socket, true).await;
        loop {
            let news = self.news.listen();
            let is_urgent = within(self.round(&sender), news).await.is_some();
            self.tell_round(&mut sender, &socket, is_urgent).await;
        }
    }

    async fn tell_round(&self, sender: &mut Sender, socket: &NewsSocket, is_urgent: bool) {
        let now = self.now();
        let list_read_at = self.list_read_at(now);
        let has_read_list = list_read_at > sender.list_told_at;
        let may_be_first = self.is_meeting() || self.is_delegate(now);
        let is_first_hand = has_read_list || (is_urgent && may_be_first);
        let is_due = now.saturating_sub(sender.whole_at) >= self.whole_every();
        let is_whole = is_urgent || has_read_list || is_due;
        if is_whole {
            sender.whole_at = now;
            self.look_at_peers(sender, now);
        }
        let occasion = match is_first_hand {
            true => Occasion::FirstHand,
            false => Occasion::Beat,
        };
        let recipients = self.recipients(occasion, now);
        sender.sends_often = recipients.sends_often;
        if !is_whole && !recipients.sends_often {
            return;
        }
        self.count_beat();
        sender.list_told_at = list_read_at;
        let bytes = self
            .tell_recipients(&recipients, sender, is_whole, is_urgent, socket)
            .await;
        let link = self.settings.resources.link_mbps * BYTES_PER_MEGABIT;
        sender.pause_least = Duration::from_secs_f64(bytes as f64 / (link * NEWS_LINK_SHARE));
    }

    /// Tells all who are to hear this round. Returns the bytes that were sent.
    async fn tell_recipients(
        &self,
        recipients: &Recipients,
        sender: &mut Sender,
        is_whole: bool,
        is_urgent: bool,
        socket: &NewsSocket,
    ) -> usize {
        let now = self.now();
        if !is_whole {
            let round = Extent::Round;
            let near = &recipients.close;
            let mut bytes = self.tell_close(near, &mut sender.near, round, socket).await;
            if now.saturating_sub(sender.far.told_at) >= self.far_round() {
                let far = &recipients.close_far;
                bytes += self.tell_close(far, &mut sender.far, round, socket).await;
            }
            return bytes;
        }
        let is_meeting = self.is_meeting();
        let is_due = now.saturating_sub(sender.identity_at) >= IDENTITY_EVERY;
        let has_identity = is_urgent || is_meeting || is_due;
        if has_identity {
            sender.identity_at = now;
        }
        let whole = |beats_passed_on| Extent::Whole {
            beats_passed_on,
            has_identity,
        };
        let near = whole(BEATS_PASSED_ON);
        let far = match is_meeting {
            true => near,
            false => whole(BEATS_PASSED_ON_FAR),
        };
        let mut bytes = self
            .tell_close(&recipients.close, &mut sender.near, near, socket)
            .await;
        bytes += self
            .tell_close(&recipients.close_far, &mut sender.far, far, socket)
            .await;
        let mut beat = self.message(&[], far);
        // Entries that stand by get no part of what may be innocent: it would go to all of them.
        beat.suspects = self.suspects_to_tell(TOLD_BESIDE, REPEATED_CRASHES);
        bytes + send_all(self, socket, &recipients.distant, &beat).await
    }

    fn whole_every(&self) -> Microseconds {
        match self.is_meeting() {
            true => WHOLE_EVERY_WHILE_MEETING,
            false => WHOLE_EVERY,
        }
    }

    /// Whether this entry has just started and may not know all others yet.
    fn is_meeting(&self) -> bool {
        self.clock.age() < MEETING_TIME
    }

    /// Brings up to date what depends on which peers live.
    fn look_at_peers(&self, sender: &mut Sender, now: Microseconds) {
        self.members.lock().remove_silent(now);
        self.peer_counts.lock().forget_silent(now);
        let demand = sender
            .demand
            .record(self.counters.get(Count::Attempts), now);
        self.members.lock().set_demand(demand);
        self.share_added_attempts();
        self.record_peers(&mut sender.live_peers);
    }

    fn is_delegate(&self, now: Microseconds) -> bool {
        let members = self.members.lock();
        members.is_delegate(now)
    }

    /// Tells the entries of one audience of targets, and that this one lives. Returns the bytes sent.
    async fn tell_close(
        &self,
        peers: &[SocketAddr],
        audience: &mut Audience,
        extent: Extent,
        socket: &NewsSocket,
    ) -> usize {
        let now = self.now();
        audience.told_at = now;
        let is_whole = extent != Extent::Round;
        let snapshot = self.snapshot.load();
        let targets = gather(&mut audience.told, &snapshot, now, is_whole);
        if targets.is_empty() {
            if !is_whole {
                return 0;
            }
            let message = self.message(&targets, extent);
            return send_all(self, socket, peers, &message).await;
        }
        let fits = targets.len() <= TARGETS_MAX;
        let mut bytes = 0;
        for part in targets.chunks(TARGETS_MAX) {
            let mut message = self.message(part, extent);
            message.is_whole &= fits;
            bytes += send_all(self, socket, peers, &message).await;
        }
        bytes
    }

    /// Time until the next round: the shorter the fuller the targets of any service are, and long for
    /// an entry that has nothing under way and does not serve.
    fn round(&self, sender: &Sender) -> Duration {
        if self.is_meeting() {
            return Duration::from_micros(WHOLE_EVERY_WHILE_MEETING.count());
        }
        if !sender.sends_often && self.in_flight() == 0 {
            return ROUND_OF_IDLE;
        }
        let round_ms = round_ms(self.busy());
        Duration::from_micros((round_ms * 1_000.0) as u64).max(sender.pause_least)
    }

    /// Time between two rounds for the other failure domains.
    fn far_round(&self) -> Microseconds {
        let busy = self.busy();
        let factor = 1.0 + (FAR_ROUND_FACTOR - 1.0) * (1.0 - busy);
        // A round that comes up to half a round early is not left out for that.
        Microseconds::new((round_ms(busy) * (factor - 0.5) * 1_000.0) as u64)
    }

    /// How near the fullest service's targets are to being full, from 0 to 1, as far as rounds go by it.
    fn busy(&self) -> f32 {
        let (snapshot, now) = (self.snapshot.load(), self.now());
        let uses = snapshot
            .services
            .values()
            .map(|service| service.state.utilization(now));
        let most_used = uses.fold(0.0, f32::max);
        let (from, to) = BUSY_USE;
        ((most_used - from) / (to - from)).clamp(0.0, 1.0)
    }

    /// When this entry last read the list of targets.
    fn list_read_at(&self, now: Microseconds) -> Option<Microseconds> {
        let own_age = self.targets.lock().own_age(now);
        own_age.map(|age| now.saturating_sub(age))
    }

    fn count_beat(&self) {
        let version = self.snapshot.load().version;
        self.members.lock().advance_heartbeat(version, 0);
    }

    fn list_news(&self, now: Microseconds) -> Option<ListNews> {
        let known = self.targets.lock();
        if !known.is_known() {
            return None;
        }
        let own_age = known.own_age(now);
        let reads_now = own_age.is_some_and(|age| age < READS_WITHIN);
        let steady = known.steady_for(now).filter(|_| reads_now);
        Some(ListNews {
            revision: known.list().revision,
            digest: known.digest(),
            age_ms: own_age.map(|age| age.as_ms().ceil() as u32),
            steady_ms: steady.map(|steady| steady.as_ms() as u32),
        })
    }

    fn message(&self, targets: &[TargetNews], extent: Extent) -> News {
        let list = (extent != Extent::Round).then(|| self.list_news(self.now()));
        let suspects = match extent {
            Extent::Round => Vec::new(),
            Extent::Whole { .. } => self.suspects_to_tell(TOLD_BESIDE, 1),
        };
        let leaving = match extent {
            Extent::Round => Vec::new(),
            Extent::Whole { .. } => self.leaves_to_advertise(),
        };
        let members = self.members.lock();
        let own = members.own();
        let mut news = News {
            leaving,
            beats: vec![beat_of(own)],
            list: list.flatten(),
            targets: (!targets.is_empty()).then(|| TargetColumns::new(targets)),
            suspects,
            ..News::default()
        };
        let Extent::Whole {
            beats_passed_on,
            has_identity,
        } = extent
        else {
            return news;
        };
        let live = members.live_peers(self.now());
        news.beats.extend(some_live_beats(&live, beats_passed_on));
        news.sender = has_identity.then(|| identity_of(own));
        let unknown = self.unknown_members.lock();
        news.wanted = unknown.iter().take(IDENTITIES_MAX).map(to_bytes).collect();
        news.is_whole = true;
        news
    }
}

/// Time between two rounds when targets are `busy`, in milliseconds.
fn round_ms(busy: f32) -> f32 {
    ROUND_MOST_MS + (ROUND_LEAST_MS - ROUND_MOST_MS) * busy
}

fn some_live_beats(live: &[&MemberRow], count: usize) -> Vec<Beat> {
    let mut live = live.to_vec();
    fastrand::shuffle(&mut live);
    live.into_iter().take(count).map(beat_of).collect()
}

/// Sends a message to several peers. Returns the bytes that were sent.
pub(crate) async fn send_all(
    entry: &Entry,
    socket: &NewsSocket,
    peers: &[SocketAddr],
    message: &News,
) -> usize {
    let bytes = message.encode_to_vec();
    for peer in peers {
        entry
            .counters
            .add_many(Count::PeerBytes, bytes.len() as u64);
        if let Err(error) = socket.send_to(&bytes, *peer).await {
            log::debug!(target: "news", "Telling {peer} failed: {error}.");
        }
    }
    bytes.len() * peers.len()
}
