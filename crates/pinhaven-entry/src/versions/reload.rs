//! Taking changed settings in while the entry runs.

use crate::entry::Entry;
use std::sync::Arc;

impl Entry {
    /// Reads the settings again and takes in what can change while the entry runs: the peers to ask
    /// while none is known. The rest is said to need a restart. Faulty settings change nothing.
    pub(crate) fn reload(&self) {
        let Some(settings_reader) = &self.settings_reader else {
            return;
        };
        let settings = match settings_reader() {
            Ok(settings) => settings,
            Err(faults) => {
                log::error!(target: "entry", "The changed settings are not taken: {faults}.");
                self.record_event("entry", "reload_failed");
                return;
            }
        };
        let has_moved = settings.caller_address != self.settings.caller_address
            || settings.peer_address != self.settings.peer_address;
        if has_moved {
            log::warn!(target: "entry", "The addresses have changed; that needs a restart.");
        }
        self.peer_seeds.store(Arc::new(settings.peer_seeds));
        self.record_event("entry", "reloaded");
    }
}
