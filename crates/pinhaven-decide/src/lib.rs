//! Load-balancing decisions for requests: target selection, admission, retries, hedges and probe budgets.
//!
//! The crate performs no I/O, reads no clock and starts no thread. The caller, called the driver, passes in the
//! time as [`Microseconds`] of its monotonic clock, a seeded random generator and an [`Event`]. The crate returns a
//! [`Step`] with the [`Action`]s to perform. The entry program and the tests are drivers, so that the same decisions
//! can be tested without a network and reproduced from a seed.
//!
//! State that requests share is in [`ServiceState`] and [`TargetState`]. Both consist of atomics, so that threads
//! decide concurrently without a lock. A new bundle creates a new [`ServiceState`] that carries over the target
//! states of the previous one; requests in flight keep the [`ServiceState`] with which they started.
//!
//! # Examples
//!
//! A driver passes in the events of each request and performs the returned actions:
//!
//! ```
//! use pinhaven_decide::Action;
//! use pinhaven_decide::AttemptOutcome;
//! use pinhaven_decide::Event;
//! use pinhaven_decide::RequestFacts;
//! use pinhaven_decide::RequestState;
//! use pinhaven_decide::ServiceState;
//! use pinhaven_types::Microseconds;
//! use std::sync::Arc;
//!
//! let bundle_service = serde_json::from_str(
//!     r#"{"name": "quote", "hosts": ["quote"], "slots": 6, "targets": [
//!         {"address": "127.0.0.1:9001", "failure_domain": "vienna-1"},
//!         {"address": "127.0.0.1:9002", "failure_domain": "vienna-2"}]}"#,
//! )
//! .unwrap();
//! let now = Microseconds::from_ms(1);
//! let service = Arc::new(ServiceState::new(&bundle_service, None, now));
//! let mut random = fastrand::Rng::with_seed(7);
//! let facts = RequestFacts::new(true, now.plus(Microseconds::from_ms(500)));
//! let mut request = RequestState::new(facts);
//!
//! let step = request.handle(&service, now, &mut random, Event::Arrived);
//! let Some(Action::Send(attempt)) = step.actions.into_iter().next() else {
//!     panic!("an idle service sends the request");
//! };
//! // The driver sends the request to `attempt.target.address()` and receives the answer 20 ms later.
//! let later = Microseconds::from_ms(21);
//! let outcome = AttemptOutcome::Answered { is_server_error: false, report: None };
//! let event = Event::AttemptEnded { attempt: attempt.id, outcome };
//! let step = request.handle(&service, later, &mut random, event);
//! assert!(matches!(step.actions[0], Action::Deliver(id) if id == attempt.id));
//! ```

mod admission;
mod advertised;
mod atomic;
mod availability;
mod budget;
mod choice;
mod cold;
mod connectivity;
mod crashes;
mod event;
mod fair_share;
mod fixed_speed;
mod forecast;
mod forwarding;
mod health;
mod hedge;
mod initial_deadline;
mod lapsed_orders;
mod locality;
mod measuring;
mod orders;
mod progress;
mod recent_runs;
mod refusal;
mod report;
mod request;
mod request_end;
mod request_forecast;
mod retry_after;
mod retry_budget;
mod route;
mod service;
mod service_targets;
mod shortage;
mod speed;
mod spill_over;
mod split;
mod stopping;
mod target;
mod waiting;
mod work_estimate;

pub use advertised::AdvertisedState;
pub use advertised::AdvertisedTargets;
pub use budget::TokenBudget;
pub use cold::ColdAccess;
pub use connectivity::Connectivity;
pub use connectivity::ConnectivityChange;
pub use connectivity::CrashJudgement;
pub use crashes::Audience;
pub use crashes::CrashSuspects;
pub use crashes::CrashedRun;
pub use crashes::HeldRequest;
pub use crashes::SendDecision;
pub use crashes::SuspectFacts;
pub use crashes::TrialTurn;
pub use event::Action;
pub use event::Attempt;
pub use event::AttemptId;
pub use event::AttemptOutcome;
pub use event::ChoiceFacts;
pub use event::Event;
pub use event::ForwardOutcome;
pub use event::Step;
pub use fair_share::OrganisationShare;
pub use locality::CrossingCounts;
pub use locality::SentCounts;
pub use measuring::ProbeBudget;
pub use measuring::ProbePace;
pub use orders::AnswerOrders;
pub use orders::OrderChanges;
pub use orders::SendPermit;
pub use orders::TargetClosed;
pub use pinhaven_types::Microseconds;
pub use refusal::Refusal;
pub use refusal::RefusalReason;
pub use refusal::RunState;
pub use report::LoadReport;
pub use request::RequestFacts;
pub use request::RequestState;
pub use route::RouteState;
pub use service::ServiceCounts;
pub use service::ServiceState;
pub use service::TargetSummary;
pub use spill_over::SpillOver;
pub use spill_over::SpillOverChange;
pub use split::Split;
pub use stopping::StopPlan;
pub use target::TargetState;
pub use target::TargetView;
pub use waiting::URGENCY_COUNT;
