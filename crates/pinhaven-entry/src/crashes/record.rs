//! Records which requests were in flight at a crashed target, and which requests are held back.

use crate::callers::job::Job;
use crate::crashes::watch::HeldChange;
use crate::entry::Entry;
use crate::request::record_context::RecordContext;
use pinhaven_agree::ServiceKey;
use pinhaven_decide::CrashJudgement;
use pinhaven_decide::TargetState;
use pinhaven_record::Line;
use pinhaven_runtime::sleep_ms;
use pinhaven_runtime::spawn;
use std::sync::Arc;

/// Interval at which an undecided crash is judged again, in milliseconds.
const JUDGEMENT_POLL_MS: u64 = 25;

impl Entry {
    /// Records that a target crashed with a request in flight.
    pub(crate) fn record_crash(&self, job: &Job, target: &TargetState) {
        let fingerprints = job.fingerprints();
        self.record_crash_evidence(fingerprints, target);
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
                .with("print", fingerprints.of_caller.to_string())
                .with("print_of_anyone", fingerprints.of_anyone.to_string());
            match target.incarnation() {
                Some(incarnation) => line.with("incarnation", incarnation.started_unix_ms()),
                None => line,
            }
        });
    }

    /// Records a crash of a target once it is known that the links of this entry to the targets work.
    pub(crate) fn record_crash_if_reached(self: &Arc<Self>, job: &Job, target: &Arc<TargetState>) {
        let crashed_at = self.now();
        let (entry, target) = (Arc::clone(self), Arc::clone(target));
        let service = Arc::clone(&job.service);
        let fingerprints = job.fingerprints();
        spawn(async move {
            let key = ServiceKey::new(&service.config.name);
            loop {
                let is_heard_by_peer = entry.reach.lock().is_heard_since(key, crashed_at);
                let connectivity = service.state.connectivity();
                match connectivity.judge_crash(crashed_at, is_heard_by_peer, entry.now()) {
                    CrashJudgement::Undecided => sleep_ms(JUDGEMENT_POLL_MS).await,
                    CrashJudgement::Crashed => break,
                    CrashJudgement::LinksLost => {
                        return log::info!(
                            target: "crashes",
                            "Target {} is not reached from here, but other entries reach targets; not counted as a crash.",
                            target.name()
                        );
                    }
                }
            }
            entry.record_crash_evidence(fingerprints, &target);
        })
        .detach();
    }

    /// Records which requests have been held back or released since the last call.
    pub(crate) fn record_held_back(&self) {
        let now = self.now();
        for change in self.crashes.update_held() {
            let (event, request) = match change {
                HeldChange::HeldBack(request) => ("held_back", request),
                HeldChange::Released(request) => ("let_go", request),
            };
            let held_ms = request.until.saturating_sub(now).as_ms();
            log::warn!(
                target: "crashes",
                "Request {} {}: {} targets crashed with it in flight, {} successful answers.",
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
