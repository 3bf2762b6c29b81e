//! Targets that turn away a part of their requests while their reports are good.

mod common;

use common::at_ms;
use common::driven::Driven;
use common::service_with;
use pinhaven_decide::AnswerOrders;
use pinhaven_decide::AttemptOutcome;
use pinhaven_decide::Event;
use pinhaven_decide::Microseconds;
use pinhaven_decide::ServiceState;
use serde_json::json;
use std::sync::Arc;

/// Guards against a budget that is used up by requests for which there is no second target.
#[test]
fn a_retry_without_a_target_leaves_the_budget_to_others() {
    let fields = json!({
        "policy": "forecast", "slots": 6, "hedge_budget_percent": 0, "retry_budget_percent": 5,
    });
    let service = Arc::new(ServiceState::new(&service_with(2, fields), None, at_ms(0)));
    service.set_added_attempt_burst(0.0, 1.0);
    let rest = Some(Microseconds::from_ms(100));
    let leaves = false;
    service.targets()[1].record_orders(&AnswerOrders { leaves, rest }, at_ms(2_000));
    for (time_ms, attempts) in [(2_010, 1), (2_200, 2)] {
        let mut request = Driven::new(&service, false, time_ms);
        let shed = Event::AttemptEnded {
            attempt: request.attempts[0].take().unwrap().id,
            outcome: AttemptOutcome::Shed { report: None },
        };
        request.handle(time_ms + 1, shed);
        assert_eq!(request.attempts.len(), attempts, "at {time_ms} ms");
    }
}
