//! Handle through which an entry records events and request traces.
//!
//! A recorder adds the entry's instance id to each line, samples requests without failures by a hash of their id, and
//! puts the lines into the ring.

use crate::line::Line;
use crate::ring::Importance;
use crate::ring::Ring;
use crate::trace::Trace;
use std::hash::DefaultHasher;
use std::hash::Hash as _;
use std::hash::Hasher as _;
use std::sync::Arc;

/// Records events and request traces of one entry.
#[derive(Debug, Clone)]
pub struct Recorder {
    ring: Arc<Ring>,
    instance: Arc<str>,
    plain_one_in: u64,
}

impl Recorder {
    /// Creates a recorder of the entry `instance`, whose name each line carries. The recorder keeps one in
    /// `plain_one_in` of the requests of [`Importance::Plain`], or none if `plain_one_in` is 0. The sample depends on
    /// the request id alone, so every entry keeps the same requests.
    pub fn new(ring: Arc<Ring>, instance: &str, plain_one_in: u64) -> Self {
        Self {
            ring,
            instance: instance.into(),
            plain_one_in,
        }
    }

    /// Returns the ring that buffers the lines.
    pub fn ring(&self) -> &Ring {
        &self.ring
    }

    /// Records an event or a state change of the process.
    pub fn record(&self, line: Line) {
        let line = line.with("instance", &*self.instance);
        self.ring.add(Importance::Failure, vec![line.into_text()]);
    }

    /// Records the trace of a request that ended at `now_us`. Each line carries the request's `id` and `facts`.
    pub fn record_trace(
        &self,
        trace: Trace,
        now_us: u64,
        importance: Importance,
        id: &str,
        facts: &[(&str, String)],
    ) {
        if trace.is_empty() || (importance == Importance::Plain && !self.is_sampled(id)) {
            return;
        }
        let mut common_facts = vec![
            ("id", id.to_owned()),
            ("instance", self.instance.to_string()),
        ];
        common_facts.extend_from_slice(facts);
        self.ring
            .add(importance, trace.into_lines(now_us, &common_facts));
    }

    fn is_sampled(&self, id: &str) -> bool {
        let mut hasher = DefaultHasher::new();
        id.hash(&mut hasher);
        self.plain_one_in > 0 && hasher.finish().is_multiple_of(self.plain_one_in)
    }
}
