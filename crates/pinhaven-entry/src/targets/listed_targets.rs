//! The list of targets: read from the store by whoever's turn it is, else taken from a peer.

use crate::entry::Entry;
use crate::versions::store_pace::pause_before_retry;
use crate::watch::counters::Count;
use http::Request;
use http::Response;
use http::StatusCode;
use pinhaven_agree::KnownTargets;
use pinhaven_agree::ListSteps;
use pinhaven_agree::MemberState;
use pinhaven_agree::PeerList;
use pinhaven_agree::RetryBackoff;
use pinhaven_agree::TargetList;
use pinhaven_decide::TargetState;
use pinhaven_runtime::AnyBody;
use pinhaven_runtime::HttpClient;
use pinhaven_runtime::sleep_ms;
use pinhaven_runtime::spawn;
use pinhaven_runtime::whole_body;
use pinhaven_types::Microseconds;
use pinhaven_types::TargetIncarnation;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;

/// Where a peer asks for the list of targets.
pub(crate) const TARGETS_PATH: &str = "/targets";
/// Where a peer asks for the steps to it from the list that it has.
pub(crate) const TARGET_STEPS_PATH: &str = "/targets/steps";
/// The shortest and the longest pause before it is asked again whether the list has to be read, in
/// milliseconds. Ranks change when entries come and go.
const LIST_POLL_MS: (u64, u64) = (5, 200);
/// How long a peer may take to begin its answer and for each further piece of its list, in milliseconds.
const PEER_TIMEOUT_MS: u64 = 500;
/// How long the whole list may take, in milliseconds. With 15,000 targets it has 3 MB, which a link of
/// 10 Mbit/s carries in 2.4 s (computed); while it comes no other peer is asked.
const LIST_TIMEOUT_MS: u64 = 4_000;

impl Entry {
    /// Reads the list of targets whenever it is this entry's turn, for ever.
    pub(crate) async fn maintain_target_list(self: Arc<Self>) {
        let mut backoff = RetryBackoff::default();
        loop {
            self.expire_targets();
            let rank = self.reader_rank();
            let (due_in, is_known) = {
                let targets = self.targets.lock();
                (targets.due_in(rank, self.now()), targets.is_known())
            };
            if due_in > Microseconds::ZERO {
                sleep_ms((due_in.count() / 1_000).clamp(LIST_POLL_MS.0, LIST_POLL_MS.1)).await;
            } else if !is_known && !self.speaks_with_store(false) {
                sleep_ms(LIST_POLL_MS.0).await;
            } else if self.read_targets().await {
                backoff = RetryBackoff::default();
            } else {
                let member_rank = self.members.lock().rank_among_all(self.now());
                pause_before_retry(&mut backoff, member_rank as u32).await;
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
                self.change_targets(|known| known.record_read(list, began));
                true
            }
            Err(error) => {
                self.targets.lock().record_failure(self.now());
                log::warn!(target: "targets", "The list of targets can't be read: {error}.");
                false
            }
        }
    }

    /// Lets go of targets that had time to return and did not.
    pub(crate) fn expire_targets(&self) {
        let now = self.now();
        let has_expired = self.targets.lock().has_expired(now);
        if has_expired {
            self.change_targets(|known| known.expire_retained(now));
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
        self.restarts.notify_all();
        self.news.notify(usize::MAX);
    }

    /// Takes in which run of a target has answered.
    pub(crate) fn learn_run(&self, target: &TargetState, answering: TargetIncarnation) {
        let Some(id) = target.id() else {
            return;
        };
        if target.incarnation() > Some(answering) {
            log::debug!(target: "targets", "An earlier run of {id} answered.");
            return;
        }
        let now = self.now();
        self.change_targets(|known| known.record_run(id, answering, now));
    }

    /// Takes in which list a peer has, and fetches it if it is newer.
    pub(crate) fn learn_list(
        self: &Arc<Self>,
        peer: SocketAddr,
        revision: u64,
        digest: u64,
        age: Option<Microseconds>,
    ) {
        let confirmed_at = age.map_or(Microseconds::ZERO, |age| self.now().saturating_sub(age));
        let action = self
            .targets
            .lock()
            .record_peer_revision(revision, digest, confirmed_at);
        if action != PeerList::Fetch || self.is_fetching_list.swap(true, Ordering::Acquire) {
            return;
        }
        let entry = Arc::clone(self);
        spawn(async move {
            entry.fetch_list(peer, confirmed_at).await;
            entry.is_fetching_list.store(false, Ordering::Release);
        })
        .detach();
    }

    /// Fetches what changed since the list that is known here, or the whole list.
    async fn fetch_list(&self, peer: SocketAddr, confirmed_at: Microseconds) {
        let held = {
            let known = self.targets.lock();
            known
                .is_known()
                .then(|| (Arc::clone(known.list()), known.digest()))
        };
        let has_steps = match &held {
            Some((held, digest)) => self.fetch_steps(peer, held, *digest, confirmed_at).await,
            None => false,
        };
        if has_steps {
            return;
        }
        match request_list::<TargetList>(peer, TARGETS_PATH.to_owned()).await {
            Ok(list) => self.accept_peer_list(list, confirmed_at),
            Err(error) => log::warn!(target: "targets", "{error}."),
        }
    }

    /// Returns whether the peer had the steps from the list that is held.
    async fn fetch_steps(
        &self,
        peer: SocketAddr,
        held: &TargetList,
        digest: u64,
        confirmed_at: Microseconds,
    ) -> bool {
        let path = format!("{TARGET_STEPS_PATH}?{digest}");
        let steps = match request_list::<Option<ListSteps>>(peer, path).await {
            Ok(Some(steps)) => steps,
            Ok(None) => return false,
            Err(error) => {
                // The whole list would take longer still.
                log::warn!(target: "targets", "{error}.");
                return true;
            }
        };
        match steps.apply(held, digest) {
            Ok(list) => self.accept_peer_list(list, confirmed_at),
            Err(error) => {
                log::warn!(target: "targets", "Steps of {peer} can't be used: {error}.");
                return false;
            }
        }
        true
    }

    fn accept_peer_list(&self, list: TargetList, confirmed_at: Microseconds) {
        let now = self.now();
        self.change_targets(|known| known.record_peer_list(list, confirmed_at, now));
    }
}

/// Asks a peer for a list or for steps to it.
async fn request_list<T: DeserializeOwned>(peer: SocketAddr, path: String) -> Result<T, String> {
    let client =
        HttpClient::new(peer, PEER_TIMEOUT_MS).with_large_answers(PEER_TIMEOUT_MS, LIST_TIMEOUT_MS);
    let request = Request::get(path).body(bytes::Bytes::new());
    let request = request.map_err(|error| error.to_string())?;
    let answer = client.call(request).await;
    let answer = answer.map_err(|error| error.to_string())?;
    serde_json::from_slice(answer.body())
        .map_err(|error| format!("what {peer} says of targets is none: {error}"))
}

/// Answers a peer that asks for the list of targets.
pub(crate) fn answer_targets(entry: &Entry) -> Response<AnyBody> {
    let (list, is_known) = {
        let known = entry.targets.lock();
        (Arc::clone(known.list()), known.is_known())
    };
    answer_json(entry, is_known.then_some(&*list))
}

/// Answers a peer that asks for the steps from the list whose digest is the query; with `null` when only the
/// whole list helps.
pub(crate) fn answer_steps(entry: &Entry, digest: Option<&str>) -> Response<AnyBody> {
    let digest = digest.and_then(|digest| digest.parse().ok());
    let steps = digest.and_then(|digest| entry.targets.lock().steps_from(digest));
    answer_json(entry, Some(&steps))
}

fn answer_json(entry: &Entry, body: Option<&impl Serialize>) -> Response<AnyBody> {
    entry.counters.add(Count::Exchanges);
    let mut response = match body.map(serde_json::to_vec) {
        Some(Ok(body)) => Response::new(whole_body(body)),
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
