//! Events of one request, collected until the request ends and then turned into lines of the record.

use crate::line::Line;
use crate::ring::Importance;

/// Part named in the lines of requests.
const PART: &str = "request";

/// The target chosen for an attempt, and the values that decided the choice.
#[derive(Debug, Clone, PartialEq)]
pub struct Chosen {
    /// Id of the target, or its address if it has no id.
    pub target: String,
    /// Forecast time until the target's answer, in milliseconds.
    pub forecast_ms: f32,
    /// Estimated load of the target, in requests.
    pub load: f32,
    /// Estimated factor by which work takes longer at the target than usual.
    pub slowdown: f32,
    /// Age of the target's last report, in milliseconds; `None` if it has never reported.
    pub report_age_ms: Option<f64>,
}

/// Number of targets by state when a request was refused. One target may count in several states.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TargetCounts {
    /// All targets.
    pub all: u32,
    /// Targets that were leaving.
    pub leaving: u32,
    /// Targets that were resting.
    pub resting: u32,
    /// Targets that were ejected.
    pub ejected: u32,
    /// Targets that were slow.
    pub slow: u32,
    /// Targets without a free slot.
    pub full: u32,
    /// Targets that failed since this entry last heard any target of the service.
    pub failed: u32,
    /// Time since this entry last heard any target of the service, in milliseconds; `None` if it never did.
    pub heard_age_ms: Option<u64>,
}

/// An event of a request.
#[derive(Debug, Clone, PartialEq)]
pub enum TraceEvent {
    /// An attempt was sent to a target.
    Sent {
        /// Number of the attempt.
        attempt: u32,
        /// Chosen target and reasons of the choice.
        chosen: Chosen,
    },
    /// An attempt ended.
    Ended {
        /// Number of the attempt.
        attempt: u32,
        /// Outcome: `answered`, `failed`, `shed`, `not_sent`, `closed`, `broken`, `crashed`, `restarted`, `cut` or
        /// `misdirected`.
        outcome: &'static str,
        /// Status of the answer, if there was one.
        status: Option<u16>,
    },
    /// An attempt was cancelled.
    Cancelled {
        /// Number of the attempt.
        attempt: u32,
    },
    /// The request was forwarded to another entry.
    Forwarded {
        /// Address of the other entry.
        peer: String,
    },
    /// The forwarding ended.
    ForwardEnded {
        /// Outcome: `answered`, `refused`, `not_taken` or `broken`.
        outcome: &'static str,
        /// Status of the answer, if there was one.
        status: Option<u16>,
    },
    /// The forwarding was cancelled.
    ForwardCancelled,
    /// The answer of the other entry was delivered.
    ForwardDelivered {
        /// Status of the answer.
        status: u16,
    },
    /// The caller closed the connection before the answer.
    CallerLeft,
    /// The request was refused or abandoned.
    Refused {
        /// Reason of the refusal.
        reason: &'static str,
        /// Whether a target ran the request: `run`, `not-run` or `unknown`.
        run: &'static str,
        /// Status of the refusal.
        status: u16,
        /// Delay after which the caller may retry, in milliseconds.
        retry_after_ms: u64,
        /// Number of requests of the service that waited at this entry.
        waiting: u32,
        /// Time from the request's start to the refusal, in milliseconds.
        held_ms: f64,
        /// Target states; `None` if the request was refused before the targets were checked.
        targets: Option<TargetCounts>,
    },
    /// The answer broke off after a part of the body had been sent to the caller.
    AnswerCut {
        /// Number of the attempt.
        attempt: u32,
        /// Length of the body part sent to the caller, in bytes.
        passed_bytes: u64,
    },
    /// The request was answered.
    Delivered {
        /// Number of the attempt that gave the answer.
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
    /// Adds an event that happened at `at_us` on the entry's clock.
    pub fn add(&mut self, at_us: u64, event: TraceEvent) {
        self.events.push((at_us, event));
    }

    /// Returns whether the trace has no events.
    pub fn is_empty(&self) -> bool {
        self.events.is_empty()
    }

    /// Returns the importance of the trace for a request that took `duration_us`, with the route's latency objective
    /// `aim_us`.
    pub fn importance(&self, duration_us: u64, aim_us: Option<u64>) -> Importance {
        let has_failed = self.events.iter().any(|(_, event)| match event {
            TraceEvent::Refused { .. } | TraceEvent::CallerLeft | TraceEvent::AnswerCut { .. } => {
                true
            }
            TraceEvent::Delivered { status, .. } | TraceEvent::ForwardDelivered { status } => {
                *status >= 400
            }
            _ => false,
        });
        let is_sent = |(_, event): &&(u64, TraceEvent)| {
            matches!(
                event,
                TraceEvent::Sent { .. } | TraceEvent::Forwarded { .. }
            )
        };
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

    /// Returns the trace as lines of the record, as of `now_us` on the entry's clock. Each line carries
    /// `common_facts`: the request's id, its route and the version in force.
    pub fn into_lines(self, now_us: u64, common_facts: &[(&str, String)]) -> Vec<String> {
        let to_text = |(at_us, event): (u64, TraceEvent)| {
            let ago_us = now_us.saturating_sub(at_us);
            let mut line = Line::new(PART, event_name(&event), ago_us);
            for (field, value) in common_facts {
                line = line.with(field, value.as_str());
            }
            add_facts(line, event).into_text()
        };
        self.events.into_iter().map(to_text).collect()
    }
}

fn event_name(event: &TraceEvent) -> &'static str {
    match event {
        TraceEvent::Sent { .. } => "sent",
        TraceEvent::Ended { .. } => "ended",
        TraceEvent::Cancelled { .. } => "cancelled",
        TraceEvent::Forwarded { .. } => "forwarded",
        TraceEvent::ForwardEnded { .. } => "forward_ended",
        TraceEvent::ForwardCancelled => "forward_cancelled",
        TraceEvent::ForwardDelivered { .. } => "forward_delivered",
        TraceEvent::CallerLeft => "caller_left",
        TraceEvent::Refused { .. } => "refused",
        TraceEvent::AnswerCut { .. } => "answer_cut",
        TraceEvent::Delivered { .. } => "delivered",
    }
}

fn add_facts(line: Line, event: TraceEvent) -> Line {
    match event {
        TraceEvent::Sent { attempt, chosen } => add_sent(line.with("attempt", attempt), &chosen),
        TraceEvent::Ended {
            attempt,
            outcome,
            status,
        } => line
            .with("attempt", attempt)
            .with("outcome", outcome)
            .with("status", status),
        TraceEvent::Cancelled { attempt } => line.with("attempt", attempt),
        TraceEvent::Forwarded { peer } => line.with("peer", peer),
        TraceEvent::ForwardEnded { outcome, status } => {
            line.with("outcome", outcome).with("status", status)
        }
        TraceEvent::ForwardDelivered { status } => line.with("status", status),
        TraceEvent::ForwardCancelled | TraceEvent::CallerLeft => line,
        TraceEvent::Refused {
            reason,
            run,
            status,
            retry_after_ms,
            waiting,
            held_ms,
            targets,
        } => add_targets(
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

fn add_sent(line: Line, chosen: &Chosen) -> Line {
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

fn add_targets(line: Line, targets: Option<TargetCounts>) -> Line {
    let Some(targets) = targets else {
        return line;
    };
    line.with("targets", targets.all)
        .with("targets_leaving", targets.leaving)
        .with("targets_resting", targets.resting)
        .with("targets_ejected", targets.ejected)
        .with("targets_slow", targets.slow)
        .with("targets_full", targets.full)
        .with("targets_failed", targets.failed)
        .with("heard_age_ms", targets.heard_age_ms)
}
