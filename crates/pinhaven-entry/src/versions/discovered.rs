//! Follows the configuration in a store that also holds the targets and the peers, and the operators' orders about
//! failure domains.
//!
//! Only a few entries, the delegates, use the store directly; the others fetch new versions from peers.
//! A delegate whose calls to the store fail tells its peers, and others take over. An entry that reads the list of targets
//! follows the configuration as well: a call that waits for changes does not show that the store is silent. An entry without
//! live peers uses the store directly.

use crate::entry::Entry;
use crate::versions::store_pace::FIRST_RANK;
use crate::versions::store_pace::pause_before_retry;
use pinhaven_agree::DrainedDomains;
use pinhaven_agree::FOLLOWING_READERS;
use pinhaven_agree::LIST_READER_FOR;
use pinhaven_agree::RetryBackoff;
use pinhaven_agree::STANDBY_READERS;
use pinhaven_agree::StoreAccessFacts;
use pinhaven_agree::pause_after_answer;
use pinhaven_bundle::CanonicalBundle;
use pinhaven_platform::ConfigurationUpdate;
use pinhaven_platform::Discovery;
use pinhaven_platform::DrainUpdate;
use pinhaven_platform::FeedPosition;
use pinhaven_runtime::AnswerTimes;
use pinhaven_runtime::sleep_ms;
use pinhaven_runtime::spawn;
use pinhaven_types::BundleVersion;
use pinhaven_types::Microseconds;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Time that the store has to deliver a configuration before it is fetched from the peer that advertised
/// it, in milliseconds.
const STORE_HEAD_START_MS: u64 = 200;
/// Maximum time between the receipt of a version from a peer and its receipt from the store before the
/// pending call to the store counts as dead, in milliseconds. A slow store takes up to 400 ms.
const STORE_LAG_MAX_MS: u64 = 1_500;
/// Interval at which an entry that is not a delegate reads the store while there is no configuration, in
/// milliseconds.
const ABSENT_POLL_MS: u64 = 4_000;
/// Interval of the checks whether an entry should start to use the store directly, in milliseconds. The
/// loss of a delegate is noticed within 2 s.
pub(crate) const DELEGATE_POLL_MS: u64 = 100;

/// Maximum wait for an answer of the store whose change existed before the call. The store answers such
/// a call in about 4 ms. A slow store takes hundreds of milliseconds, and its calls need no pause.
const PRIOR_CHANGE_WAIT_MAX: Duration = Duration::from_millis(100);

/// Brings the drained failure domains up to date with what was read.
fn read_drains(drained: &mut DrainedDomains, update: &ConfigurationUpdate) {
    let FeedPosition(revision) = update.position;
    match &update.drains {
        DrainUpdate::Whole(whole) => drained.clone_from(whole),
        DrainUpdate::Orders(orders) => drained.carry_out(revision, orders.iter().cloned()),
    }
}

impl Entry {
    /// The store of the configuration, the targets and the peers, if there is one.
    pub(crate) fn store(&self) -> Option<Arc<dyn Discovery>> {
        self.discovery.clone()
    }

    /// Puts each new configuration of the store in force while this entry uses the store directly. Runs
    /// until the process exits; returns at once without a store.
    pub(crate) async fn follow_configuration(self: Arc<Self>) {
        let Some(store) = self.store() else {
            return;
        };
        let mut position = None;
        // As of `position`. What peers told this entry may be newer, and orders of the store must not be added to that.
        let mut drained = DrainedDomains::default();
        let mut pause = RetryBackoff::default();
        loop {
            self.advertise_store_access();
            let is_in_force = self.version.lock().version() > BundleVersion::NONE;
            if !self.uses_store(is_in_force) {
                // Without a position, the next call reads the current configuration, which includes the
                // changes made in the meantime.
                position = None;
                sleep_ms(DELEGATE_POLL_MS).await;
                continue;
            }
            let restart = self.restart_following.listen();
            self.set_configuration_call(Some(self.now()));
            let next = async { Some(store.next_configuration(position).await) };
            let restarted = async {
                restart.await;
                None
            };
            let update = futures_lite::future::or(next, restarted).await;
            self.set_configuration_call(None);
            let Some(update) = update else {
                position = None;
                continue;
            };
            self.store_failures
                .lock()
                .record(update.is_ok(), self.now());
            self.advertise_store_access();
            match self.count_platform(update) {
                Ok(update) => {
                    pause = RetryBackoff::default();
                    position = Some(update.position);
                    let has_configuration = update.bundle.is_some();
                    let times = update.times;
                    read_drains(&mut drained, &update);
                    self.learn_drained_domains(drained.clone());
                    self.accept_configuration(update).await;
                    self.pause_for_link_share(times).await;
                    if !has_configuration && !self.uses_store(true) {
                        // There is no configuration yet; the delegates advertise the first one.
                        position = None;
                        sleep_ms(ABSENT_POLL_MS).await;
                    }
                }
                Err(error) => {
                    log::warn!(target: "bundle", "The configuration cannot be read from the store: {error}.");
                    // Changes missed in the meantime may have been removed from the history.
                    position = None;
                    pause_before_retry(&mut pause, FIRST_RANK).await;
                }
            }
        }
    }

    fn set_configuration_call(&self, began: Option<Microseconds>) {
        let began_us = began.map_or(0, |began| began.count());
        self.configuration_call_us
            .store(began_us, Ordering::Relaxed);
    }

    /// Time since the pending call for the configuration began; `None` if there is none.
    pub(crate) fn configuration_call_age(&self) -> Option<Microseconds> {
        let began_us = self.configuration_call_us.load(Ordering::Relaxed);
        (began_us > 0).then(|| self.now().saturating_sub(Microseconds::new(began_us)))
    }

    /// Tells the peers if the store has begun or ceased to answer this entry, so that other entries take over from it or
    /// hand back.
    fn advertise_store_access(&self) {
        let lacks_store = self.store_failures.lock().lacks_store(self.now());
        {
            let mut members = self.members.lock();
            if members.own().lacks_store == lacks_store {
                return;
            }
            members.set_lacks_store(lacks_store);
        }
        let event = if lacks_store { "not_served" } else { "served" };
        self.record_event("store", event);
        log::info!(
            target: "bundle",
            "{}", match lacks_store {
                true => "The store does not answer this entry; others read the configuration.",
                false => "The store may be asked for the configuration again.",
            }
        );
        self.urgent_update.notify(usize::MAX);
    }

    /// Waits after a configuration that existed before the call and was transferred slowly, so that
    /// transfers to and from peers get a share of the link.
    async fn pause_for_link_share(&self, times: Option<AnswerTimes>) {
        let Some(AnswerTimes { wait, transfer }) = times else {
            return;
        };
        let transfer = Microseconds::new(transfer.as_micros() as u64);
        let pause = pause_after_answer(wait < PRIOR_CHANGE_WAIT_MAX, transfer);
        if pause > Microseconds::ZERO {
            log::info!(
                target: "bundle",
                "Versions change faster than the link transfers them; next call to the store in {:.0} ms.",
                pause.as_ms()
            );
            sleep_ms(pause.count() / 1_000).await;
        }
    }

    /// Puts a configuration from the store in force if it is newer than the version in force.
    async fn accept_configuration(self: &Arc<Self>, update: ConfigurationUpdate) {
        let Some(bundle) = update.bundle else {
            return;
        };
        self.store_lag.lock().record_store_version(bundle.version);
        self.version_lag
            .lock()
            .record_known(bundle.version, self.now());
        if bundle.version <= self.version.lock().version() {
            return;
        }
        self.adopt(move |entry| entry.accept_acknowledged(CanonicalBundle::new(bundle)))
            .await;
    }

    /// Whether this entry uses the store directly: as a delegate, or because it reads the list of targets, or because it
    /// has no live peers, or because peers have not provided the state in time. `has_state` says whether this entry holds some
    /// version of the state, in which case it may wait for newer versions from peers.
    pub(crate) fn uses_store(&self, has_state: bool) -> bool {
        let now = self.now();
        let list_reread_age = self.targets.lock().reread_age(now);
        let members = self.members.lock();
        let is_first_reader = || members.is_first_reader(FOLLOWING_READERS, STANDBY_READERS, now);
        let list_reread_age =
            list_reread_age.filter(|age| *age < LIST_READER_FOR && is_first_reader());
        let facts = StoreAccessFacts {
            list_reread_age,
            age: self.clock.age(),
            is_alone: !members.has_live_peer(now),
            is_delegate: members.is_delegate(now),
            has_state,
        };
        drop(members);
        self.store_access.may_call(&facts)
    }

    /// Records that a peer has `version`. If this entry lacks the version, starts a task that fetches it
    /// from the peer, unless the store delivers it first.
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
            if follows && entry.store_lag.lock().expect_version(version) {
                entry.watch_store_for(version).await;
            }
        })
        .detach();
    }

    /// Restarts the following of the configuration if the store does not deliver a version that a peer
    /// has: the pending call may be dead without an error.
    async fn watch_store_for(&self, version: BundleVersion) {
        sleep_ms(STORE_LAG_MAX_MS).await;
        let is_receiving = self
            .store()
            .is_some_and(|store| store.is_receiving_configuration());
        // A restart would abort an answer that is being transferred slowly over a small link.
        if self.store_lag.lock().lacks(version) && !is_receiving {
            log::info!(target: "bundle", "The store has not delivered version {version}; restarting the call.");
            self.restart_following.notify(usize::MAX);
        }
    }
}
