//! Cost of the record of decisions per request: processor time of the serving thread, and bytes written.

use super::MeasureSettings;
use super::median;
use super::publish;
use crate::lab::LabError;
use pinhaven_record::Chosen;
use pinhaven_record::Importance;
use pinhaven_record::Recorder;
use pinhaven_record::Ring;
use pinhaven_record::Trace;
use pinhaven_record::TraceEvent;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

/// Number of requests per run.
const REQUESTS: u64 = 20_000;
/// Number of requests after which the ring is emptied, outside the measured time. The ring has room for a batch.
const BATCH: u64 = 100;
/// Size of the ring, in bytes; the default of the settings.
const RING_BYTES: usize = 256 * 1024;

/// Kinds of request, each with the number of plain requests of which one is recorded.
const CASES: [(&str, u64); 3] = [
    ("plain, one in 100 kept", 100),
    ("plain, all kept", 1),
    ("with a hedge", 100),
];

pub(super) fn run(settings: &MeasureSettings) -> Result<(), LabError> {
    let mut rows = Vec::new();
    for (name, plain_one_in) in CASES {
        let is_hedged = name == "with a hedge";
        let runs: Vec<(f64, f64)> = (0..settings.runs.max(5))
            .map(|_| measure_cost(is_hedged, plain_one_in))
            .collect();
        let times: Vec<f64> = runs.iter().map(|(us, _)| *us).collect();
        let bytes: Vec<f64> = runs.iter().map(|(_, bytes)| *bytes).collect();
        rows.push(vec![
            name.to_owned(),
            format!("{:.2}", median(&times)),
            format!("{:.0}", median(&bytes)),
        ]);
    }
    let heads = ["request", "microseconds", "bytes written"];
    publish(&settings.folder, "record", &heads, &rows)
}

/// Mean cost of a request, in microseconds and bytes.
fn measure_cost(is_hedged: bool, plain_one_in: u64) -> (f64, f64) {
    let ring = Arc::new(Ring::new(RING_BYTES));
    let recorder = Recorder::new(Arc::clone(&ring), "vienna-1-entry-1", plain_one_in);
    let mut bytes = 0;
    let mut spent = Duration::ZERO;
    for batch in 0..REQUESTS / BATCH {
        let started_at = Instant::now();
        for number in 0..BATCH {
            record(&recorder, batch * BATCH + number, is_hedged);
        }
        spent += started_at.elapsed();
        bytes += ring.take(Duration::ZERO).map_or(0, |text| text.len());
    }
    let requests = REQUESTS as f64;
    (
        spent.as_secs_f64() * 1e6 / requests,
        bytes as f64 / requests,
    )
}

/// Records one request as an entry does.
fn record(recorder: &Recorder, number: u64, is_hedged: bool) {
    let mut trace = Trace::default();
    trace.add(1_000, sent_event(0));
    if is_hedged {
        trace.add(61_000, sent_event(1));
    }
    trace.add(
        90_000,
        TraceEvent::Ended {
            attempt: 0,
            outcome: "answered",
            status: Some(200),
        },
    );
    trace.add(
        90_010,
        TraceEvent::Delivered {
            attempt: 0,
            status: 200,
        },
    );
    let importance = trace.importance(89_010, Some(200_000));
    debug_assert!(importance != Importance::Failure);
    let facts = [
        ("route", "timetable".to_owned()),
        ("service", "booking".to_owned()),
        ("version", "12".to_owned()),
    ];
    let id = format!("{number:016x}");
    recorder.record_trace(trace, 90_020, importance, &id, &facts);
}

fn sent_event(attempt: u32) -> TraceEvent {
    TraceEvent::Sent {
        attempt,
        chosen: Chosen {
            target: "i-7f3a91c2".to_owned(),
            forecast_ms: 87.1,
            load: 1.0,
            slowdown: 1.0,
            report_age_ms: Some(19.6),
        },
    }
}
