//! Following the configuration where one store holds it, the targets and the peers.
//!
//! Few entries speak with the store; the others take what those have. An entry that the store turns
//! away lives on what its peers know, and one that has no peers asks the store itself.

use crate::entry::Entry;
use crate::versions::store_pace::FIRST_RANK;
use crate::versions::store_pace::pause_before_retry;
use pinhaven_agree::RetryPause;
use pinhaven_agree::pause_after_answer;
use pinhaven_bundle::CanonicalBundle;
use pinhaven_platform::ConfigurationNews;
use pinhaven_platform::Discovery;
use pinhaven_runtime::AnswerTimes;
use pinhaven_runtime::sleep_ms;
use pinhaven_runtime::spawn;
use pinhaven_types::BundleVersion;
use pinhaven_types::Microseconds;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// How long the store may take to bring a configuration that a peer has already, in milliseconds.
const STORE_HEAD_START_MS: u64 = 200;
/// How much later than a peer an entry may learn of a version from the store before its own call there
/// counts as dead, in milliseconds. A slow store takes up to 400.
const STORE_LAG_MAX_MS: u64 = 1_500;
/// Age until which an entry that others speak with the store for waits for what they have. When all
/// start together, those have it after a few hundred milliseconds.
const PEERS_ONLY_AGE: Microseconds = Microseconds::from_ms(700);
/// Time between two looks of an entry that does not follow the configuration, as others do for it, while
/// there is none, in milliseconds.
const ABSENT_POLL_MS: u64 = 4_000;
/// How often an entry that does not follow the configuration looks whether it should, in milliseconds.
/// The others notice within 2 s that one that did is gone.
pub(crate) const DELEGATE_POLL_MS: u64 = 100;

/// A change that comes within this time of the question for it was there before. The store takes 4 ms for an answer;
/// one that is slow, for which there is no hurry, hundreds.
const PRIOR_CHANGE_WAIT_MAX: Duration = Duration::from_millis(100);

impl Entry {
    /// The store that holds everything, if there is one.
    pub(crate) fn store(&self) -> Option<Arc<dyn Discovery>> {
        self.discovery.clone()
    }

    /// Takes each new configuration, for ever.
    pub(crate) async fn follow_configuration(self: Arc<Self>) {
        let Some(store) = self.store() else {
            return;
        };
        let mut position = None;
        let mut pause = RetryPause::default();
        loop {
            let is_in_force = self.version.lock().version() > BundleVersion::NONE;
            if !self.uses_store(is_in_force) {
                // What changes until this entry follows again is learned by reading it anew.
                position = None;
                sleep_ms(DELEGATE_POLL_MS).await;
                continue;
            }
            let anew = self.restart_following.listen();
            let next = async { Some(store.next_configuration(position).await) };
            let outdated = async {
                anew.await;
                None
            };
            let Some(news) = futures_lite::future::or(next, outdated).await else {
                position = None;
                continue;
            };
            match self.count_platform(news) {
                Ok(news) => {
                    pause = RetryPause::default();
                    position = Some(news.position);
                    let is_there = news.bundle.is_some();
                    let times = news.times;
                    self.accept_configuration(news).await;
                    self.pause_for_link_share(times).await;
                    if !is_there && !self.uses_store(true) {
                        // Nobody has one yet; those that follow will hear of the first.
                        position = None;
                        sleep_ms(ABSENT_POLL_MS).await;
                    }
                }
                Err(error) => {
                    log::warn!(target: "bundle", "The configuration can't be read: {error}.");
                    // What was missed meanwhile may be gone from the history.
                    position = None;
                    pause_before_retry(&mut pause, FIRST_RANK).await;
                }
            }
        }
    }

    /// Waits after changes that came slowly one after the other, so that peers have a part of the link, too.
    async fn pause_for_link_share(&self, times: Option<AnswerTimes>) {
        let Some(AnswerTimes { waited, coming }) = times else {
            return;
        };
        let coming = Microseconds::new(coming.as_micros() as u64);
        let pause = pause_after_answer(waited < PRIOR_CHANGE_WAIT_MAX, coming);
        if pause > Microseconds::ZERO {
            log::info!(
                target: "bundle",
                "Versions come faster than the link carries them from the store; it is asked again after {:.0} ms.",
                pause.as_ms()
            );
            sleep_ms(pause.count() / 1_000).await;
        }
    }

    async fn accept_configuration(self: &Arc<Self>, news: ConfigurationNews) {
        let Some(bundle) = news.bundle else {
            return;
        };
        self.store_lag.lock().take(bundle.version);
        self.version_lag
            .lock()
            .record_known(bundle.version, self.now());
        if bundle.version <= self.version.lock().version() {
            return;
        }
        self.adopt(move |entry| entry.accept_acknowledged(CanonicalBundle::new(bundle)))
            .await;
    }

    /// Whether this entry speaks with the store itself: as one of the few that do for all, or as there
    /// is nothing to be had from peers. What it `has` already it may keep taking from them.
    pub(crate) fn uses_store(&self, has: bool) -> bool {
        let now = self.now();
        let age = self.clock.age();
        if age < self.store_access_after {
            return false;
        }
        let members = self.members.lock();
        let is_alone = members.live_peers(now).is_empty();
        is_alone || members.is_delegate(now) || (!has && age >= PEERS_ONLY_AGE)
    }

    /// Fetches a configuration that a peer has and this entry lacks, unless the store brings it in
    /// the meantime.
    pub(crate) fn learn_version(self: &Arc<Self>, peer: SocketAddr, version: BundleVersion) {
        if version <= self.version.lock().version() {
            return;
        }
        self.version_lag.lock().record_known(version, self.now());
        let follows = self.uses_store(true);
        if !follows && self.is_fetching.load(Ordering::Relaxed) {
            return;
        }
        let entry = Arc::clone(self);
        spawn(async move {
            if follows {
                sleep_ms(STORE_HEAD_START_MS).await;
            }
            if version > entry.version.lock().version() {
                entry.fetch_from(peer).await;
            }
            if follows && entry.store_lag.lock().begin_expecting(version) {
                entry.watch_store_for(version).await;
            }
        })
        .detach();
    }

    /// Follows the configuration anew if the store does not bring a version that a peer has.
    async fn watch_store_for(&self, version: BundleVersion) {
        sleep_ms(STORE_LAG_MAX_MS).await;
        let is_coming = self
            .store()
            .is_some_and(|store| store.is_receiving_configuration());
        // An answer that comes slowly over a small link would begin anew.
        if self.store_lag.lock().lacks(version) && !is_coming {
            log::info!(target: "bundle", "The store has not brought version {version}; it is asked anew.");
            self.restart_following.notify(usize::MAX);
        }
    }
}
