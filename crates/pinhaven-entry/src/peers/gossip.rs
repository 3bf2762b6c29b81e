//! Talking to the other entries: membership, versions and leaving targets.
//!
//! Each round an entry talks to one peer, drawn by lot; news goes to several at once. A message names
//! a bounded number of members, so that its size does not grow with the number of entries.

use crate::crashes::news::TOLD_BESIDE;
use crate::entry::Entry;
use crate::once_only::relay_server;
use crate::peers::gossip_message::BEATS_MAX;
use crate::peers::gossip_message::beat_of;
use crate::peers::gossip_message::identity_of;
use crate::peers::gossip_message::peer_address_of;
use crate::peers::gossip_message::row_of;
use crate::peers::gossip_message::some_beats;
use crate::peers::gossip_message::to_bytes;
use crate::peers::gossip_message::to_incarnation;
use crate::peers::gossip_message::with_beat;
use crate::watch::counters::Count;
use pinhaven_agree::MemberRow;
use pinhaven_peer::Beat;
use pinhaven_peer::ExchangeRequest;
use pinhaven_peer::ExchangeResponse;
use pinhaven_peer::FetchBundleRequest;
use pinhaven_peer::FetchBundleResponse;
use pinhaven_peer::Identity;
use pinhaven_peer::Peer;
use pinhaven_peer::RelayOnceRequest;
use pinhaven_peer::RelayOnceResponse;
use pinhaven_peer::Request;
use pinhaven_peer::Response;
use pinhaven_peer::Status;
use pinhaven_peer::async_trait;
use pinhaven_platform::Condition;
use pinhaven_platform::ENTRY_PREFIX;
use pinhaven_platform::PlatformError;
use pinhaven_platform::Row;
use pinhaven_platform::RowFault;
use pinhaven_platform::TableService;
use pinhaven_runtime::sleep_ms;
use pinhaven_runtime::within;
use pinhaven_types::BundleVersion;
use pinhaven_types::Incarnation;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Members asked about in one message.
const WANTED_MAX: usize = 20;
/// Peers that are told news at once.
const NEWS_FAN_OUT: usize = 4;
/// How long a peer may take for an exchange.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Rounds between two looks at the platform's list of entries.
const ROUNDS_PER_LISTING: u64 = 20;
/// Time between two tries to write this entry's row, in milliseconds.
const ROW_RETRY_MS: u64 = 1_000;

impl Entry {
    /// Talks to peers for ever.
    pub(crate) async fn gossip(self: Arc<Self>) {
        let mut random = fastrand::Rng::new();
        let mut rounds: u64 = 0;
        loop {
            if rounds.is_multiple_of(ROUNDS_PER_LISTING) {
                self.list_entries().await;
            }
            let has_news = self.beat();
            let mut peers = self.known_peer_addresses();
            random.shuffle(&mut peers);
            let fan_out = if has_news { NEWS_FAN_OUT } else { 1 };
            let (first, rest) = peers.split_at(peers.len().min(1));
            self.tell(&rest[..rest.len().min(fan_out - 1)]);
            // Listening begins before the exchange, so that what it brings is not missed.
            let news = self.news.listen();
            if let Some(peer) = first.first() {
                self.exchange_with(*peer).await;
            }
            rounds += 1;
            let round = Duration::from_millis(self.settings.gossip_ms);
            if within(round, news).await.is_some() {
                self.beat();
                self.tell(&peers[..peers.len().min(NEWS_FAN_OUT)]);
            }
        }
    }

    /// Exchanges with several peers at once.
    fn tell(self: &Arc<Self>, peers: &[SocketAddr]) {
        for peer in peers {
            let entry = Arc::clone(self);
            let peer = *peer;
            pinhaven_runtime::spawn(async move { entry.exchange_with(peer).await }).detach();
        }
    }

    /// Beats the heart once. Returns whether there is news of leaving targets.
    fn beat(&self) -> bool {
        let snapshot = self.snapshot.load();
        let now = self.now();
        let has_news = self.leaving.lock().collect(&snapshot, now);
        let epoch = self.ledger.lock().epoch().0;
        let mut members = self.members.lock();
        members.advance_heartbeat(snapshot.version, epoch);
        members.remove_silent(now);
        has_news
    }

    /// Exchanges with one peer, and takes its newer version if it has one.
    pub(crate) async fn exchange_with(self: &Arc<Self>, peer: SocketAddr) {
        use prost::Message as _;
        let request = self.exchange_request();
        self.counters.add(Count::Exchanges);
        let sent = request.encoded_len() as u64;
        self.counters.add_many(Count::PeerBytes, sent);
        let response = self.peers.exchange(peer, EXCHANGE_TIMEOUT, request).await;
        let response = match response {
            Ok(response) => response,
            Err(error) => {
                self.counters.add(Count::ExchangeFailed);
                log::debug!(target: "gossip", "{error}.");
                return;
            }
        };
        let received = response.encoded_len() as u64;
        self.counters.add_many(Count::PeerBytes, received);
        let newest = self.take_response(response);
        if newest > self.version.lock().version() {
            self.version_lag.lock().record_known(newest, self.now());
            // A large version may take long; heartbeats must go on meanwhile.
            let entry = Arc::clone(self);
            pinhaven_runtime::spawn(async move { entry.fetch_from(peer).await }).detach();
        }
    }

    fn exchange_request(&self) -> ExchangeRequest {
        let suspects = self.suspects_to_tell(TOLD_BESIDE, 1);
        let members = self.members.lock();
        let wanted = self.unknown_members.lock();
        ExchangeRequest {
            suspects,
            sender: Some(identity_of(members.own())),
            beats: some_beats(members.rows()),
            wanted: wanted.iter().take(WANTED_MAX).map(to_bytes).collect(),
            leaving: self.leaving.lock().recent(self.now()),
        }
    }

    /// Takes a peer's answer in; returns the version that the peer itself has in force.
    fn take_response(&self, response: ExchangeResponse) -> BundleVersion {
        self.apply_leaving(&response.leaving);
        self.hear_suspects(&response.suspects);
        let newest = self.hear_sender(response.sender, &response.beats);
        for identity in response.identities {
            self.hear_identity(identity, &response.beats);
        }
        self.hear_beats(&response.beats);
        newest
    }

    /// Takes in what a peer says of itself; returns its version in force.
    pub(crate) fn hear_sender(&self, sender: Option<Identity>, beats: &[Beat]) -> BundleVersion {
        let row = sender.and_then(|sender| row_of(sender, beats));
        let Some(row) = row else {
            return BundleVersion::NONE;
        };
        let version = row.version;
        self.unknown_members.lock().remove(&row.incarnation);
        self.members.lock().record_member(row, self.now());
        version
    }

    pub(crate) fn hear_identity(&self, identity: Identity, beats: &[Beat]) {
        if let Some(row) = row_of(identity, beats) {
            self.unknown_members.lock().remove(&row.incarnation);
            self.members.lock().record_relayed_member(row, self.now());
        }
    }

    pub(crate) fn hear_beats(&self, beats: &[Beat]) {
        let now = self.now();
        let mut members = self.members.lock();
        for beat in beats {
            let Some(incarnation) = to_incarnation(&beat.incarnation) else {
                continue;
            };
            if incarnation == self.incarnation {
                continue;
            }
            match members.member(incarnation) {
                None => {
                    self.unknown_members.lock().insert(incarnation);
                }
                Some(member) => {
                    let row = with_beat(member.row.clone(), beat);
                    members.record_relayed_member(row, now);
                }
            }
        }
        let mut unknown = self.unknown_members.lock();
        while unknown.len() > BEATS_MAX {
            unknown.pop_first();
        }
    }

    /// Reads the platform's list of entries.
    async fn list_entries(&self) {
        let listed = self.table.list(ENTRY_PREFIX).await;
        let Ok(rows) = self.count_platform(listed) else {
            return;
        };
        let now = self.now();
        let mut members = self.members.lock();
        for row in rows {
            match to_member(&row) {
                Ok(row) => {
                    members.record_relayed_member(row, now);
                }
                Err(fault) => self.table.leave_out(ENTRY_PREFIX, &row.key, &fault),
            }
        }
    }

    /// Writes this entry's own row, trying until the platform takes it.
    pub(crate) async fn write_own_row(&self) {
        loop {
            match self.try_write_own_row().await {
                Ok(()) => return,
                Err(error) => log::warn!(target: "gossip", "The own row is not written: {error}."),
            }
            sleep_ms(ROW_RETRY_MS).await;
        }
    }

    async fn try_write_own_row(&self) -> Result<(), PlatformError> {
        let row = self.members.lock().own().clone();
        let key = format!("{ENTRY_PREFIX}{}", row.instance_id);
        let value = serde_json::to_string(&row).unwrap_or_default();
        let listed = self.count_platform(self.table.read(&key).await)?;
        let condition = match listed {
            None => Condition::Absent,
            Some(listed) => Condition::Version(listed.version),
        };
        let written = self.table.write(&key, condition, value).await;
        self.count_platform(written).map(|_| ())
    }
}

/// What an entry wrote of itself under its own key.
fn to_member(row: &Row) -> Result<MemberRow, RowFault> {
    let member: MemberRow = serde_json::from_str(&row.value).map_err(RowFault::form)?;
    let name = row.key.strip_prefix(ENTRY_PREFIX);
    if name != Some(member.instance_id.as_str()) {
        return Err(RowFault::key(format!(
            "it names entry {}",
            member.instance_id
        )));
    }
    Ok(member)
}

/// Answers to peers.
pub(crate) struct PeerAnswers(pub(crate) Arc<Entry>);

#[async_trait]
impl Peer for PeerAnswers {
    async fn exchange(
        &self,
        request: Request<ExchangeRequest>,
    ) -> Result<Response<ExchangeResponse>, Status> {
        use prost::Message as _;
        let entry = &self.0;
        let request = request.into_inner();
        let received = request.encoded_len() as u64;
        entry.apply_leaving(&request.leaving);
        entry.hear_suspects(&request.suspects);
        let sender = request.sender.as_ref().and_then(peer_address_of);
        let newest = entry.hear_sender(request.sender, &request.beats);
        entry.hear_beats(&request.beats);
        if newest > entry.version.lock().version()
            && let Some(peer) = sender
        {
            entry.version_lag.lock().record_known(newest, entry.now());
            let entry = Arc::clone(entry);
            pinhaven_runtime::spawn(async move { entry.fetch_from(peer).await }).detach();
        }
        let response = answer_exchange(entry, &request.wanted);
        let bytes = received + response.encoded_len() as u64;
        entry.counters.add_many(Count::PeerBytes, bytes);
        Ok(Response::new(response))
    }

    async fn fetch_bundle(
        &self,
        request: Request<FetchBundleRequest>,
    ) -> Result<Response<FetchBundleResponse>, Status> {
        Ok(Response::new(self.0.give_version(&request.into_inner())))
    }

    async fn relay_once(
        &self,
        request: Request<RelayOnceRequest>,
    ) -> Result<Response<RelayOnceResponse>, Status> {
        let answer = relay_server::answer_relayed(&self.0, request.into_inner()).await;
        Ok(Response::new(answer))
    }
}

fn answer_exchange(entry: &Entry, wanted: &[Vec<u8>]) -> ExchangeResponse {
    let suspects = entry.suspects_to_tell(TOLD_BESIDE, 1);
    let members = entry.members.lock();
    let rows = members.rows();
    let wanted: Vec<Incarnation> = wanted
        .iter()
        .take(WANTED_MAX)
        .filter_map(|bytes| to_incarnation(bytes))
        .collect();
    let asked_for: Vec<&MemberRow> = rows
        .iter()
        .filter(|row| wanted.contains(&row.incarnation))
        .collect();
    let identities = asked_for.iter().map(|row| identity_of(row)).collect();
    let mut beats: Vec<Beat> = asked_for.iter().map(|row| beat_of(row)).collect();
    let sender = Some(identity_of(members.own()));
    drop(asked_for);
    beats.extend(some_beats(rows));
    ExchangeResponse {
        sender,
        beats,
        identities,
        leaving: entry.leaving.lock().recent(entry.now()),
        suspects,
    }
}
