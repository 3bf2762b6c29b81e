//! The list of targets: read from the store by the first entries in rank, fetched from a peer by the others.
//!
//! Each serving entry reads the store only after the list has reached an age that grows with the entry's rank, so that
//! usually a single entry reads it. If none of them gets an answer, the first entries that stand by read it after them,
//! and the others only when the list is much older. The other entries
//! learn the revision from peers' updates and fetch a newer list over HTTP: the steps from their own list to the newer
//! one, or the whole list if the steps are not available.

use crate::entry::Entry;
use crate::versions::store_pace::pause_before_retry;
use crate::watch::counters::Count;
use crate::watch::steps::Step;
use http::Request;
use http::Response;
use http::StatusCode;
use pinhaven_agree::KnownTargets;
use pinhaven_agree::ListSteps;
use pinhaven_agree::MemberState;
use pinhaven_agree::PeerList;
use pinhaven_agree::RetryBackoff;
use pinhaven_agree::STANDBY_READERS;
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

/// Path at which a peer requests the list of targets.
pub(crate) const TARGETS_PATH: &str = "/targets";
/// Path at which a peer requests the steps from its list to the current list.
pub(crate) const TARGET_STEPS_PATH: &str = "/targets/steps";
/// Minimum and maximum time between two checks whether the list is due to be read, in milliseconds. The maximum
/// is short because ranks change when entries join or leave.
const LIST_POLL_MS: (u64, u64) = (5, 200);
/// Rank among the readers of an entry that has taken over from a store delegate: after the serving entries.
const REPLACING_RANK: u32 = 4;
/// Timeout for the start of a peer's answer and for each further part of the answer, in milliseconds.
const PEER_TIMEOUT_MS: u64 = 500;
/// Timeout for the transfer of a whole list, in milliseconds. A list of 15,000 targets has 3 MB and takes 2.4 s
/// over a link of 10 Mbit/s. No other peer is asked during the transfer.
const LIST_TIMEOUT_MS: u64 = 4_000;

impl Entry {
    /// Reads the list of targets whenever this entry is due to. Runs until the process exits.
    pub(crate) async fn maintain_target_list(self: Arc<Self>) {
        let mut backoff = RetryBackoff::default();
        loop {
            self.expire_targets();
            let is_known = self.targets.lock().is_known();
            let rank = self.reader_rank(is_known);
            let due_in = match rank {
                Some(rank) => self.targets.lock().due_in(rank, self.now()),
                None => self.standby_due_in(),
            };
            if due_in > Microseconds::ZERO {
                sleep_ms((due_in.count() / 1_000).clamp(LIST_POLL_MS.0, LIST_POLL_MS.1)).await;
            } else if !is_known && !self.uses_store(false) {
                sleep_ms(LIST_POLL_MS.0).await;
            } else if self.read_targets().await {
                backoff = RetryBackoff::default();
            } else {
                let member_rank = self.members.lock().rank_among_all(self.now());
                pause_before_retry(&mut backoff, member_rank as u32).await;
            }
        }
    }

    /// This entry's rank among the readers of the list; `None` if it stands by. Serving entries are readers, in an
    /// order that is the same at all entries, and after them entries that have taken over from store delegates. While no
    /// entry serves, those that use the store are.
    fn reader_rank(&self, is_known: bool) -> Option<u32> {
        let (position, serving, replaces_delegate) = {
            let members = self.members.lock();
            let own = members.own().incarnation;
            let serving = members.serving(self.now());
            let position = serving.iter().position(|row| row.incarnation == own);
            let replaces_delegate = members.replaces_delegate(self.now());
            (position, serving.len(), replaces_delegate)
        };
        match position {
            Some(position) if self.store_access.is_settled(self.clock.age()) => {
                Some(position as u32)
            }
            None if serving == 0 && self.uses_store(is_known) => Some(0),
            None if replaces_delegate && self.store_answers.load(Ordering::Relaxed) => {
                Some(REPLACING_RANK)
            }
            _ => None,
        }
    }

    /// Time until this entry should read the list while it stands by.
    fn standby_due_in(&self) -> Microseconds {
        let due_in = |rank| {
            let read_at = self.store_access.standby_list_age(rank);
            self.targets.lock().standby_due_in(read_at, self.now())
        };
        if !self.store_access.is_settled(self.clock.age()) {
            return due_in(None);
        }
        let first_due_in = due_in(Some(0));
        if first_due_in > Microseconds::ZERO {
            return first_due_in;
        }
        let first_read_age = self.store_access.standby_list_age(Some(0));
        if !self
            .targets
            .lock()
            .is_reported_old(first_read_age, self.now())
        {
            return due_in(None);
        }
        let rank = self
            .members
            .lock()
            .standby_rank(STANDBY_READERS, self.now());
        due_in(rank)
    }

    /// Reads the list from the store. Returns whether the read succeeded.
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
                log::warn!(target: "targets", "Reading the list of targets from the store failed: {error}.");
                false
            }
        }
    }

    /// Removes retained targets that did not register again in time, and later runs that the store has contradicted.
    pub(crate) fn expire_targets(&self) {
        let now = self.now();
        let has_expired = self.targets.lock().has_expired(now);
        if has_expired {
            self.change_targets(|known| known.expire_retained(now));
        }
        let contradicted = self.targets.lock().contradicted_runs();
        if !contradicted.is_empty() {
            for id in &contradicted {
                self.counters.add(Count::RunContradicted);
                log::warn!(
                    target: "targets",
                    "A later run of target {id} was listed and never seen again; the listed run is used."
                );
            }
            self.change_targets(|known| {
                known.reinstate_listed_runs(&contradicted);
                true
            });
        }
    }

    /// Changes the known targets. If `change` returns `true`, applies the new targets and notifies the tasks that
    /// depend on them.
    fn change_targets(&self, change: impl FnOnce(&mut KnownTargets) -> bool) {
        let (before, after, has_changed) = {
            let mut known = self.targets.lock();
            let (before, retained_before) = (known.targets(), known.retained_count());
            self.confirm_resting_runs(&known);
            let confirmed_age = known.age(self.now());
            let has_changed = change(&mut known);
            if known.retained_count() > retained_before {
                self.log_retained(&known, confirmed_age);
            }
            (before, known.targets(), has_changed)
        };
        if !has_changed {
            return;
        }
        self.record_targets(&before, &after);
        log::info!(
            target: "targets", "The list has {} targets at revision {}.",
            after.targets.len(), after.revision
        );
        self.steps
            .record(Step::Targets, || self.apply_target_changes());
        self.restarts.notify_all();
        self.urgent_update.notify(usize::MAX);
    }

    /// Logs that targets which the list lacks stay in use. `confirmed_age` is the time since the store confirmed the
    /// list in which they were.
    fn log_retained(&self, known: &KnownTargets, confirmed_age: Option<Microseconds>) {
        let age_ms = |age: Option<Microseconds>| age.map_or(0, |age| age.as_ms() as u64);
        log::info!(
            target: "targets",
            "Retaining {} targets that may have lapsed; the last own read failed {} ms ago, and the store confirmed \
             the previous list {} ms ago.",
            known.retained_count(), age_ms(known.failure_age(self.now())), age_ms(confirmed_age)
        );
    }

    /// Records the run of a target that answered.
    pub(crate) fn learn_run(&self, target: &TargetState, answering: TargetIncarnation) {
        let Some(id) = target.id() else {
            return;
        };
        if target.incarnation() > Some(answering) {
            log::debug!(target: "targets", "An earlier run of target {id} answered.");
            return;
        }
        let now = self.now();
        self.change_targets(|known| known.record_run(id, answering, now));
    }

    /// Records which list a peer has, and fetches that list if it is newer than the own list.
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

    /// Fetches the steps from the own list to the peer's list, or the whole list if the steps are not available.
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
            Err(error) => log::warn!(target: "targets", "Fetching the list failed: {error}."),
        }
    }

    /// Fetches the steps from the list `held` and applies them. Returns `false` if the whole list is needed.
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
                // The request for the steps failed, and the whole list would take longer to transfer.
                log::warn!(target: "targets", "Fetching steps of the list failed: {error}.");
                return true;
            }
        };
        match steps.apply(held, digest) {
            Ok(list) => self.accept_peer_list(list, confirmed_at),
            Err(error) => {
                log::warn!(target: "targets", "Steps from peer {peer} don't apply to the own list: {error}.");
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

/// Requests a list or the steps to a list from a peer.
async fn request_list<T: DeserializeOwned>(peer: SocketAddr, path: String) -> Result<T, String> {
    let client =
        HttpClient::new(peer, PEER_TIMEOUT_MS).with_large_answers(PEER_TIMEOUT_MS, LIST_TIMEOUT_MS);
    let request = Request::get(path).body(bytes::Bytes::new());
    let request = request.map_err(|error| error.to_string())?;
    let answer = client.call(request).await;
    let answer = answer.map_err(|error| error.to_string())?;
    serde_json::from_slice(answer.body())
        .map_err(|error| format!("peer {peer} sent an invalid list or invalid steps: {error}"))
}

/// Answers a peer's request for the list of targets. The status is 503 while no list is known.
pub(crate) fn answer_targets(entry: &Entry) -> Response<AnyBody> {
    let (list, is_known) = {
        let known = entry.targets.lock();
        (Arc::clone(known.list()), known.is_known())
    };
    answer_json(entry, is_known.then_some(&*list))
}

/// Answers a peer's request for the steps from the list whose digest is `digest`. The body is `null` if the steps
/// are not available and the peer has to fetch the whole list.
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
