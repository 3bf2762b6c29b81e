//! Targets that have started again, for the attempts that are under way there.
//!
//! A machine that restarts may close no connection. What it had under way is lost all the same, and an
//! attempt that waited for its timeout would take the time in which it can be repeated elsewhere.

use crate::entry::Entry;
use event_listener::Event;
use pinhaven_decide::TargetState;
use std::future::Future;

/// Notified when the list of targets has changed, so that a later run of one may be known.
#[derive(Default)]
pub(crate) struct Restarts(Event);

impl Restarts {
    /// Lets all attempts look whether it is their target.
    pub(crate) fn notify_all(&self) {
        self.0.notify(usize::MAX);
    }
}

impl Entry {
    /// Whether a later run of the target is known. Only for a target that is leaving the list is looked
    /// at: the state of an earlier run is marked so before the later one is announced.
    pub(crate) fn has_restarted(&self, target: &TargetState) -> bool {
        target.is_leaving() && self.is_superseded(target)
    }

    /// What comes of `work` at a target; `None` when it is known before that the target has started again.
    pub(crate) async fn unless_restarted<T>(
        &self,
        target: &TargetState,
        work: impl Future<Output = T>,
    ) -> Option<T> {
        if target.incarnation().is_none() {
            return Some(work.await);
        }
        let work = async { Some(work.await) };
        let restart = async {
            self.wait_for_restart(target).await;
            None
        };
        // An answer that is there already counts.
        futures_lite::future::or(work, restart).await
    }

    /// Comes once a later run of the target is known.
    pub(crate) async fn wait_for_restart(&self, target: &TargetState) {
        loop {
            // Listening begins before the look, so that no word is missed.
            let listener = self.restarts.0.listen();
            if self.has_restarted(target) {
                return;
            }
            listener.await;
        }
    }

    fn is_superseded(&self, target: &TargetState) -> bool {
        let known = self.targets.lock();
        let id = target.id();
        id.is_some_and(|id| known.is_superseded(id, target.incarnation()))
    }
}
