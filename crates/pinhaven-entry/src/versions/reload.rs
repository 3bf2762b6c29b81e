//! Reloads the settings while the entry runs.

use crate::entry::Entry;
use std::sync::Arc;

impl Entry {
    /// Reloads the settings and applies the peer seeds, the only setting that can change while the
    /// entry runs. Logs a warning if an address has changed, which requires a restart. Invalid settings
    /// change nothing.
    pub(crate) fn reload(&self) {
        let Some(settings_reader) = &self.settings_reader else {
            return;
        };
        let settings = match settings_reader() {
            Ok(settings) => settings,
            Err(error) => {
                log::error!(target: "entry", "The changed settings are invalid and were not applied: {error}.");
                self.record_event("entry", "reload_failed");
                return;
            }
        };
        let has_moved = settings.caller_address != self.settings.caller_address
            || settings.peer_address != self.settings.peer_address;
        if has_moved {
            log::warn!(target: "entry", "The addresses in the settings have changed; restart the entry to apply them.");
        }
        self.peer_seeds.store(Arc::new(settings.peer_seeds));
        self.record_event("entry", "reloaded");
    }
}
