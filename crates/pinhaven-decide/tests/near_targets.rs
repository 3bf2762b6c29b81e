//! Which failure domain requests go to from an entry that owns none of the targets, as most of several hundred do.
//!
//! Lists are in the order of addresses, so that the targets of a domain stand one after another. Guards against a sample
//! from one place of the list, which holds targets of one domain only, mostly of another one.

mod common;

use common::Driven;
use common::at_ms;
use common::good;
use common::service_with;
use pinhaven_decide::Event;
use pinhaven_decide::RequestFacts;
use pinhaven_decide::ServiceState;
use serde_json::json;
use std::sync::Arc;

const OWN_DOMAIN: &str = "domain-1";

/// A service with this number of targets in each of three failure domains, at an entry of [`OWN_DOMAIN`].
fn service(targets_per_domain: u16) -> Arc<ServiceState> {
    let mut config = service_with(3 * targets_per_domain, json!({"policy": "forecast"}));
    for (index, target) in config.targets.iter_mut().enumerate() {
        let domain = index / usize::from(targets_per_domain);
        target.failure_domain = format!("domain-{domain}").parse().unwrap();
    }
    let service = ServiceState::new(&config, None, at_ms(0));
    Arc::new(service.with_domain(&OWN_DOMAIN.parse().unwrap()))
}

/// Sends requests one after another. Returns how many of them went to targets of the entry's own domain.
fn sent_near(service: &Arc<ServiceState>, requests: u64) -> u64 {
    let mut near = 0;
    for seed in 0..requests {
        let mut request = Driven::new(service, RequestFacts::new(false, at_ms(1_000)));
        request.random = fastrand::Rng::with_seed(seed);
        assert_eq!(request.handle(0, Event::Arrived).sent, 1);
        let target = &request.under_way[0].target;
        near += u64::from(target.failure_domain().as_str() == OWN_DOMAIN);
        request.end(10, 0, good(0, 0));
    }
    near
}

#[test]
fn requests_stay_in_the_domain_while_its_targets_are_free() {
    for targets_per_domain in [12, 100, 1_000] {
        assert_eq!(sent_near(&service(targets_per_domain), 200), 200);
    }
}

#[test]
fn requests_go_to_other_domains_when_the_targets_of_their_own_are_full() {
    let service = service(100);
    for target in &service.targets()[100..200] {
        target.record_peer_in_flight(0, 6);
    }
    assert_eq!(sent_near(&service, 200), 0);
}
