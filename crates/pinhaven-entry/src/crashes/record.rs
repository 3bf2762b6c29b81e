//! Recording which requests were under way at a target that crashed, and which are held back for it.

use crate::callers::job::Job;
use crate::crashes::watch::HeldChange;
use crate::entry::Entry;
use crate::request::record_context::RecordContext;
use pinhaven_decide::TargetState;
use pinhaven_record::Line;

impl Entry {
    /// Takes in that a target has crashed with a request under way.
    pub(crate) fn record_crash(&self, job: &Job, target: &TargetState) {
        let prints = job.prints();
        self.watch_crash(prints, target);
        let Some(subject) = RecordContext::new(job) else {
            return;
        };
        self.record_line(|| {
            let line = Line::new("target", "crashed", 0)
                .with("target", target.name())
                .with("service", job.service.config.name.as_str())
                .with("id", subject.id())
                .with("method", job.method.as_str())
                .with("path", job.uri.path())
                .with("print", prints.of_caller.to_string())
                .with("print_of_anyone", prints.of_anyone.to_string());
            match target.incarnation() {
                Some(incarnation) => line.with("incarnation", incarnation.started_unix_ms()),
                None => line,
            }
        });
    }

    /// Records which requests are held back now and were not before, and the reverse.
    pub(crate) fn record_held_back(&self) {
        let now = self.now();
        for change in self.crashes.look_at_held() {
            let (event, request) = match change {
                HeldChange::HeldBack(request) => ("held_back", request),
                HeldChange::LetGo(request) => ("let_go", request),
            };
            let held_ms = request.until.saturating_sub(now).as_ms();
            log::warn!(
                target: "crashes",
                "Request {} {}: {} targets crashed with it under way, {} answers were good.",
                request.fingerprint, event, request.crashes, request.successes
            );
            self.record_line(|| {
                Line::new("suspect", event, 0)
                    .with("print", request.fingerprint.to_string())
                    .with("crashes", request.crashes)
                    .with("unharmed", request.successes)
                    .with_number("held_ms", held_ms)
            });
        }
    }
}
