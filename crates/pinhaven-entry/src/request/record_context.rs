//! What the record says of a request in each of its lines.

use crate::callers::job::Job;
use crate::entry::Entry;
use pinhaven_record::Importance;
use pinhaven_record::Trace;
use pinhaven_record::TraceEvent;

/// A request's id, and the facts that each line on it carries.
pub(crate) struct RecordContext {
    id: String,
    facts: [(&'static str, String); 3],
}

impl RecordContext {
    /// Of a request; `None` where there is no record.
    pub(crate) fn new(job: &Job) -> Option<Self> {
        job.entry.recorder.as_ref()?;
        let route = job.routed.config();
        let route = route.map_or_else(String::new, |route| route.name.to_string());
        let version = job.entry.snapshot.load().version.to_string();
        let id = job.entry.dialect.request_id(&job.headers);
        Some(Self {
            id: id.unwrap_or_default(),
            facts: [
                ("route", route),
                ("service", job.service.config.name.to_string()),
                ("version", version),
            ],
        })
    }

    /// The request's id; empty where its caller gave none.
    pub(crate) fn id(&self) -> &str {
        &self.id
    }

    /// Records what has happened to the request.
    pub(crate) fn record_trace(&self, entry: &Entry, trace: Trace, importance: Importance) {
        if let Some(recorder) = &entry.recorder {
            let now_us = entry.now().count();
            recorder.record_trace(trace, now_us, importance, &self.id, &self.facts);
        }
    }

    /// Records a failure that came after all else that was recorded.
    pub(crate) fn record(&self, entry: &Entry, event: TraceEvent) {
        let mut trace = Trace::default();
        trace.add(entry.now().count(), event);
        self.record_trace(entry, trace, Importance::Failure);
    }
}
