//! Exchanges membership, bundle versions and leaving targets with other entries by RPC.
//!
//! Each round an entry exchanges with one random peer; a newly leaving target is sent to several peers at once. A
//! message names a bounded number of members, so that its size does not grow with the number of entries.

use crate::crashes::advertise::SUSPECTS_PER_DATAGRAM;
use crate::entry::Entry;
use crate::once_only::relay_server;
use crate::peers::gossip_message::HEARTBEATS_MAX;
use crate::peers::gossip_message::identity_of;
use crate::peers::gossip_message::incarnation_of;
use crate::peers::gossip_message::peer_address_of;
use crate::peers::gossip_message::row_of;
use crate::peers::gossip_message::sample_heartbeats;
use crate::peers::gossip_message::to_beat;
use crate::peers::gossip_message::to_bytes;
use crate::peers::gossip_message::to_heartbeat;
use crate::peers::gossip_message::to_incarnation;
use crate::request::forwarded::serve_forwarded;
use crate::watch::counters::Count;
use crate::watch::steps::Step;
use pinhaven_agree::HeartbeatSource;
use pinhaven_agree::MemberRow;
use pinhaven_peer::Beat;
use pinhaven_peer::ExchangeRequest;
use pinhaven_peer::ExchangeResponse;
use pinhaven_peer::FetchBundleRequest;
use pinhaven_peer::FetchBundleResponse;
use pinhaven_peer::ForwardRequest;
use pinhaven_peer::ForwardResponses;
use pinhaven_peer::Identity;
use pinhaven_peer::Peer;
use pinhaven_peer::RelayOnceRequest;
use pinhaven_peer::RelayOnceResponse;
use pinhaven_peer::Request;
use pinhaven_peer::Response;
use pinhaven_peer::Status;
use pinhaven_peer::Streaming;
use pinhaven_peer::answer_parts;
use pinhaven_peer::async_trait;
use pinhaven_peer::receive_request;
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
use pinhaven_types::Microseconds;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Maximum number of members whose description one message requests.
const WANTED_MAX: usize = 20;
/// Number of peers that receive an urgent update at once.
const UPDATE_FAN_OUT: usize = 4;
/// Timeout of an exchange with a peer.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Number of rounds between two reads of the platform's list of entries.
const ROUNDS_PER_LISTING: u64 = 20;
/// Delay between two attempts to write this entry's row, in milliseconds.
const ROW_RETRY_MS: u64 = 1_000;

impl Entry {
    /// Exchanges with peers in rounds. Runs until the process exits.
    pub(crate) async fn gossip(self: Arc<Self>) {
        let mut random = fastrand::Rng::new();
        let mut rounds: u64 = 0;
        loop {
            if rounds.is_multiple_of(ROUNDS_PER_LISTING) {
                self.list_entries().await;
            }
            let has_updates = self.begin_gossip_round();
            let mut peers = self.known_peer_addresses();
            random.shuffle(&mut peers);
            let fan_out = if has_updates { UPDATE_FAN_OUT } else { 1 };
            let (first, rest) = peers.split_at(peers.len().min(1));
            self.exchange_with_all(&rest[..rest.len().min(fan_out - 1)]);
            // The listener is created before the exchange, so that a notification during the exchange is not missed.
            let urgent_update = self.urgent_update.listen();
            if let Some(peer) = first.first() {
                self.exchange_with(*peer).await;
            }
            rounds += 1;
            let round = Duration::from_millis(self.settings.gossip_ms);
            if within(round, urgent_update).await.is_some() {
                self.begin_gossip_round();
                self.exchange_with_all(&peers[..peers.len().min(UPDATE_FAN_OUT)]);
            }
        }
    }

    /// Exchanges with several peers at once.
    fn exchange_with_all(self: &Arc<Self>, peers: &[SocketAddr]) {
        for peer in peers {
            let entry = Arc::clone(self);
            let peer = *peer;
            pinhaven_runtime::spawn(async move { entry.exchange_with(peer).await }).detach();
        }
    }

    /// Advances the heartbeat and removes silent members. Returns whether any target is newly leaving.
    fn begin_gossip_round(&self) -> bool {
        let snapshot = self.snapshot.load();
        let now = self.now();
        let has_updates = self.leaving.lock().collect(&snapshot, now);
        let epoch = self.ledger.lock().epoch().0;
        let mut members = self.members.lock();
        members.advance_heartbeat(snapshot.version, epoch);
        members.remove_silent(now);
        has_updates
    }

    /// Exchanges with one peer, and starts to fetch the peer's version if that version is newer.
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
        let peer_version = self.record_response(response);
        if peer_version > self.version.lock().version() {
            self.version_lag
                .lock()
                .record_known(peer_version, self.now());
            // Fetching a large version may take long, so a separate task fetches it and heartbeats continue.
            let entry = Arc::clone(self);
            pinhaven_runtime::spawn(async move { entry.fetch_from(peer).await }).detach();
        }
    }

    fn exchange_request(&self) -> ExchangeRequest {
        let suspects = self.suspects_to_advertise(SUSPECTS_PER_DATAGRAM, 1);
        let members = self.members.lock();
        let wanted = self.unknown_members.lock();
        ExchangeRequest {
            suspects,
            sender: Some(identity_of(members.own())),
            beats: sample_heartbeats(members.heartbeats(self.now())),
            wanted: wanted.iter().take(WANTED_MAX).map(to_bytes).collect(),
            leaving: self.leaving.lock().recent(self.now()),
        }
    }

    /// Records a peer's answer. Returns the version that the peer has in force.
    fn record_response(&self, response: ExchangeResponse) -> BundleVersion {
        self.apply_leaving(&response.leaving);
        self.merge_suspects(&response.suspects);
        let sender = response.sender.as_ref().and_then(incarnation_of);
        let peer_version = self.record_sender(response.sender, &response.beats);
        for identity in response.identities {
            self.record_identity(identity, &response.beats);
        }
        self.record_heartbeats(sender, &response.beats);
        peer_version
    }

    /// Records what a peer reports about itself. Returns the version that the peer has in force.
    pub(crate) fn record_sender(&self, sender: Option<Identity>, beats: &[Beat]) -> BundleVersion {
        let described = sender.and_then(|sender| row_of(sender, beats));
        let Some((row, _)) = described else {
            return BundleVersion::NONE;
        };
        let version = row.version;
        self.unknown_members.lock().remove(&row.incarnation);
        self.members.lock().record_member(row, self.now());
        version
    }

    pub(crate) fn record_identity(&self, identity: Identity, beats: &[Beat]) {
        if let Some((row, age)) = row_of(identity, beats) {
            self.unknown_members.lock().remove(&row.incarnation);
            let now = self.now();
            self.members.lock().record_relayed_member(row, age, now);
        }
    }

    /// Records the heartbeats of a message from `sender`.
    pub(crate) fn record_heartbeats(&self, sender: Option<Incarnation>, beats: &[Beat]) {
        let now = self.now();
        let mut members = self.members.lock();
        for heartbeat in beats.iter().filter_map(to_heartbeat) {
            let source = match sender == Some(heartbeat.incarnation) {
                true => HeartbeatSource::Member,
                false => HeartbeatSource::Relay,
            };
            if !members.record_heartbeat(&heartbeat, source, now) {
                self.unknown_members.lock().insert(heartbeat.incarnation);
            }
        }
        let mut unknown = self.unknown_members.lock();
        while unknown.len() > HEARTBEATS_MAX {
            unknown.pop_first();
        }
    }

    /// Reads the platform's list of entries and records its rows as members.
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
                    members.record_relayed_member(row, Microseconds::ZERO, now);
                }
                Err(fault) => self.table.record_skipped(ENTRY_PREFIX, &row.key, &fault),
            }
        }
    }

    /// Writes this entry's row, and retries until the platform accepts it.
    pub(crate) async fn write_own_row(&self) {
        loop {
            match self.try_write_own_row().await {
                Ok(()) => return,
                Err(error) => log::warn!(target: "gossip", "Writing the own row failed: {error}."),
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

/// Parses the row that an entry wrote under its own key.
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

/// Serves the RPCs of peers.
pub(crate) struct PeerAnswers(pub(crate) Arc<Entry>);

#[async_trait]
impl Peer for PeerAnswers {
    type ForwardStream = ForwardResponses;

    async fn forward(
        &self,
        request: Request<Streaming<ForwardRequest>>,
    ) -> Result<Response<ForwardResponses>, Status> {
        let (head, body) = receive_request(request.into_inner()).await?;
        let (answer, body) = serve_forwarded(&self.0, head, body).await;
        Ok(Response::new(answer_parts(answer, body)))
    }

    async fn exchange(
        &self,
        request: Request<ExchangeRequest>,
    ) -> Result<Response<ExchangeResponse>, Status> {
        use prost::Message as _;
        let entry = &self.0;
        let request = request.into_inner();
        let received = request.encoded_len() as u64;
        entry.apply_leaving(&request.leaving);
        entry.merge_suspects(&request.suspects);
        let sender = request.sender.as_ref().and_then(peer_address_of);
        let incarnation = request.sender.as_ref().and_then(incarnation_of);
        let peer_version = entry.record_sender(request.sender, &request.beats);
        entry.record_heartbeats(incarnation, &request.beats);
        if peer_version > entry.version.lock().version()
            && let Some(peer) = sender
        {
            entry
                .version_lag
                .lock()
                .record_known(peer_version, entry.now());
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
        let entry = &self.0;
        let request = request.into_inner();
        let serve = || entry.serve_version(&request);
        Ok(Response::new(entry.steps.record(Step::Package, serve)))
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
    let suspects = entry.suspects_to_advertise(SUSPECTS_PER_DATAGRAM, 1);
    let now = entry.now();
    let members = entry.members.lock();
    let wanted: Vec<Incarnation> = wanted
        .iter()
        .take(WANTED_MAX)
        .filter_map(|bytes| to_incarnation(bytes))
        .collect();
    let requested: Vec<&MemberRow> = wanted
        .iter()
        .filter_map(|incarnation| members.row(*incarnation))
        .collect();
    let heartbeats = requested
        .iter()
        .filter_map(|row| members.heartbeat_of(row.incarnation, now));
    let mut beats: Vec<Beat> = heartbeats.map(|heartbeat| to_beat(&heartbeat)).collect();
    beats.extend(sample_heartbeats(members.heartbeats(now)));
    ExchangeResponse {
        sender: Some(identity_of(members.own())),
        beats,
        identities: requested.into_iter().map(identity_of).collect(),
        leaving: entry.leaving.lock().recent(now),
        suspects,
    }
}
