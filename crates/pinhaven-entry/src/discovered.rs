//! Following the configuration, the targets and the peers where one store holds all three.
//!
//! Every entry waits for changes of the configuration by itself. The list of targets is read by few,
//! as [`KnownTargets`](pinhaven_agree::KnownTargets) decides; the others take it from a peer that has a
//! newer one. An entry that the store turns away lives on what its peers know.

use crate::counters::Count;
use crate::entry::Entry;
use http::Request;
use http::Response;
use http::StatusCode;
use pinhaven_agree::KnownTargets;
use pinhaven_agree::MemberState;
use pinhaven_agree::PeerList;
use pinhaven_agree::TargetList;
use pinhaven_bundle::CanonicalBundle;
use pinhaven_platform::ConfigurationNews;
use pinhaven_platform::Discovery;
use pinhaven_platform::PlatformError;
use pinhaven_runtime::AnyBody;
use pinhaven_runtime::HttpClient;
use pinhaven_runtime::sleep_ms;
use pinhaven_runtime::spawn;
use pinhaven_runtime::whole_body;
use pinhaven_types::BundleVersion;
use pinhaven_types::Microseconds;
use pinhaven_types::RequestRate;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;

/// Where a peer asks for the list of targets.
pub(crate) const TARGETS_PATH: &str = "/targets";
/// The shortest and the longest pause before it is asked again whether the list has to be read, in
/// milliseconds. Ranks change when entries come and go.
const LIST_PAUSE_MS: (u64, u64) = (5, 200);
/// Pause after a failed call to the store, in milliseconds, doubled with each failure in a row.
const RETRY_FIRST_MS: u64 = 150;
/// The longest such pause, in milliseconds; the store's return must be noticed within a second.
const RETRY_MOST_MS: u64 = 800;
/// Share of the extra added attempts that goes to the entries that serve.
const SERVING_EXTRA_SHARE: f64 = 0.8;
/// Share of an entry's extra added attempts that hedges may use at once.
const HEDGES_AT_ONCE: f64 = 0.45;
/// The same for retries. What is left covers entries that have just begun and those that are gone.
const RETRIES_AT_ONCE: f64 = 0.35;
/// How long a peer may take to give its list, in milliseconds.
const PEER_TIMEOUT_MS: u64 = 500;
/// How long the store may take to bring a configuration that a peer has already, in milliseconds.
const STORE_HEAD_START_MS: u64 = 200;
/// The least and the most age, in milliseconds, until which an entry asks only its seeds, drawn by each.
/// A seed that lives answers within a few milliseconds. When all have just started, the first few ask the
/// store and tell the others, which takes some 100 ms.
const ASK_PEERS_FIRST_MS: (u64, u64) = (20, 220);
/// Age until which an entry that others speak with the store for waits for what they have. When all
/// start together, those have it after a few hundred milliseconds.
const ASK_PEERS_ONLY: Microseconds = Microseconds::from_ms(700);
/// Time between two looks of an entry that does not follow the configuration, as others do for it, while
/// there is none, in milliseconds.
const ABSENT_LOOK_MS: u64 = 4_000;
/// How often an entry that does not follow the configuration looks whether it should, in milliseconds.
/// The others notice within 2 s that one that did is gone.
const DELEGATE_LOOK_MS: u64 = 100;
/// When an entry writes its row, if others shall find it there, and how much later it reads theirs, in
/// milliseconds. All start at about the same time, so an earlier look would find few.
const FIRST_ROW_MS: u64 = 1_000;
const FIRST_MEMBER_LOOK_MS: u64 = 500;
/// Time between later looks of an entry that hears no peer, in milliseconds.
const MEMBER_LOOK_AGAIN_MS: u64 = 3_000;
/// Looks of that kind between two looks of an entry that does hear some, and whose row is where others
/// look. Two groups of entries that know nothing of each other meet that way.
const LOOKS_PER_MEETING: u32 = 4;

/// A pause that grows with each failure in a row.
struct Backoff(u64);

impl Backoff {
    const fn new() -> Self {
        Self(RETRY_FIRST_MS)
    }

    async fn pause(&mut self) {
        let pause_ms = self.0 / 2 + fastrand::u64(0..=self.0);
        sleep_ms(pause_ms).await;
        self.0 = (self.0 * 2).min(RETRY_MOST_MS);
    }
}

/// Age at which an entry may first ask the store.
pub(crate) fn asks_store_from() -> Microseconds {
    let (least, most) = ASK_PEERS_FIRST_MS;
    Microseconds::from_ms(fastrand::u64(least..most))
}

impl Entry {
    fn store(&self) -> Option<Arc<dyn Discovery>> {
        self.discovery.clone()
    }

    /// Takes each new configuration, for ever.
    pub(crate) async fn follow_configuration(self: Arc<Self>) {
        let Some(store) = self.store() else {
            return;
        };
        let mut position = None;
        let mut backoff = Backoff::new();
        loop {
            let is_in_force = self.version.lock().version() > BundleVersion::NONE;
            if !self.speaks_with_store(is_in_force) {
                // What changes until this entry follows again is learned by reading it anew.
                position = None;
                sleep_ms(DELEGATE_LOOK_MS).await;
                continue;
            }
            // A call that began before an outage may never hear anything again.
            let regained = self.store_regained.listen();
            let next = async { Some(store.next_configuration(position).await) };
            let outdated = async {
                regained.await;
                None
            };
            let Some(news) = futures_lite::future::or(next, outdated).await else {
                position = None;
                continue;
            };
            match self.count_platform(news) {
                Ok(news) => {
                    backoff = Backoff::new();
                    position = Some(news.position);
                    let is_there = news.bundle.is_some();
                    self.take_configuration(news).await;
                    if !is_there && !self.speaks_with_store(true) {
                        // Nobody has one yet; those that follow will hear of the first.
                        position = None;
                        sleep_ms(ABSENT_LOOK_MS).await;
                    }
                }
                Err(error) => {
                    log::warn!(target: "bundle", "The configuration can't be read: {error}.");
                    // What was missed meanwhile may be gone from the history.
                    position = None;
                    backoff.pause().await;
                }
            }
        }
    }

    async fn take_configuration(self: &Arc<Self>, news: ConfigurationNews) {
        let Some(bundle) = news.bundle else {
            return;
        };
        if bundle.version <= self.version.lock().version() {
            return;
        }
        self.adopt(move |entry| entry.take_acknowledged(CanonicalBundle::new(bundle)))
            .await;
    }

    /// Whether this entry speaks with the store itself: as one of the few that do for all, or as there
    /// is nothing to be had from peers. What it `has` already it may keep taking from them.
    fn speaks_with_store(&self, has: bool) -> bool {
        let now = self.now();
        let age = self.clock.age();
        if age < self.asks_store_from {
            return false;
        }
        let members = self.members.lock();
        let is_alone = members.live_peers(now).is_empty();
        is_alone || members.is_delegate(now) || (!has && age >= ASK_PEERS_ONLY)
    }

    /// Reads the list of targets whenever it is this entry's turn, for ever.
    pub(crate) async fn keep_target_list(self: Arc<Self>) {
        let mut backoff = Backoff::new();
        loop {
            let now = self.now();
            self.change_targets(|known| known.expire_kept(now));
            let rank = self.reader_rank();
            let (due_in, is_known) = {
                let targets = self.targets.lock();
                (targets.due_in(rank, self.now()), targets.is_known())
            };
            if due_in > Microseconds::ZERO {
                sleep_ms((due_in.count() / 1_000).clamp(LIST_PAUSE_MS.0, LIST_PAUSE_MS.1)).await;
            } else if !is_known && !self.speaks_with_store(false) {
                sleep_ms(LIST_PAUSE_MS.0).await;
            } else if self.read_targets().await {
                backoff = Backoff::new();
            } else {
                backoff.pause().await;
            }
        }
    }

    /// This entry's place among the readers: first those that serve, in the order that all agree on.
    fn reader_rank(&self) -> u32 {
        let members = self.members.lock();
        let own = members.own().incarnation;
        let serving = members.serving(self.now());
        let position = serving.iter().position(|row| row.incarnation == own);
        position.unwrap_or(serving.len()) as u32
    }

    /// Returns whether the store gave a list.
    async fn read_targets(&self) -> bool {
        let Some(store) = self.store() else {
            return false;
        };
        let began = self.now();
        let read = store.targets().await;
        match self.count_platform(read) {
            Ok(list) => {
                self.change_targets(|known| known.take_read(list, began));
                true
            }
            Err(error) => {
                self.targets.lock().take_failure(self.now());
                log::warn!(target: "targets", "The list of targets can't be read: {error}.");
                false
            }
        }
    }

    /// Changes what is known of the targets, and uses it if the change matters.
    fn change_targets(&self, change: impl FnOnce(&mut KnownTargets) -> bool) {
        let (before, after, has_changed) = {
            let mut known = self.targets.lock();
            let before = known.targets();
            let has_changed = change(&mut known);
            (before, known.targets(), has_changed)
        };
        if !has_changed {
            return;
        }
        self.record_targets(&before, &after);
        log::info!(
            target: "targets", "{} targets are known at revision {}.",
            after.targets.len(), after.revision
        );
        self.take_changed_targets();
        self.news.notify(usize::MAX);
    }

    /// Sets how many added attempts this entry may make at once: its part of what all may together.
    pub(crate) fn share_added_attempts(&self) {
        let Some(discovery) = &self.settings.discovery else {
            return;
        };
        let part = self.part_of_added_attempts(discovery.added_attempts_extra);
        for service in self.snapshot.load().services.values() {
            let (hedges, retries) = (part * HEDGES_AT_ONCE, part * RETRIES_AT_ONCE);
            service
                .state
                .set_added_at_once(hedges as f32, retries as f32);
        }
    }

    /// Those that serve share most of it; the rest is for callers that still use others.
    fn part_of_added_attempts(&self, extra: f64) -> f64 {
        let members = self.members.lock();
        let now = self.now();
        let own = members.own();
        let serving = members.serving(now);
        let others = (members.live_peers(now).len() + 1).saturating_sub(serving.len());
        if serving.contains(&own) {
            // Callers spread over them by what they can carry.
            let all: RequestRate = serving.iter().map(|row| row.capacity).sum();
            let share = f64::from(own.capacity.per_second()) / f64::from(all.per_second().max(1));
            extra * SERVING_EXTRA_SHARE * share
        } else {
            extra * (1.0 - SERVING_EXTRA_SHARE) / others.max(1) as f64
        }
    }

    /// Takes in which list a peer has, and fetches it if it is newer.
    pub(crate) fn hear_list(
        self: &Arc<Self>,
        peer: SocketAddr,
        revision: u64,
        digest: u64,
        age: Option<Microseconds>,
    ) {
        let confirmed_at = age.map_or(Microseconds::ZERO, |age| self.now().saturating_sub(age));
        let heard = self.targets.lock().hear(revision, digest, confirmed_at);
        if heard != PeerList::Fetch || self.is_fetching_list.swap(true, Ordering::Acquire) {
            return;
        }
        let entry = Arc::clone(self);
        spawn(async move {
            entry.fetch_list(peer, confirmed_at).await;
            entry.is_fetching_list.store(false, Ordering::Release);
        })
        .detach();
    }

    async fn fetch_list(&self, peer: SocketAddr, confirmed_at: Microseconds) {
        let client = HttpClient::new(peer, PEER_TIMEOUT_MS);
        let Ok(request) = Request::get(TARGETS_PATH).body(bytes::Bytes::new()) else {
            return;
        };
        let answer = match client.call(request).await {
            Ok(answer) => answer,
            Err(error) => {
                log::warn!(target: "targets", "{error}.");
                return;
            }
        };
        match serde_json::from_slice::<TargetList>(answer.body()) {
            Ok(list) => {
                let now = self.now();
                self.change_targets(|known| known.take_peer_list(list, confirmed_at, now));
            }
            Err(error) => log::warn!(target: "targets", "The list of {peer} is none: {error}."),
        }
    }

    /// Fetches a configuration that a peer has and this entry lacks, unless the store brings it in
    /// the meantime.
    pub(crate) fn hear_version(self: &Arc<Self>, peer: SocketAddr, version: BundleVersion) {
        if version <= self.version.lock().version() {
            return;
        }
        let entry = Arc::clone(self);
        let follows = self.speaks_with_store(true);
        spawn(async move {
            if follows {
                sleep_ms(STORE_HEAD_START_MS).await;
            }
            if version > entry.version.lock().version() {
                entry.fetch_from(peer).await;
            }
        })
        .detach();
    }

    /// Writes the own row and finds the others', for ever.
    pub(crate) async fn keep_membership(self: Arc<Self>) {
        let Some(store) = self.store() else {
            return;
        };
        sleep_ms(FIRST_ROW_MS).await;
        while !self.speaks_with_store(true) {
            sleep_ms(DELEGATE_LOOK_MS).await;
        }
        let mut backoff = Backoff::new();
        while let Err(error) = self.announce(&store).await {
            log::warn!(target: "members", "The own row is not written: {error}.");
            backoff.pause().await;
        }
        sleep_ms(FIRST_MEMBER_LOOK_MS).await;
        let mut looks: u32 = 0;
        loop {
            let is_meeting = looks.is_multiple_of(LOOKS_PER_MEETING);
            let is_alone = self.members.lock().live_peers(self.now()).is_empty();
            if is_alone || (is_meeting && self.speaks_with_store(true)) {
                self.look_for_members(&store).await;
            }
            looks += 1;
            sleep_ms(MEMBER_LOOK_AGAIN_MS).await;
        }
    }

    async fn announce(&self, store: &Arc<dyn Discovery>) -> Result<(), PlatformError> {
        let row = self.members.lock().own().clone();
        let written = store.announce(&row).await;
        self.count_platform(written)
    }

    async fn look_for_members(&self, store: &Arc<dyn Discovery>) {
        let read = store.members().await;
        match self.count_platform(read) {
            Ok(rows) => {
                let now = self.now();
                let mut members = self.members.lock();
                for row in rows {
                    members.hear_of(row, now);
                }
            }
            Err(error) => log::warn!(target: "members", "Peers can't be looked up: {error}."),
        }
    }
}

/// Answers a peer that asks for the list of targets.
pub(crate) fn answer_targets(entry: &Entry) -> Response<AnyBody> {
    entry.counters.add(Count::Exchanges);
    let known = entry.targets.lock();
    let mut response = match serde_json::to_vec(&**known.list()) {
        Ok(body) if known.is_known() => Response::new(whole_body(body)),
        _ => {
            let mut response = Response::new(whole_body(""));
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
            response
        }
    };
    if entry.state() >= MemberState::Stopping {
        let close = http::HeaderValue::from_static("close");
        response
            .headers_mut()
            .insert(http::header::CONNECTION, close);
    }
    response
}
