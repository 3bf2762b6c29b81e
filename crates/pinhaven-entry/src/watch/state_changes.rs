//! Records changes that this entry observes in versions, targets, peers and the store.

use crate::entry::Entry;
use crate::watch::counters::Count;
use pinhaven_agree::ListedTarget;
use pinhaven_agree::MemberState;
use pinhaven_agree::TargetList;
use pinhaven_record::Line;
use pinhaven_types::BundleVersion;
use pinhaven_types::Incarnation;
use std::collections::BTreeMap;
use std::sync::atomic::Ordering;

/// A peer that was live at the last check.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LivePeer {
    incarnation: Incarnation,
    is_stopping: bool,
}

/// Live peers at the last check, by instance.
pub(crate) type LivePeers = BTreeMap<String, LivePeer>;

impl Entry {
    /// Records a line if there is a recorder. The line is built only then.
    pub(crate) fn record_line(&self, line: impl FnOnce() -> Line) {
        if let Some(recorder) = &self.recorder {
            recorder.record(line());
        }
    }

    /// Records an event of this process.
    pub(crate) fn record_event(&self, part: &str, event: &str) {
        self.record_line(|| Line::new(part, event, 0));
    }

    /// Records that a version was put in force or refused.
    pub(crate) fn record_version(&self, event: &str, version: BundleVersion) {
        self.record_line(|| Line::new("bundle", event, 0).with("version", version.to_string()));
    }

    /// Records a failed attempt to fetch a newer version. Only the first failure and each doubling of the
    /// number of failures are logged, so that repeated failures do not fill the log.
    pub(crate) fn record_fetch_failure(&self, why: &str) {
        self.counters.add(Count::BundleFetchFailed);
        let mut lag = self.version_lag.lock();
        if !lag.record_failure(why.to_owned()) {
            return;
        }
        let behind_ms = lag.behind_for(self.now()).unwrap_or_default().as_ms();
        let (known, tries) = (lag.known(), lag.failed_tries());
        drop(lag);
        log::warn!(
            target: "bundle",
            "Version {known} has been known for {behind_ms:.0} ms but is not in force; attempt {tries} failed: {why}."
        );
        self.record_line(|| {
            Line::new("bundle", "behind", 0)
                .with("version", known.to_string())
                .with("behind_ms", behind_ms)
                .with("tries", u64::from(tries))
                .with("why", why)
        });
    }

    /// Records which targets were added, restarted, began to leave, stopped leaving or were removed between
    /// two lists.
    pub(crate) fn record_targets(&self, before: &TargetList, after: &TargetList) {
        if self.recorder.is_none() {
            return;
        }
        for (id, target) in &after.targets {
            match before.targets.get(id) {
                None => self.record_target("seen", target, after.revision),
                Some(previous) if previous.incarnation < target.incarnation => {
                    self.record_target("restarted", target, after.revision);
                }
                Some(previous) if !previous.is_leaving && target.is_leaving => {
                    self.record_target("draining", target, after.revision);
                }
                Some(previous) if previous.is_leaving && !target.is_leaving => {
                    self.record_target("back", target, after.revision);
                }
                Some(_) => {}
            }
        }
        for (id, target) in &before.targets {
            if !after.targets.contains_key(id) {
                self.record_target("gone", target, after.revision);
            }
        }
    }

    fn record_target(&self, event: &str, target: &ListedTarget, revision: u64) {
        self.record_line(|| {
            let line = Line::new("target", event, 0)
                .with("target", target.id.as_str())
                .with("service", target.service.as_str())
                .with("address", target.address.to_string())
                .with("revision", revision);
            match target.incarnation {
                Some(incarnation) => line.with("incarnation", incarnation.started_unix_ms()),
                None => line,
            }
        });
    }

    /// Records that the store has become available or unavailable.
    pub(crate) fn record_store(&self, answers: bool) {
        if self.store_answers.swap(answers, Ordering::Relaxed) != answers {
            self.record_event("store", if answers { "regained" } else { "lost" });
            if answers {
                // Calls that began before the outage never get an answer, so they are restarted.
                self.restart_following.notify(usize::MAX);
            }
        }
    }

    /// Records which peers appeared, began to stop or were lost since the last call, and updates `known`.
    pub(crate) fn record_peers(&self, known: &mut LivePeers) {
        if self.recorder.is_none() {
            return;
        }
        let live: LivePeers = {
            let members = self.members.lock();
            let live = members.live_peers(self.now());
            let peers = live.into_iter().map(|row| {
                let peer = LivePeer {
                    incarnation: row.incarnation,
                    is_stopping: row.state >= MemberState::Stopping,
                };
                (row.instance_id.to_string(), peer)
            });
            peers.collect()
        };
        for (name, peer) in &live {
            match known.get(name) {
                None => self.record_peer("up", name),
                Some(before) if !before.is_stopping && peer.is_stopping => {
                    self.record_peer("stopping", name);
                }
                Some(_) => {}
            }
        }
        for (name, peer) in known.iter().filter(|(name, _)| !live.contains_key(*name)) {
            self.record_lost_peer(name, peer.incarnation);
        }
        *known = live;
    }

    /// Records the loss of a peer: how long the peer has been silent, from which silence on it counts as lost, and
    /// whether its last heartbeat came from the peer itself.
    fn record_lost_peer(&self, name: &str, incarnation: Incarnation) {
        let silence = self.members.lock().silence(incarnation, self.now());
        self.record_line(|| {
            let line = Line::new("peer", "lost", 0).with("peer", name);
            match silence {
                Some(silence) => line
                    .with_number("silent_ms", silence.duration.as_ms())
                    .with_number("limit_ms", silence.limit.as_ms())
                    .with("last_source", silence.last_source.name()),
                None => line,
            }
        });
    }

    fn record_peer(&self, event: &str, peer: &str) {
        self.record_line(|| Line::new("peer", event, 0).with("peer", peer));
    }
}
