//! Ends attempts in flight at targets that have restarted.
//!
//! A machine that restarts may not close its connections. Its requests in flight are lost, and an attempt that
//! waited for its timeout would use up the time in which the request can be retried at another target. Attempts
//! therefore wait concurrently for their answer and for a later run of the target.

use crate::entry::Entry;
use event_listener::Event;
use pinhaven_decide::TargetState;
use std::future::Future;

/// Event that is notified when the list of targets has changed, so that a later run of a target may be known.
#[derive(Default)]
pub(crate) struct Restarts(Event);

impl Restarts {
    /// Wakes all attempts so that each checks whether its target has restarted.
    pub(crate) fn notify_all(&self) {
        self.0.notify(usize::MAX);
    }
}

impl Entry {
    /// Whether a later run of the target is known. The list is only checked for a target that is leaving: the state
    /// of an earlier run is marked as leaving before attempts are notified of the later run.
    pub(crate) fn has_restarted(&self, target: &TargetState) -> bool {
        target.is_leaving() && self.is_superseded(target)
    }

    /// Runs `work` at a target. Returns `None` if a later run of the target becomes known before `work` completes.
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
        // `work` is polled first, so an answer that has already arrived is used.
        futures_lite::future::or(work, restart).await
    }

    /// Waits until a later run of the target is known.
    pub(crate) async fn wait_for_restart(&self, target: &TargetState) {
        loop {
            // The listener is registered before the check, so that no notification is missed.
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
