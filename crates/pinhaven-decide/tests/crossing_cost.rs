//! Which failure domain requests go to where operators set what a crossing costs.
//!
//! Guards against crossings that gain little, against requests that are held back by targets of their own domain, and
//! against requests of a full domain that all go to one other domain.

mod common;

use common::Driven;
use common::at_ms;
use common::good;
use common::service_with;
use pinhaven_decide::Event;
use pinhaven_decide::Microseconds;
use pinhaven_decide::RequestFacts;
use pinhaven_decide::RequestState;
use pinhaven_decide::RouteState;
use pinhaven_decide::ServiceState;
use pinhaven_decide::TargetState;
use serde_json::json;
use std::sync::Arc;

/// Targets in each of three failure domains.
const TARGETS: usize = 24;
const OWN_DOMAIN: &str = "domain-1";
const LARGE_BODY_BYTES: u64 = 60_000;

/// A service with a crossing cost, at an entry of [`OWN_DOMAIN`], whose near targets have reported a slowdown once.
fn service_at(cost: f64, slots: u32, near_slowdown: f32) -> Arc<ServiceState> {
    let fields = json!({"policy": "forecast", "slots": slots});
    let mut config = service_with(3 * TARGETS as u16, fields);
    for (index, target) in config.targets.iter_mut().enumerate() {
        target.failure_domain = format!("domain-{}", index / TARGETS).parse().unwrap();
    }
    let service = ServiceState::new(&config, None, at_ms(0))
        .with_domain(&OWN_DOMAIN.parse().unwrap())
        .with_crossing_cost(Some(cost.try_into().unwrap()));
    for (index, target) in service.targets().iter().enumerate() {
        let slowdown = [1.0, near_slowdown, 1.0][index / TARGETS];
        service.record_speed(target, at_ms(0), slowdown);
    }
    Arc::new(service)
}

fn service(cost: f64, slots: u32) -> Arc<ServiceState> {
    service_at(cost, slots, 1.0)
}

fn near(service: &ServiceState) -> &[Arc<TargetState>] {
    &service.targets()[TARGETS..2 * TARGETS]
}

fn request(service: &Arc<ServiceState>, route: &Arc<RouteState>, body_bytes: u64) -> Driven {
    let mut facts = RequestFacts::new(false, at_ms(30_000));
    facts.body_bytes = body_bytes;
    let mut request = Driven::new(service, facts);
    request.request = RequestState::new(facts).with_route(Arc::clone(route));
    request
}

fn is_near(request: &Driven) -> bool {
    request.under_way[0].target.failure_domain().as_str() == OWN_DOMAIN
}

/// Sends requests one after another. Returns the failure domains of their targets.
fn domains(request: impl Fn() -> Driven) -> Vec<String> {
    let domain_of = |seed| {
        let mut request = request();
        request.random = fastrand::Rng::with_seed(seed);
        assert_eq!(request.handle(0, Event::Arrived).sent, 1);
        let domain = request.under_way[0].target.failure_domain().to_string();
        request.end(0, 0, good(0, 0));
        domain
    };
    (0..200).map(domain_of).collect()
}

/// Domains of requests with a third of the aim as their work.
fn domains_by_route(service: &Arc<ServiceState>, aim_ms: u64, body_bytes: u64) -> Vec<String> {
    // A new route for each, because requests that end at once would count as little work.
    let new = || request(service, &Arc::new(RouteState::new(aim_ms)), body_bytes);
    domains(new)
}

fn near_share(domains: &[String]) -> f64 {
    let near = domains.iter().filter(|domain| *domain == OWN_DOMAIN);
    near.count() as f64 / domains.len() as f64
}

#[test]
fn a_large_body_does_not_cross_for_an_answer_that_is_a_little_earlier() {
    let service = service_at(1.0, 6, 1.8);
    assert_eq!(
        near_share(&domains_by_route(&service, 600, LARGE_BODY_BYTES)),
        1.0
    );
    assert_eq!(near_share(&domains_by_route(&service, 600, 0)), 0.0);
}

#[test]
fn requests_cross_at_once_when_their_own_targets_are_slow_cold_or_drained() {
    let changes: [fn(&TargetState); 4] = [
        |_| {},
        |target| target.extend_cold(at_ms(3_000)),
        |target| target.set_domain_drained(true),
        |target| target.mark_leaving(),
    ];
    for (change, slowdown) in changes.into_iter().zip([6.0, 1.0, 1.0, 1.0]) {
        let service = service_at(10.0, 6, slowdown);
        for target in near(&service) {
            change(target);
        }
        // Work of 20 ms and an aim of 1 s, so that also slow and cold targets would answer well within the aim.
        let domains = domains(|| Driven::once(&service));
        assert_eq!(near_share(&domains), 0.0);
    }
}

#[test]
fn requests_of_a_full_domain_are_divided_by_the_free_slots_of_the_others() {
    let service = service(1.0, 6);
    for (index, target) in service.targets().iter().enumerate() {
        // Of 6 slots 4 are worth using, so that the first domain has half the free slots of the last one.
        target.record_peer_in_flight(0, [2, 6, 0][index / TARGETS]);
    }
    let domains = domains_by_route(&service, 600, 0);
    let first = domains
        .iter()
        .filter(|domain| *domain == "domain-0")
        .count();
    assert!((50..=90).contains(&first), "{first} of 200");
    assert_eq!(near_share(&domains), 0.0);
}

/// A service whose near targets are full of this entry's own requests.
fn full_of_own(route: &Arc<RouteState>) -> (Arc<ServiceState>, Vec<Driven>) {
    let service = service(1.0, 2);
    let send = |_| {
        let mut request = request(&service, route, LARGE_BODY_BYTES);
        assert_eq!(request.handle(0, Event::Arrived).sent, 1);
        assert!(is_near(&request));
        request
    };
    let requests = (0..TARGETS).map(send).collect();
    for target in near(&service) {
        target.record_peer_in_flight(0, 1);
    }
    (service, requests)
}

#[test]
fn a_large_body_waits_briefly_for_a_target_of_its_domain() {
    let route = Arc::new(RouteState::new(3_000));
    let (service, mut running) = full_of_own(&route);
    let mut large = request(&service, &route, LARGE_BODY_BYTES);
    let step = large.handle(1, Event::Arrived);
    assert_eq!((step.sent, step.wake_at), (0, Some(at_ms(5))));
    running[0].end(4, 0, good(0, 0));
    assert_eq!(large.handle(5, Event::TimerFired).sent, 1);
    assert!(is_near(&large));

    let mut other = request(&service, &route, LARGE_BODY_BYTES);
    let mut waits = |now_ms| {
        other
            .handle(
                now_ms,
                if now_ms == 6 {
                    Event::Arrived
                } else {
                    Event::TimerFired
                },
            )
            .sent
            == 0
    };
    let waited = (6..).step_by(4).take_while(|now_ms| waits(*now_ms)).count() * 4;
    assert!((200..=300).contains(&waited), "{waited} ms");
    assert!(!is_near(&other));
}

#[test]
fn a_request_that_waits_for_a_target_of_its_domain_delays_no_other() {
    let route = Arc::new(RouteState::new(3_000));
    let (service, _running) = full_of_own(&route);
    let mut large = request(&service, &route, LARGE_BODY_BYTES);
    let step = large.handle(1, Event::Arrived);
    // Without notifications, the request can't take one that another request could use.
    assert!(step.sent == 0 && !step.awaits_capacity);
    let mut facts = RequestFacts::new(false, at_ms(30_000));
    facts.priority = Some(0);
    let mut small = Driven::new(&service, facts);
    small.request = RequestState::new(facts).with_route(route);
    assert_eq!(small.handle(2, Event::Arrived).sent, 1);
    assert!(!is_near(&small));
}

#[test]
fn a_hedge_crosses_only_if_it_meets_the_aim() {
    for (left_ms, hedges) in [(300, 1), (50, 0)] {
        let service = service(1.0, 6);
        for target in service.targets() {
            // Speeds that last for long, so that the slow attempt is expected to end late.
            service.record_speed(target, at_ms(400), 1.0);
        }
        let mut facts = RequestFacts::new(true, at_ms(30_400));
        facts.prior_wait = Microseconds::from_ms(30_000 - left_ms);
        let mut request = Driven::new(&service, facts);
        assert_eq!(request.handle(400, Event::Arrived).sent, 1);
        assert!(is_near(&request));
        for target in near(&service) {
            target.record_peer_in_flight(0, 6);
        }
        let slow = &request.under_way[0].target;
        service.record_speed(slow, at_ms(401), 400.0);
        assert_eq!(request.handle(445, Event::TimerFired).sent, hedges);
    }
}
