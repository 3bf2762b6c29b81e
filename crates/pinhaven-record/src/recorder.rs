//! What an entry records with: a ring, and which plain requests are kept.

use crate::line::Line;
use crate::ring::Importance;
use crate::ring::Ring;
use crate::trace::Trace;
use std::hash::DefaultHasher;
use std::hash::Hash as _;
use std::hash::Hasher as _;
use std::sync::Arc;

/// Records events and traces of requests.
#[derive(Debug, Clone)]
pub struct Recorder {
    ring: Arc<Ring>,
    instance: Arc<str>,
    plain_one_in: u64,
}

impl Recorder {
    /// A recorder of the entry `instance`, whose name each line carries. It keeps one in
    /// `plain_one_in` of the requests that went as they should, the same ones at every entry; 0 for
    /// none.
    pub fn new(ring: Arc<Ring>, instance: &str, plain_one_in: u64) -> Self {
        Self {
            ring,
            instance: instance.into(),
            plain_one_in,
        }
    }

    /// The ring.
    pub fn ring(&self) -> &Ring {
        &self.ring
    }

    /// Records something that the process did or now believes.
    pub fn record(&self, line: Line) {
        let line = line.with("instance", &*self.instance);
        self.ring.add(Importance::Failure, vec![line.into_text()]);
    }

    /// Records a request that is over at `now_us`, with its id and what else each line shall carry.
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
