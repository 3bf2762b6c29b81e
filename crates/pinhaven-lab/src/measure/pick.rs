//! Time to choose a target, for few and many targets.

use super::MeasureSettings;
use super::median;
use super::publish;
use crate::lab::LabError;
use pinhaven_bundle::Service;
use pinhaven_decide::Event;
use pinhaven_decide::Microseconds;
use pinhaven_decide::RequestFacts;
use pinhaven_decide::RequestState;
use pinhaven_decide::ServiceState;
use serde_json::json;
use std::sync::Arc;
use std::time::Instant;

/// Numbers of targets.
const SIZES: [u64; 4] = [30, 300, 3_000, 15_000];
/// Number of choices per run.
const PICKS: u64 = 200_000;

pub(super) fn run(settings: &MeasureSettings) -> Result<(), LabError> {
    let mut rows = Vec::new();
    for policy in ["random", "two_choices", "least_in_flight", "pinhaven"] {
        for size in SIZES {
            if policy == "least_in_flight" && size > SIZES[0] {
                continue;
            }
            let runs: Vec<f64> = (0..settings.runs.max(5))
                .map(|seed| pick_time_ns(policy, size, seed))
                .collect();
            rows.push(vec![
                policy.to_owned(),
                size.to_string(),
                format!("{:.0}", median(&runs)),
            ]);
        }
    }
    let heads = ["policy", "targets", "arrival to send, ns"];
    publish(&settings.folder, "pick", &heads, &rows)
}

/// Mean time from the arrival of a request to the first attempt, with the bookkeeping of the attempt, in
/// nanoseconds.
fn pick_time_ns(policy: &str, targets: u64, seed: u64) -> f64 {
    let service = service(policy, targets);
    let now = Microseconds::from_ms(1_000);
    let state = Arc::new(ServiceState::new(&service, None, now));
    let mut random = fastrand::Rng::with_seed(seed);
    let started_at = Instant::now();
    for number in 0..PICKS {
        let now = Microseconds::new(1_000_000 + number);
        let facts = RequestFacts::new(true, now.plus(Microseconds::from_ms(500)));
        let mut request = RequestState::new(facts);
        let step = request.handle(&state, now, &mut random, Event::Arrived);
        std::hint::black_box(step);
    }
    started_at.elapsed().as_nanos() as f64 / PICKS as f64
}

fn service(policy: &str, targets: u64) -> Service {
    let targets: Vec<_> = (0..targets)
        .map(|number| {
            let address = format!("10.0.{}.{}:80", number / 250, number % 250 + 1);
            json!({"address": address, "failure_domain": "a"})
        })
        .collect();
    let service = json!({
        "name": "quote", "hosts": ["quote"], "slots": 6, "policy": policy, "targets": targets,
    });
    serde_json::from_value(service)
        .unwrap_or_else(|error| unreachable!("the service above must be valid: {error}"))
}
