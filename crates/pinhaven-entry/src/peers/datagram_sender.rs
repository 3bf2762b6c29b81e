//! Sends datagrams to other entries.
//!
//! Entries that serve callers send each other, every few milliseconds, their requests in flight and the speeds that
//! targets report. Entries of other failure domains receive these updates less often while targets have capacity. All
//! other entries receive only an occasional heartbeat. An entry that does not serve sends its heartbeat to serving
//! entries, which relay it.

use crate::capacity::capacity_of;
use crate::crashes::advertise::SUSPECTS_PER_DATAGRAM;
use crate::entry::Entry;
use crate::error::EntryError;
use crate::error::EntryStep;
use crate::peers::gossip_message::identity_of;
use crate::peers::gossip_message::own_beat;
use crate::peers::gossip_message::to_beat;
use crate::peers::gossip_message::to_bytes;
use crate::peers::peer_counts::collect_updates;
use crate::peers::recipients::RecipientKind;
use crate::watch::counters::Count;
use crate::watch::state_changes::LivePeers;
use crate::watch::steps::Step;
use async_io::Async;
use pinhaven_agree::DemandMeter;
use pinhaven_agree::EntryWork;
use pinhaven_agree::FillLevel;
use pinhaven_agree::Recipients;
use pinhaven_agree::UpdateScope;
use pinhaven_decide::AdvertisedTargets;
use pinhaven_limits::AdvertisedCounts;
use pinhaven_peer::ListNews;
use pinhaven_peer::News;
use pinhaven_peer::TargetColumns;
use pinhaven_peer::TargetNews;
use pinhaven_runtime::busy_time;
use pinhaven_runtime::within;
use pinhaven_types::Microseconds;
use prost::Message as _;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Interval between rounds of an entry that has nothing to advertise but its heartbeat.
const IDLE_ROUND: Duration = Duration::from_millis(250);
/// Interval between full datagrams, which compensate for lost datagrams.
const FULL_INTERVAL: Microseconds = Microseconds::from_ms(500);
/// Maximum share of the link that datagrams may use. Intervals get longer where the share would be exceeded.
const DATAGRAM_LINK_SHARE: f64 = 0.06;
/// Bytes per second in one megabit per second.
const BYTES_PER_MEGABIT: f64 = 125_000.0;
/// Age of an entry until which the entry discovers its peers.
const DISCOVERY_PERIOD: Microseconds = Microseconds::from_ms(600);
/// Interval between full datagrams of an entry that discovers its peers. The entry learns of further peers with each
/// full datagram.
const DISCOVERY_INTERVAL: Microseconds = Microseconds::from_ms(60);
/// Maximum age of the last read of the target list of an entry that still counts as reading the list.
const READ_AGE_MAX: Microseconds = Microseconds::from_ms(2_000);
/// Number of heartbeats of other entries in a full datagram to the own failure domain.
const RELAYED_HEARTBEATS: usize = 6;
/// Number of heartbeats of other entries in a full datagram to other failure domains, whose entries receive most
/// heartbeats directly.
const RELAYED_HEARTBEATS_FAR: usize = 2;
/// Interval between descriptions of this entry in its datagrams. A peer that knows only the heartbeat requests the
/// description.
const IDENTITY_INTERVAL: Microseconds = Microseconds::from_ms(2_000);
/// Maximum number of entries described or requested in one datagram, so that the datagram fits into one packet.
pub(crate) const IDENTITIES_MAX: usize = 6;
/// Minimum number of crashes with a request in flight before standby entries receive evidence on the request.
const REPEATED_CRASHES_MIN: usize = 2;
/// Maximum number of targets in one datagram, so that the datagram fits into one packet.
const TARGETS_MAX: usize = 140;

/// Socket for datagrams between entries.
pub(crate) type DatagramSocket = Async<UdpSocket>;

/// Opens the datagram socket at the address for peers.
///
/// # Errors
///
/// [`EntryError`] if the address can't be bound.
pub(crate) fn listen(address: SocketAddr) -> Result<Arc<DatagramSocket>, EntryError> {
    let socket = Async::<UdpSocket>::bind(address);
    socket.map(Arc::new).map_err(|error| EntryError::System {
        step: EntryStep::ListenForDatagrams,
        peer: address.to_string(),
        message: error.to_string(),
    })
}

/// State that was sent to the entries of the own failure domain, or to the entries of all other failure domains.
struct RecipientGroup {
    kind: RecipientKind,
    advertised: AdvertisedTargets,
    /// Counts of admitted requests that were sent.
    counts: AdvertisedCounts,
    sent_at: Microseconds,
}

impl RecipientGroup {
    fn new(kind: RecipientKind) -> Self {
        Self {
            kind,
            advertised: AdvertisedTargets::default(),
            counts: AdvertisedCounts::default(),
            sent_at: Microseconds::ZERO,
        }
    }
}

/// Content of a datagram besides targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum UpdateKind {
    /// Only the heartbeat of this entry.
    Incremental,
    /// Also heartbeats of other members and the revision of the target list of this entry.
    Full {
        relayed: RelayedHeartbeats,
        has_identity: bool,
    },
}

/// Heartbeats of other members in a full datagram.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RelayedHeartbeats {
    /// Those of this number of random members.
    Random(usize),
    /// What a standby entry must know, and those of this number of random members.
    ForStandby(usize),
}

/// State of the datagram sender.
struct Sender {
    full_sent_at: Microseconds,
    identity_sent_at: Microseconds,
    near: RecipientGroup,
    far: RecipientGroup,
    live_peers: LivePeers,
    sends_every_round: bool,
    list_advertised_at: Option<Microseconds>,
    demand: DemandMeter,
    /// Minimum delay until the next round, so that datagrams stay within their share of the link.
    delay_min: Duration,
}

impl Sender {
    fn new(demand: DemandMeter) -> Self {
        Self {
            full_sent_at: Microseconds::ZERO,
            identity_sent_at: Microseconds::ZERO,
            near: RecipientGroup::new(RecipientKind::Near),
            far: RecipientGroup::new(RecipientKind::Far),
            live_peers: LivePeers::default(),
            sends_every_round: false,
            list_advertised_at: None,
            demand,
            delay_min: Duration::ZERO,
        }
    }
}

impl Entry {
    /// Sends datagrams in rounds. Runs until the process exits.
    pub(crate) async fn send_datagrams(self: Arc<Self>, socket: Arc<DatagramSocket>) {
        let capacity = capacity_of(&self.settings.resources);
        let mut sender = Sender::new(DemandMeter::new(capacity));
        // Peers should learn of this entry at once.
        self.send_round(&mut sender, &socket, true).await;
        loop {
            let urgent_update = self.urgent_update.listen();
            let is_urgent = within(self.next_round_delay(&sender), urgent_update)
                .await
                .is_some();
            self.send_round(&mut sender, &socket, is_urgent).await;
        }
    }

    async fn send_round(&self, sender: &mut Sender, socket: &DatagramSocket, is_urgent: bool) {
        let now = self.now();
        let list_read_at = self.list_read_at(now);
        let has_read_list = list_read_at > sender.list_advertised_at;
        let may_be_first_to_know = self.is_discovering() || self.uses_store(true);
        let is_direct = has_read_list || (is_urgent && may_be_first_to_know);
        let is_due = now.saturating_sub(sender.full_sent_at) >= self.full_interval();
        let is_full = is_urgent || has_read_list || is_due;
        if !is_full && !self.sends_every_round(now) {
            sender.sends_every_round = false;
            return;
        }
        if is_full {
            sender.full_sent_at = now;
            self.steps
                .record(Step::Peers, || self.refresh_peers(sender, now));
        }
        let scope = match is_direct {
            true => UpdateScope::Direct,
            false => UpdateScope::Heartbeat,
        };
        let recipients = self.recipients(scope, now);
        sender.sends_every_round = recipients.sends_every_round;
        if recipients.sends_every_round {
            self.served_at_us.store(now.count(), Ordering::Relaxed);
        }
        self.advance_heartbeat();
        sender.list_advertised_at = list_read_at;
        let bytes = self
            .send_to_recipients(&recipients, sender, is_full, is_urgent, socket)
            .await;
        let link_bytes_per_s = self.settings.resources.link_mbps * BYTES_PER_MEGABIT;
        sender.delay_min =
            Duration::from_secs_f64(bytes as f64 / (link_bytes_per_s * DATAGRAM_LINK_SHARE));
    }

    /// Sends the datagrams of one round to all recipients. Returns the number of bytes sent.
    async fn send_to_recipients(
        &self,
        recipients: &Recipients,
        sender: &mut Sender,
        is_full: bool,
        is_urgent: bool,
        socket: &DatagramSocket,
    ) -> usize {
        let now = self.now();
        if !is_full {
            let incremental = UpdateKind::Incremental;
            let near = &recipients.serving_near;
            let mut bytes = self
                .send_to_group(near, &mut sender.near, incremental, socket)
                .await;
            let far = &recipients.serving_far;
            let cost = self.settings.crossing_cost;
            let interval = self.fill_level().far_interval(far.len(), cost);
            if now.saturating_sub(sender.far.sent_at) >= interval {
                bytes += self
                    .send_to_group(far, &mut sender.far, incremental, socket)
                    .await;
            }
            return bytes;
        }
        let is_discovering = self.is_discovering();
        let is_due = now.saturating_sub(sender.identity_sent_at) >= IDENTITY_INTERVAL;
        let has_identity = is_urgent || is_discovering || is_due;
        if has_identity {
            sender.identity_sent_at = now;
        }
        let full = |relayed| UpdateKind::Full {
            relayed,
            has_identity,
        };
        let relayed_far = match is_discovering {
            true => RELAYED_HEARTBEATS,
            false => RELAYED_HEARTBEATS_FAR,
        };
        let near = full(RelayedHeartbeats::Random(RELAYED_HEARTBEATS));
        let far = full(RelayedHeartbeats::Random(relayed_far));
        let standby = full(RelayedHeartbeats::ForStandby(relayed_far));
        let mut bytes = self
            .send_to_group(&recipients.serving_near, &mut sender.near, near, socket)
            .await;
        bytes += self
            .send_to_group(&recipients.serving_far, &mut sender.far, far, socket)
            .await;
        let mut heartbeat = self.message(&[], standby);
        // Standby entries receive no evidence on requests that may be innocent: it would be sent to all of them.
        heartbeat.reaches.extend(self.reaches_to_relay(now));
        heartbeat.suspects =
            self.suspects_to_advertise(SUSPECTS_PER_DATAGRAM, REPEATED_CRASHES_MIN);
        bytes += send_all(
            self,
            socket,
            RecipientKind::Standby,
            &recipients.standby,
            &heartbeat,
        )
        .await;
        bytes + self.request_descriptions(recipients, socket).await
    }

    /// Asks one recipient to describe the members that this entry knows only from heartbeats. Returns the number of
    /// bytes sent.
    async fn request_descriptions(
        &self,
        recipients: &Recipients,
        socket: &DatagramSocket,
    ) -> usize {
        let wanted: Vec<Vec<u8>> = {
            let unknown = self.unknown_members.lock();
            unknown.iter().take(IDENTITIES_MAX).map(to_bytes).collect()
        };
        if wanted.is_empty() {
            return 0;
        }
        let Some(peer) = recipients.to_ask(&mut fastrand::Rng::new()) else {
            return 0;
        };
        let request = News {
            wanted,
            ..self.message(&[], UpdateKind::Incremental)
        };
        send_all(self, socket, RecipientKind::Describe, &[peer], &request).await
    }

    fn full_interval(&self) -> Microseconds {
        match self.is_discovering() {
            true => DISCOVERY_INTERVAL,
            false => FULL_INTERVAL,
        }
    }

    /// Whether this entry started recently and may not know all peers yet.
    fn is_discovering(&self) -> bool {
        self.clock.age() < DISCOVERY_PERIOD
    }

    /// Updates the state that depends on which peers are live.
    fn refresh_peers(&self, sender: &mut Sender, now: Microseconds) {
        self.members.lock().remove_silent(now);
        self.peer_counts.lock().remove_silent(now);
        let total = EntryWork {
            requests: self.counters.get(Count::Attempts),
            busy_time: Microseconds::new(busy_time().as_micros() as u64),
        };
        let demand = sender.demand.record(total, now);
        self.members.lock().set_demand(demand);
        self.share_added_attempts();
        self.record_peers(&mut sender.live_peers);
    }

    /// Sends target updates and the heartbeat to one recipient group. Returns the number of bytes sent.
    async fn send_to_group(
        &self,
        peers: &[SocketAddr],
        group: &mut RecipientGroup,
        kind: UpdateKind,
        socket: &DatagramSocket,
    ) -> usize {
        let now = self.now();
        group.sent_at = now;
        let is_full = kind != UpdateKind::Incremental;
        let snapshot = self.snapshot.load();
        let targets = collect_updates(&mut group.advertised, &snapshot, now, is_full);
        let mut organisations = self.counts_to_advertise(&mut group.counts, is_full, now);
        if targets.is_empty() {
            if !is_full && organisations.is_none() {
                return 0;
            }
            let message = News {
                organisations,
                ..self.message(&targets, kind)
            };
            return send_all(self, socket, group.kind, peers, &message).await;
        }
        let fits_in_one = targets.len() <= TARGETS_MAX;
        let mut bytes = 0;
        for part in targets.chunks(TARGETS_MAX) {
            let mut message = self.message(part, kind);
            message.is_whole &= fits_in_one;
            message.organisations = organisations.take();
            bytes += send_all(self, socket, group.kind, peers, &message).await;
        }
        bytes
    }

    /// Delay until the next round. The delay is shorter the fuller the targets of any service are, and long for an
    /// entry that does not serve and has no requests in flight.
    fn next_round_delay(&self, sender: &Sender) -> Duration {
        if self.is_discovering() {
            return Duration::from_micros(DISCOVERY_INTERVAL.count());
        }
        if !sender.sends_every_round && self.in_flight() == 0 {
            return IDLE_ROUND;
        }
        let interval = self.fill_level().round_interval();
        Duration::from_micros(interval.count()).max(sender.delay_min)
    }

    /// How full the targets of the fullest service are.
    fn fill_level(&self) -> FillLevel {
        let (snapshot, now) = (self.snapshot.load(), self.now());
        let utilizations = snapshot
            .services
            .values()
            .map(|service| service.state.utilization(now));
        FillLevel::new(utilizations.fold(0.0, f32::max))
    }

    /// When this entry itself last read the target list.
    fn list_read_at(&self, now: Microseconds) -> Option<Microseconds> {
        let own_age = self.targets.lock().own_age(now);
        own_age.map(|age| now.saturating_sub(age))
    }

    fn advance_heartbeat(&self) {
        let version = self.snapshot.load().version;
        self.members.lock().advance_heartbeat(version, 0);
    }

    fn list_update(&self, now: Microseconds) -> Option<ListNews> {
        let serves = self.sends_every_round(now);
        let known = self.targets.lock();
        if !known.is_known() {
            return None;
        }
        let own_age = known.own_age(now);
        let reads_now = own_age.is_some_and(|age| age < READ_AGE_MAX);
        let steady = known.steady_for(now).filter(|_| reads_now);
        Some(ListNews {
            revision: known.list().revision,
            digest: known.digest(),
            age_ms: own_age.map(|age| age.as_ms().ceil() as u32),
            steady_ms: steady.map(|steady| steady.as_ms() as u32),
            heard_age_ms: known
                .age(now)
                .filter(|_| serves)
                .map(|age| age.as_ms().ceil() as u32),
        })
    }

    fn message(&self, targets: &[TargetNews], kind: UpdateKind) -> News {
        let list = (kind != UpdateKind::Incremental).then(|| self.list_update(self.now()));
        let suspects = match kind {
            UpdateKind::Incremental => Vec::new(),
            UpdateKind::Full { .. } => self.suspects_to_advertise(SUSPECTS_PER_DATAGRAM, 1),
        };
        let leaving = match kind {
            UpdateKind::Incremental => Vec::new(),
            UpdateKind::Full { .. } => {
                let round = self.members.lock().own().heartbeat;
                self.leaves_to_advertise(round)
            }
        };
        let reaches = match kind {
            UpdateKind::Incremental => Vec::new(),
            UpdateKind::Full { .. } => self.own_reaches(self.now()),
        };
        let drains = match kind {
            UpdateKind::Incremental => None,
            UpdateKind::Full { .. } => self.drains_to_advertise(),
        };
        let members = self.members.lock();
        let own = members.own();
        let mut message = News {
            drains,
            reaches,
            leaving,
            beats: vec![own_beat(own)],
            list: list.flatten(),
            targets: (!targets.is_empty()).then(|| TargetColumns::new(targets)),
            suspects,
            ..News::default()
        };
        let UpdateKind::Full {
            relayed,
            has_identity,
        } = kind
        else {
            return message;
        };
        let (random, now) = (&mut fastrand::Rng::new(), self.now());
        let relayed = match relayed {
            RelayedHeartbeats::Random(count) => members.heartbeats_to_relay(count, random, now),
            RelayedHeartbeats::ForStandby(count) => {
                members.heartbeats_for_standby(count, random, now)
            }
        };
        message.beats.extend(relayed.iter().map(to_beat));
        message.sender = has_identity.then(|| identity_of(own));
        message.is_whole = true;
        message
    }
}

/// Sends a message to several peers. Returns the number of bytes sent.
pub(crate) async fn send_all(
    entry: &Entry,
    socket: &DatagramSocket,
    kind: RecipientKind,
    peers: &[SocketAddr],
    message: &News,
) -> usize {
    let bytes = message.encode_to_vec();
    let (datagrams, datagram_bytes) = kind.counts();
    entry.counters.add_many(datagrams, peers.len() as u64);
    let sent_bytes = (bytes.len() * peers.len()) as u64;
    entry.counters.add_many(datagram_bytes, sent_bytes);
    for peer in peers {
        entry
            .counters
            .add_many(Count::PeerBytes, bytes.len() as u64);
        if let Err(error) = socket.send_to(&bytes, *peer).await {
            log::debug!(target: "news", "Sending to {peer} failed: {error}.");
        }
    }
    bytes.len() * peers.len()
}
