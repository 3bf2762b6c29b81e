//! The rows by which entries that know nobody find the others.
//!
//! Few entries keep one: those that speak with the store for all.

use crate::entry::Entry;
use crate::versions::discovered::DELEGATE_POLL_MS;
use crate::versions::store_pace::FIRST_RANK;
use crate::versions::store_pace::pause_before_retry;
use pinhaven_agree::RetryPause;
use pinhaven_platform::Discovery;
use pinhaven_platform::PlatformError;
use pinhaven_runtime::sleep_ms;
use std::sync::Arc;

/// When an entry writes its row, if others shall find it there, and how much later it reads theirs, in
/// milliseconds. All start at about the same time, so an earlier look would find few.
const FIRST_ROW_MS: u64 = 1_000;
const FIRST_MEMBER_LOOK_MS: u64 = 500;
/// Time between later looks of an entry that hears no peer, in milliseconds.
const MEMBER_LOOK_AGAIN_MS: u64 = 3_000;
/// Looks of that kind between two looks of an entry that does hear some, and whose row is where others
/// look. Two groups of entries that know nothing of each other meet that way.
const LOOKS_PER_MEETING: u32 = 4;

impl Entry {
    /// Writes the own row and finds the others', for ever.
    pub(crate) async fn keep_membership(self: Arc<Self>) {
        let Some(store) = self.store() else {
            return;
        };
        sleep_ms(FIRST_ROW_MS).await;
        while !self.uses_store(true) {
            sleep_ms(DELEGATE_POLL_MS).await;
        }
        let mut pause = RetryPause::default();
        while let Err(error) = self.announce(&store).await {
            log::warn!(target: "members", "The own row is not written: {error}.");
            pause_before_retry(&mut pause, FIRST_RANK).await;
        }
        sleep_ms(FIRST_MEMBER_LOOK_MS).await;
        let mut looks: u32 = 0;
        loop {
            let is_meeting = looks.is_multiple_of(LOOKS_PER_MEETING);
            let is_alone = self.members.lock().live_peers(self.now()).is_empty();
            if is_alone || (is_meeting && self.uses_store(true)) {
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
