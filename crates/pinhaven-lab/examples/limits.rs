//! Prints how the decision on rate limits compares with the alternatives, in an emulation of the serving entries.
//!
//! `cargo run --release -p pinhaven-lab --example limits`

#[path = "../../pinhaven-limits/tests/common/mod.rs"]
#[allow(dead_code, missing_docs)]
mod emulation;

use emulation::Decision;
use emulation::Fault;
use emulation::Outcome;
use emulation::Scenario;
use emulation::Shared;
use emulation::run;
use pinhaven_limits::Limit;
use pinhaven_limits::OrganisationCount;
use pinhaven_limits::OrganisationKey;
use pinhaven_types::Incarnation;
use pinhaven_types::Microseconds;
use std::collections::BTreeSet;
use std::collections::HashMap;

/// Entries in all, and how many of them serve.
const SIZES: [(usize, usize); 3] = [(17, 8), (142, 12), (472, 20)];
const RATES: [f64; 3] = [5.0, 25.0, 250.0];
const SEEDS: u64 = 5;
/// Interval between advertisements of the alternative that exchanges counts.
const INTERVAL: Microseconds = Microseconds::from_ms(150);

/// A token bucket per organisation with a part of the limit, which counts of peers drain if it is the whole limit.
struct Buckets<const IS_WHOLE: bool> {
    part: f64,
    buckets: HashMap<OrganisationKey, Bucket>,
    heard: HashMap<(Incarnation, OrganisationKey), u32>,
    sent_at: Microseconds,
}

struct Bucket {
    limit: Limit,
    level: f64,
    at: Microseconds,
    count: u32,
}

impl<const IS_WHOLE: bool> Decision for Buckets<IS_WHOLE> {
    fn start(entries: usize) -> Self {
        Self {
            part: if IS_WHOLE { 1.0 } else { 1.0 / entries as f64 },
            buckets: HashMap::new(),
            heard: HashMap::new(),
            sent_at: Microseconds::ZERO,
        }
    }

    fn set_limits(&mut self, limits: &[(OrganisationKey, Option<Limit>)], now: Microseconds) {
        for (key, limit) in limits {
            let Some(limit) = limit else { continue };
            let limit = Limit {
                requests_per_s: limit.requests_per_s * self.part,
                burst: (limit.burst * self.part).max(1.0),
            };
            self.buckets.entry(*key).or_insert(Bucket {
                limit,
                level: limit.burst,
                at: now,
                count: 0,
            });
        }
    }

    fn admit(
        &mut self,
        key: OrganisationKey,
        _is_later_try: bool,
        now: Microseconds,
    ) -> Result<(), Microseconds> {
        let Some(bucket) = self.buckets.get_mut(&key) else {
            return Ok(());
        };
        let elapsed_s = now.saturating_sub(bucket.at).as_ms() / 1_000.0;
        bucket.at = now;
        let filled = bucket.level + bucket.limit.requests_per_s * elapsed_s;
        bucket.level = filled.min(bucket.limit.burst);
        if bucket.level < 1.0 {
            return Err(INTERVAL);
        }
        bucket.level -= 1.0;
        bucket.count += 1;
        Ok(())
    }

    fn counts(&mut self, _is_full: bool, now: Microseconds) -> Option<Vec<OrganisationCount>> {
        if !IS_WHOLE || now.saturating_sub(self.sent_at) < INTERVAL {
            return None;
        }
        self.sent_at = now;
        let rows = self.buckets.iter().map(|(key, bucket)| OrganisationCount {
            key: *key,
            count: bucket.count,
        });
        Some(rows.collect())
    }

    fn record_peer(
        &mut self,
        peer: Incarnation,
        _sequence: u64,
        counts: &[OrganisationCount],
        _demand: f64,
        _now: Microseconds,
    ) {
        for OrganisationCount { key, count } in counts {
            let before = self.heard.insert((peer, *key), *count).unwrap_or(*count);
            if let Some(bucket) = self.buckets.get_mut(key) {
                bucket.level -= f64::from(count.saturating_sub(before));
            }
        }
    }

    fn end_peer(&mut self, _peer: Incarnation) {}

    fn record_members(&mut self, _serving: BTreeSet<Incarnation>, _now: Microseconds) {}
}

/// What a case changes, the name of the case and the period of which the share served is shown.
type Case = (&'static str, fn(&mut Scenario), std::ops::Range<u64>);

const CASES: [Case; 5] = [
    ("0.9, all entries", |_| {}, 5_000..30_000),
    (
        "0.9, one entry",
        |case| case.used_entries = 1,
        5_000..30_000,
    ),
    (
        "jump to 4",
        |case| case.load.push((10_000, 4.0)),
        10_000..30_000,
    ),
    (
        "jump to 4, cut in halves",
        |case| {
            case.load.push((10_000, 4.0));
            case.faults = vec![Fault::Cut {
                entries: 0..case.entries / 2,
                ms: 10_000..20_000,
            }];
        },
        10_000..30_000,
    ),
    (
        "jump to 4, all restart twice",
        |case| {
            case.load.push((10_000, 4.0));
            case.faults = [11_000, 13_000]
                .map(|at_ms| Fault::Restart {
                    entries: 0..case.entries,
                    at_ms,
                })
                .into();
        },
        10_000..30_000,
    ),
];

fn main() {
    let mut rows = Vec::new();
    for (all, serving) in SIZES {
        for (name, change, period_ms) in CASES {
            let of = |run: fn(&Scenario) -> Outcome| summary(serving, change, &period_ms, run);
            rows.push(vec![
                format!("{all}, {serving} serve"),
                name.to_owned(),
                of(run::<Shared>),
                of(run::<Buckets<true>>),
                of(run::<Buckets<false>>),
            ]);
        }
    }
    println!("Worst part of the bound in any 5 s / mean share of the requests served.");
    pinhaven_lab::print_table(
        &[
            "entries",
            "case",
            "pinhaven-limits",
            "counts only",
            "equal shares",
        ],
        &rows,
    );
}

fn summary(
    serving: usize,
    change: fn(&mut Scenario),
    period_ms: &std::ops::Range<u64>,
    run: fn(&Scenario) -> Outcome,
) -> String {
    let (mut worst, mut shares) = (0.0_f64, 0.0);
    for rate in RATES {
        for seed in 0..SEEDS {
            let mut scenario = Scenario::new(seed, rate, 0.9);
            scenario.entries = serving;
            scenario.used_entries = serving;
            change(&mut scenario);
            let outcome = run(&scenario);
            worst = worst.max(outcome.worst.0);
            shares += outcome.share(period_ms.clone());
        }
    }
    let share = shares / (RATES.len() as f64 * SEEDS as f64);
    format!("{worst:.2} / {share:.2}")
}
