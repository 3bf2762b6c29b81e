//! Helpers that the tests of this crate share.
#![allow(dead_code)]

pub mod driven;

use pinhaven_bundle::Service;
use pinhaven_decide::Action;
use pinhaven_decide::Attempt;
use pinhaven_decide::AttemptId;
use pinhaven_decide::AttemptOutcome;
use pinhaven_decide::Event;
use pinhaven_decide::LoadReport;
use pinhaven_decide::Microseconds;
use pinhaven_decide::Refusal;
use pinhaven_decide::RequestFacts;
use pinhaven_decide::RequestState;
use pinhaven_decide::ServiceState;
use pinhaven_decide::Step;
use serde_json::Value;
use serde_json::json;
use std::sync::Arc;

/// Time `time_ms` milliseconds after the start of a test.
pub fn at_ms(time_ms: u64) -> Microseconds {
    Microseconds::from_ms(1_000_000 + time_ms)
}

/// Configuration of a service with `targets` targets and the given `fields`.
pub fn service_with(targets: u16, fields: Value) -> Service {
    let targets: Vec<Value> = (0..targets)
        .map(|number| {
            let address = format!("127.0.0.1:{}", 9_000 + number);
            json!({"address": address, "failure_domain": format!("domain-{}", number % 3)})
        })
        .collect();
    let mut service = json!({
        "name": "quote", "hosts": ["quote"], "slots": 6, "typical_ms": 20, "targets": targets,
    });
    for (name, value) in fields.as_object().unwrap() {
        service[name] = value.clone();
    }
    serde_json::from_value(service).unwrap()
}

/// State of a service with `targets` targets and the given `fields`.
pub fn state_with(targets: u16, fields: Value) -> Arc<ServiceState> {
    let service = service_with(targets, fields);
    Arc::new(ServiceState::new(&service, None, at_ms(0)))
}

/// Successful answer with a report of `running` and `waiting` requests.
pub fn good(running: u32, waiting: u32) -> AttemptOutcome {
    AttemptOutcome::Answered {
        is_server_error: false,
        report: Some(LoadReport {
            running,
            waiting,
            is_draining: false,
            slowdown: None,
        }),
    }
}

/// Answer that reports a failure of the target.
pub const FAILED: AttemptOutcome = AttemptOutcome::Answered {
    is_server_error: true,
    report: None,
};

/// A request with the service and the random generator that it uses, and its attempts in flight.
pub struct Driven {
    pub service: Arc<ServiceState>,
    pub request: RequestState,
    pub random: fastrand::Rng,
    pub under_way: Vec<Attempt>,
}

impl Driven {
    pub fn new(service: &Arc<ServiceState>, facts: RequestFacts) -> Self {
        Self {
            service: Arc::clone(service),
            request: RequestState::new(facts),
            random: fastrand::Rng::with_seed(1),
            under_way: Vec::new(),
        }
    }

    /// Creates a repeatable request with a deadline of one second.
    pub fn repeatable(service: &Arc<ServiceState>) -> Self {
        Self::new(service, RequestFacts::new(true, at_ms(1_000)))
    }

    /// Creates a request that is not repeatable, with a deadline of one second.
    pub fn once(service: &Arc<ServiceState>) -> Self {
        Self::new(service, RequestFacts::new(false, at_ms(1_000)))
    }

    /// Passes an event to the request, holds new attempts, drops cancelled ones and returns a summary of the step.
    pub fn handle(&mut self, time_ms: u64, event: Event) -> Outcome {
        let now = at_ms(time_ms);
        let Step {
            actions,
            wake_at,
            awaits_capacity,
        } = self
            .request
            .handle(&self.service, now, &mut self.random, event);
        let mut outcome = Outcome {
            sent: 0,
            forwarded: 0,
            cancelled: 0,
            delivered: None,
            refused: None,
            wake_at,
            awaits_capacity,
            offers_capacity: false,
        };
        for action in actions {
            match action {
                Action::Send(attempt) => {
                    outcome.sent += 1;
                    self.under_way.push(attempt);
                }
                Action::Cancel(id) => {
                    outcome.cancelled += 1;
                    self.under_way.retain(|attempt| attempt.id != id);
                }
                Action::Deliver(id) => outcome.delivered = Some(id),
                Action::Refuse(refusal) => outcome.refused = Some(refusal),
                Action::OfferCapacity => outcome.offers_capacity = true,
                Action::Forward { .. } => outcome.forwarded += 1,
                Action::CancelForward | Action::DeliverForwarded => {}
            }
        }
        outcome
    }

    /// Ends the attempt with index `attempt`.
    pub fn end(&mut self, time_ms: u64, attempt: u32, ended: AttemptOutcome) -> Outcome {
        let id = AttemptId(attempt);
        self.under_way.retain(|attempt| attempt.id != id);
        let event = Event::AttemptEnded {
            attempt: id,
            outcome: ended,
        };
        self.handle(time_ms, event)
    }
}

/// Summary of a step.
#[derive(Debug)]
pub struct Outcome {
    pub sent: usize,
    pub forwarded: usize,
    pub cancelled: usize,
    pub delivered: Option<AttemptId>,
    pub refused: Option<Refusal>,
    pub wake_at: Option<Microseconds>,
    pub awaits_capacity: bool,
    pub offers_capacity: bool,
}

impl Outcome {
    pub fn is_final(&self) -> bool {
        self.delivered.is_some() || self.refused.is_some()
    }
}
