//! What targets ask for with their answers: to be left, or to be let rest.

mod common;

use common::at_ms;
use common::driven::Driven;
use common::driven::report;
use common::driven::service;
use pinhaven_bundle::Service;
use pinhaven_decide::AnswerOrders;
use pinhaven_decide::ServiceState;
use serde_json::json;
use std::sync::Arc;

const EARLIER: u64 = 1_764_720_000_000;
const LATER: u64 = EARLIER + 60_000;
const LEAVES: AnswerOrders = AnswerOrders {
    leaves: true,
    rest: None,
};

/// A service with one target, in this run.
fn listed(incarnation: u64) -> Service {
    let service = json!({
        "name": "quote", "hosts": ["quote"], "slots": 6, "policy": "forecast",
        "targets": [{
            "id": "i-1", "address": "127.0.0.1:9000", "failure_domain": "domain-0",
            "incarnation": incarnation,
        }],
    });
    serde_json::from_value(service).unwrap()
}

fn state_of(service: &Service, previous: Option<&ServiceState>, time_ms: u64) -> Arc<ServiceState> {
    Arc::new(ServiceState::new(service, previous, at_ms(time_ms)))
}

#[test]
fn a_target_that_says_that_it_leaves_is_chosen_no_more() {
    let service = service(2, 4);
    let news = service.targets()[0].take_orders(&LEAVES, at_ms(0));
    assert!(news.leaves);
    let again = service.targets()[0].take_orders(&LEAVES, at_ms(5));
    assert!(!again.leaves, "it is no news any more");
    for time_ms in 10..30 {
        let request = Driven::new(&service, true, time_ms);
        assert_eq!(request.target(0), 1);
        report(&service, 0, time_ms, 1.0);
    }
}

#[test]
fn no_later_list_that_names_a_target_as_live_outweighs_its_own_word() {
    let first = state_of(&listed(EARLIER), None, 0);
    first.targets()[0].take_orders(&LEAVES, at_ms(10));
    let mut changed = listed(EARLIER);
    changed.slots = 5;
    let second = state_of(&changed, Some(&first), 1_000);
    assert!(second.targets()[0].is_leaving());
    let restarted = state_of(&listed(LATER), Some(&second), 2_000);
    assert!(
        !restarted.targets()[0].is_leaving(),
        "a later run is another"
    );
}
