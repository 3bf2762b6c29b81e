//! Delays requests that arrive before this entry is ready to serve.
//!
//! After an outage of all entries, callers return while the entries still read the version in force and
//! the targets, which takes some tenths of a second. Requests that arrive in this time wait, because a
//! refusal would cost the caller one of its few attempts and a pause longer than the rest of the start.
//! An entry that has not become ready within `start_wait_ms` is unlikely to become ready soon and
//! refuses requests at once.

use crate::entry::Entry;
use pinhaven_agree::MemberState;
use std::sync::atomic::Ordering;
use std::time::Duration;

impl Entry {
    /// Waits until this entry is ready, at most until `start_wait_ms` after the start of the process.
    pub(crate) async fn wait_until_ready(&self) {
        // Fast path of all requests after the start: avoids the lock that protects the state.
        if self.is_ready.load(Ordering::Relaxed) || !self.is_starting() {
            return;
        }
        let ready = self.became_ready.listen();
        if !self.is_starting() {
            return;
        }
        let time_left = Duration::from_millis(self.settings.start_wait_ms)
            .saturating_sub(Duration::from_micros(self.clock.age().count()));
        let timeout = async {
            async_io::Timer::after(time_left).await;
        };
        futures_lite::future::or(ready, timeout).await;
    }

    fn is_starting(&self) -> bool {
        self.state() == MemberState::Starting
    }
}
