//! Facts on a request that the entry's recorder adds to each line that it writes about the request.

use crate::callers::job::Job;
use crate::entry::Entry;
use pinhaven_record::Importance;
use pinhaven_record::Trace;
use pinhaven_record::TraceEvent;

/// Id of a request, with the route, service and configuration version that its record lines name.
pub(crate) struct RecordContext {
    id: String,
    facts: Vec<(&'static str, String)>,
}

impl RecordContext {
    /// Collects the context of a request; `None` if the entry has no recorder.
    pub(crate) fn new(job: &Job) -> Option<Self> {
        job.entry.recorder.as_ref()?;
        let route = job.routed.config();
        let route = route.map_or_else(String::new, |route| route.name.to_string());
        let version = job.entry.snapshot.load().version.to_string();
        let id = job.entry.dialect.request_id(&job.headers);
        let mut facts = vec![
            ("route", route),
            ("service", job.service.config.name.to_string()),
            ("version", version),
        ];
        if job.organisation.is_some() {
            facts.push(("organisation", job.organisation_name()));
        }
        Some(Self {
            id: id.unwrap_or_default(),
            facts,
        })
    }

    /// Id of the request; empty if its caller gave none.
    pub(crate) fn id(&self) -> &str {
        &self.id
    }

    /// Records the trace of the request.
    pub(crate) fn record_trace(&self, entry: &Entry, trace: Trace, importance: Importance) {
        if let Some(recorder) = &entry.recorder {
            let now_us = entry.now().count();
            recorder.record_trace(trace, now_us, importance, &self.id, &self.facts);
        }
    }

    /// Records a failure that occurs after the request's trace has been recorded.
    pub(crate) fn record(&self, entry: &Entry, event: TraceEvent) {
        let mut trace = Trace::default();
        trace.add(entry.now().count(), event);
        self.record_trace(entry, trace, Importance::Failure);
    }
}
