//! Buffering, writing and reading back of records.
//!
//! Guards against a blocked or closed output that delays requests or lets the buffer grow without bound.

use pinhaven_record::Chosen;
use pinhaven_record::Importance;
use pinhaven_record::Ring;
use pinhaven_record::Timeline;
use pinhaven_record::Trace;
use pinhaven_record::TraceEvent;
use pinhaven_record::read_lines;
use pinhaven_record::write_lines;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::mpsc;
use std::time::Duration;

fn line(length: usize) -> Vec<String> {
    vec!["x".repeat(length)]
}

/// An output that blocks until the sender of `resume` is dropped.
struct StalledOutput {
    resume: mpsc::Receiver<()>,
    written: Arc<Mutex<Vec<u8>>>,
}

impl Write for StalledOutput {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        let _ = self.resume.recv();
        self.written.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// An output whose reader has closed the pipe.
struct ClosedOutput;

impl Write for ClosedOutput {
    fn write(&mut self, _bytes: &[u8]) -> std::io::Result<usize> {
        Err(std::io::ErrorKind::BrokenPipe.into())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[test]
fn the_fuller_the_ring_the_more_important_a_line_must_be() {
    let ring = Ring::new(1_000);
    assert!(ring.add(Importance::Plain, line(500)));
    assert!(!ring.add(Importance::Plain, line(1)));
    assert!(ring.add(Importance::Unusual, line(250)));
    assert!(!ring.add(Importance::Unusual, line(1)));
    assert!(ring.add(Importance::Failure, line(250)));
    assert!(!ring.add(Importance::Failure, line(1)));
    assert_eq!(ring.counts().dropped, [1, 1, 1]);
}

#[test]
fn lines_that_belong_together_are_taken_together_or_not_at_all() {
    let ring = Ring::new(1_000);
    let trace = vec!["a".repeat(400), "b".repeat(400)];
    assert!(!ring.add(Importance::Plain, trace));
    assert_eq!(ring.counts().accepted, 0);
    assert_eq!(ring.counts().dropped, [2, 0, 0]);
}

#[test]
fn an_output_that_stands_still_holds_nobody_up_and_what_was_dropped_is_said() {
    let ring = Arc::new(Ring::new(1_000));
    let (release, released) = mpsc::channel();
    let written = Arc::new(Mutex::new(Vec::new()));
    let output = StalledOutput {
        resume: released,
        written: Arc::clone(&written),
    };
    let shared = Arc::clone(&ring);
    let writer = std::thread::spawn(move || write_lines(&shared, output));
    // Far more lines than fit into the ring. Each call returns although the writer is blocked.
    for _ in 0..10_000 {
        ring.add(Importance::Failure, line(100));
    }
    assert!(ring.counts().all_dropped() > 9_000);
    ring.close();
    drop(release);
    writer.join().unwrap();
    let written = String::from_utf8(written.lock().unwrap().clone()).unwrap();
    assert!(written.contains("\"event\":\"dropped\""), "{written}");
}

#[test]
fn a_closed_output_ends_the_writer_and_nothing_else() {
    let ring = Ring::new(1_000);
    ring.add(Importance::Failure, line(10));
    write_lines(&ring, ClosedOutput);
    assert!(!ring.add(Importance::Failure, line(10)));
    assert_eq!(ring.take(Duration::ZERO), None);
}

fn sent(attempt: u32) -> TraceEvent {
    TraceEvent::Sent {
        attempt,
        chosen: Chosen {
            target: "i-1".to_owned(),
            forecast_ms: 66.0,
            load: 2.0,
            slowdown: 1.0,
            report_age_ms: Some(12.0),
        },
    }
}

#[test]
fn failures_are_more_important_than_retries_and_those_more_than_plain_answers() {
    let delivered = |status| TraceEvent::Delivered { attempt: 0, status };
    let importance = |events: &[TraceEvent], duration_us| {
        let mut trace = Trace::default();
        for event in events {
            trace.add(0, event.clone());
        }
        trace.importance(duration_us, Some(200_000))
    };
    assert_eq!(importance(&[sent(0), delivered(200)], 1), Importance::Plain);
    assert_eq!(
        importance(&[sent(0), delivered(200)], 300_000),
        Importance::Unusual
    );
    assert_eq!(
        importance(&[sent(0), sent(1), delivered(200)], 1),
        Importance::Unusual
    );
    assert_eq!(
        importance(&[sent(0), delivered(504)], 1),
        Importance::Failure
    );
    assert_eq!(
        importance(&[TraceEvent::CallerLeft], 1),
        Importance::Failure
    );
}

#[test]
fn a_trace_is_read_back_with_the_facts_that_decided_it() {
    let mut trace = Trace::default();
    trace.add(1_000, sent(0));
    trace.add(
        3_000,
        TraceEvent::Delivered {
            attempt: 0,
            status: 200,
        },
    );
    let lines = trace.into_lines(3_000, &[("id", "r-1".to_owned())]);
    let text = format!("  6.5 edge-1 {}garbage\n{}", lines[0], lines[1]);
    let (read, invalid) = read_lines(&text);
    assert_eq!(invalid, 1);
    assert_eq!(read.len(), 2);
    assert_eq!(read[0].event, "sent");
    assert_eq!(read[0].text("id"), "r-1");
    assert_eq!(read[0].text("report_age_ms"), "12.0");
    assert!(read[0].time_s < read[1].time_s);
}

#[test]
fn a_timeline_counts_refusals_by_the_second_and_marks_each_change_once() {
    let text = r#"
        {"time_s": 100.0, "part": "request", "event": "sent", "id": "a", "instance": "e1"}
        {"time_s": 100.2, "part": "bundle", "event": "in_force", "version": "7", "instance": "e1"}
        {"time_s": 100.3, "part": "bundle", "event": "in_force", "version": "7", "instance": "e2"}
        {"time_s": 100.4, "part": "request", "event": "delivered", "id": "a", "instance": "e1"}
        {"time_s": 101.1, "part": "request", "event": "refused", "reason": "overloaded", "id": "b"}
        {"time_s": 101.9, "part": "request", "event": "refused", "reason": "overloaded", "id": "c"}
        {"time_s": 103.5, "part": "store", "event": "lost", "instance": "e1"}
    "#;
    let (lines, invalid) = read_lines(text);
    assert_eq!(invalid, 0);
    let timeline = Timeline::new(&lines);
    assert_eq!(timeline.refusals["overloaded"], [(1, 2)].into());
    assert!((timeline.slowest_ms[&0] - 400.0).abs() < 1.0);
    let marks: Vec<&str> = timeline
        .marks
        .iter()
        .map(|mark| mark.name.as_str())
        .collect();
    assert_eq!(marks, ["bundle in_force 7", "store lost e1"]);
}

#[test]
fn a_timeline_marks_each_start_of_a_target_once() {
    let restarted = |time_s: f64, instance: &str, incarnation: u64| {
        format!(
            r#"{{"time_s": {time_s}, "part": "target", "event": "restarted", "target": "i-1", "incarnation": {incarnation}, "instance": "{instance}"}}"#
        )
    };
    let text = [
        restarted(1.0, "e1", 2_000),
        restarted(1.5, "e2", 2_000),
        restarted(4.0, "e1", 5_000),
    ];
    let (lines, invalid) = read_lines(&text.join("\n"));
    assert_eq!(invalid, 0);
    let timeline = Timeline::new(&lines);
    let marks: Vec<(f64, &str)> = timeline
        .marks
        .iter()
        .map(|mark| (mark.at_s, mark.name.as_str()))
        .collect();
    let expected = [
        (0.0, "target restarted i-1 2000"),
        (3.0, "target restarted i-1 5000"),
    ];
    assert_eq!(marks, expected);
}
