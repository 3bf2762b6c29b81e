//! Requests that come before this entry knows what it needs to serve.
//!
//! After an outage of all entries callers return while the entries still read the version in force and the
//! targets, which takes them some tenths of a second. A request that comes then waits for that: to send
//! its caller away costs it one of its few tries and a pause longer than the rest of the start. An entry that
//! has known nothing for longer has no way to learn soon, and refuses at once.

use crate::entry::Entry;
use pinhaven_agree::MemberState;
use std::sync::atomic::Ordering;
use std::time::Duration;

impl Entry {
    /// Waits until this entry can serve, if it has only just started.
    pub(crate) async fn wait_until_ready(&self) {
        // All but the first requests end here, without the lock that the state stands behind.
        if self.is_ready.load(Ordering::Relaxed) || !self.is_starting() {
            return;
        }
        let ready = self.became_ready.listen();
        if !self.is_starting() {
            return;
        }
        let left = Duration::from_millis(self.settings.start_wait_ms)
            .saturating_sub(Duration::from_micros(self.clock.age().count()));
        let too_long = async {
            async_io::Timer::after(left).await;
        };
        futures_lite::future::or(ready, too_long).await;
    }

    fn is_starting(&self) -> bool {
        self.state() == MemberState::Starting
    }
}
