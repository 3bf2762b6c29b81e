//! What happened to one request.

use crate::line::Line;
use crate::ring::Importance;

/// Part that the lines of requests carry.
const PART: &str = "request";

/// A target that was chosen, and what decided it.
#[derive(Debug, Clone, PartialEq)]
pub struct Chosen {
    /// The target's id, or its address if it has none.
    pub target: String,
    /// When its answer was expected, in milliseconds.
    pub forecast_ms: f32,
    /// Requests that it was thought to hold.
    pub load: f32,
    /// How many times longer than usual work was thought to take there.
    pub slowdown: f32,
    /// Age of its last word on that, in milliseconds; `None` when it never said anything.
    pub report_age_ms: Option<f64>,
}

/// Targets as they were known when a request was refused; one may count for several reasons.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TargetCounts {
    /// All.
    pub all: u32,
    /// Those that were leaving.
    pub leaving: u32,
    /// Those that rested.
    pub resting: u32,
    /// Those that were ejected.
    pub ejected: u32,
    /// Those that were slow.
    pub slow: u32,
    /// Those whose slots were all taken.
    pub full: u32,
}

/// Something that happened to a request.
#[derive(Debug, Clone, PartialEq)]
pub enum TraceEvent {
    /// It was sent to a target.
    Sent {
        /// Number of the attempt.
        attempt: u32,
        /// Where to and why.
        chosen: Chosen,
    },
    /// An attempt ended.
    Ended {
        /// Number of the attempt.
        attempt: u32,
        /// How: `answered`, `failed`, `shed`, `not_sent`, `closed`, `broken`, `crashed`, `restarted`, `cut` or `misdirected`.
        outcome: &'static str,
        /// Status of the answer, if there was one.
        status: Option<u16>,
    },
    /// An attempt was given up.
    Cancelled {
        /// Number of the attempt.
        attempt: u32,
    },
    /// Its caller left.
    CallerLeft,
    /// It was refused, or given up on.
    Refused {
        /// Why.
        reason: &'static str,
        /// Whether it ran: `run`, `not-run` or `unknown`.
        run: &'static str,
        /// Status of the refusal.
        status: u16,
        /// When its caller was told to come back, in milliseconds.
        retry_after_ms: u64,
        /// Requests that waited here.
        waiting: u32,
        /// How long it was held, in milliseconds.
        held_ms: f64,
        /// What was known of the targets, where they were looked at.
        targets: Option<TargetCounts>,
    },
    /// Its answer broke off when a part of it had been passed on.
    AnswerCut {
        /// Number of the attempt.
        attempt: u32,
        /// How much of the answer's body the caller got, in bytes.
        passed_bytes: u64,
    },
    /// It was answered.
    Delivered {
        /// Number of the attempt whose answer it was.
        attempt: u32,
        /// Status of the answer.
        status: u16,
    },
}

/// The trace of one request.
#[derive(Debug, Clone, Default)]
pub struct Trace {
    events: Vec<(u64, TraceEvent)>,
}

impl Trace {
    /// Adds an event at `at_us` on the entry's clock.
    pub fn add(&mut self, at_us: u64, event: TraceEvent) {
        self.events.push((at_us, event));
    }

    /// Whether nothing has happened.
    pub fn is_empty(&self) -> bool {
        self.events.is_empty()
    }

    /// How important the trace is, for a request that took `duration_us` and should have taken `aim_us`.
    pub fn importance(&self, duration_us: u64, aim_us: Option<u64>) -> Importance {
        let has_failed = self.events.iter().any(|(_, event)| match event {
            TraceEvent::Refused { .. } | TraceEvent::CallerLeft | TraceEvent::AnswerCut { .. } => {
                true
            }
            TraceEvent::Delivered { status, .. } => *status >= 400,
            _ => false,
        });
        let is_sent = |(_, event): &&(u64, TraceEvent)| matches!(event, TraceEvent::Sent { .. });
        if has_failed {
            Importance::Failure
        } else if self.events.iter().filter(is_sent).count() > 1
            || aim_us.is_some_and(|aim_us| duration_us > aim_us)
        {
            Importance::Unusual
        } else {
            Importance::Plain
        }
    }

    /// The lines of the trace, told at `now_us`. Each carries what `head` says: the request's id, its
    /// route and the version in force.
    pub fn into_lines(self, now_us: u64, common_facts: &[(&str, String)]) -> Vec<String> {
        let to_text = |(at_us, event): (u64, TraceEvent)| {
            let ago_us = now_us.saturating_sub(at_us);
            let mut line = Line::new(PART, event_name(&event), ago_us);
            for (field, value) in common_facts {
                line = line.with(field, value.as_str());
            }
            add_event_facts(line, event).into_text()
        };
        self.events.into_iter().map(to_text).collect()
    }
}

fn event_name(event: &TraceEvent) -> &'static str {
    match event {
        TraceEvent::Sent { .. } => "sent",
        TraceEvent::Ended { .. } => "ended",
        TraceEvent::Cancelled { .. } => "cancelled",
        TraceEvent::CallerLeft => "caller_left",
        TraceEvent::Refused { .. } => "refused",
        TraceEvent::AnswerCut { .. } => "answer_cut",
        TraceEvent::Delivered { .. } => "delivered",
    }
}

fn add_event_facts(line: Line, event: TraceEvent) -> Line {
    match event {
        TraceEvent::Sent { attempt, chosen } => {
            add_chosen_facts(line.with("attempt", attempt), &chosen)
        }
        TraceEvent::Ended {
            attempt,
            outcome,
            status,
        } => line
            .with("attempt", attempt)
            .with("outcome", outcome)
            .with("status", status),
        TraceEvent::Cancelled { attempt } => line.with("attempt", attempt),
        TraceEvent::CallerLeft => line,
        TraceEvent::Refused {
            reason,
            run,
            status,
            retry_after_ms,
            waiting,
            held_ms,
            targets,
        } => add_target_counts(
            line.with("reason", reason)
                .with("run", run)
                .with("status", status)
                .with("retry_after_ms", retry_after_ms)
                .with("waiting", waiting)
                .with_number("held_ms", held_ms),
            targets,
        ),
        TraceEvent::AnswerCut {
            attempt,
            passed_bytes,
        } => line
            .with("attempt", attempt)
            .with("passed_bytes", passed_bytes),
        TraceEvent::Delivered { attempt, status } => {
            line.with("attempt", attempt).with("status", status)
        }
    }
}

fn add_chosen_facts(line: Line, chosen: &Chosen) -> Line {
    let line = line
        .with("target", chosen.target.as_str())
        .with_number("forecast_ms", f64::from(chosen.forecast_ms))
        .with_number("load", f64::from(chosen.load))
        .with_number("slowdown", f64::from(chosen.slowdown));
    match chosen.report_age_ms {
        Some(age_ms) => line.with_number("report_age_ms", age_ms),
        None => line,
    }
}

fn add_target_counts(line: Line, targets: Option<TargetCounts>) -> Line {
    let Some(targets) = targets else {
        return line;
    };
    line.with("targets", targets.all)
        .with("targets_leaving", targets.leaving)
        .with("targets_resting", targets.resting)
        .with("targets_ejected", targets.ejected)
        .with("targets_slow", targets.slow)
        .with("targets_full", targets.full)
}
