//! Whether this entry reaches the targets of each service.

use crate::entry::Entry;
use crate::versions::service_entry::ServiceEntry;

impl Entry {
    /// Records that a target of the service answered or accepted a connection.
    pub(crate) fn record_heard(&self, service: &ServiceEntry) {
        let connectivity = service.state.connectivity();
        connectivity.record_heard(self.now());
    }
}
