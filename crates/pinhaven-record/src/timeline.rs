//! Aggregates records over time: refusals and slowest answers by second, and state changes of the entries.

use crate::read::ReadLine;
use std::collections::BTreeMap;
use std::collections::HashMap;

/// A state change, at the time when the first entry recorded it.
#[derive(Debug, Clone, PartialEq)]
pub struct Mark {
    /// Seconds since the first line.
    pub at_s: f64,
    /// Part, event and facts, such as `bundle in_force 12`.
    pub name: String,
}

/// Refusals, slowest answers and state changes over time.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Timeline {
    /// Number of refusals, by reason and by second.
    pub refusals: BTreeMap<String, BTreeMap<u64, u64>>,
    /// Longest time from the first attempt to the answer among the answers of each second, in milliseconds.
    pub slowest_ms: BTreeMap<u64, f64>,
    /// State changes of versions, targets and the store, each at the time when the first entry recorded it.
    pub marks: Vec<Mark>,
}

impl Timeline {
    /// Builds the timeline of `lines`, which must be ordered by time.
    pub fn new(lines: &[ReadLine]) -> Self {
        let mut timeline = Self::default();
        let Some(first) = lines.first() else {
            return timeline;
        };
        let mut sent_at_s: HashMap<(String, String), f64> = HashMap::new();
        for line in lines {
            let at_s = line.time_s - first.time_s;
            let key = (line.text("instance"), line.text("id"));
            match (line.part.as_str(), line.event.as_str()) {
                ("request", "sent" | "forwarded") => {
                    sent_at_s.entry(key).or_insert(at_s);
                }
                ("request", "delivered" | "forward_delivered") => {
                    if let Some(start_s) = sent_at_s.remove(&key) {
                        timeline.add_answer(at_s, (at_s - start_s) * 1_000.0);
                    }
                }
                ("request", "refused") => timeline.add_refusal(at_s, line.text("reason")),
                ("bundle", event) => timeline.add_mark(at_s, line, event, &["version"]),
                ("service", event) => {
                    timeline.add_mark(at_s, line, event, &["service", "instance"]);
                }
                ("target", event @ ("draining" | "gone" | "back" | "told_leaving")) => {
                    timeline.add_mark(at_s, line, event, &["target"]);
                }
                ("target", event @ "told_rest") => {
                    timeline.add_mark(at_s, line, event, &["target", "instance"]);
                }
                ("target", event @ "restarted") => {
                    timeline.add_mark(at_s, line, event, &["target", "incarnation"]);
                }
                ("store", event) => timeline.add_mark(at_s, line, event, &["instance"]),
                _ => {}
            }
        }
        timeline
    }

    fn add_answer(&mut self, at_s: f64, duration_ms: f64) {
        let slowest_ms = self.slowest_ms.entry(at_s as u64).or_default();
        *slowest_ms = slowest_ms.max(duration_ms);
    }

    fn add_refusal(&mut self, at_s: f64, reason: String) {
        let seconds = self.refusals.entry(reason).or_default();
        *seconds.entry(at_s as u64).or_default() += 1;
    }

    fn add_mark(&mut self, at_s: f64, line: &ReadLine, event: &str, facts: &[&str]) {
        let facts: Vec<String> = facts.iter().map(|fact| line.text(fact)).collect();
        let name = format!("{} {event} {}", line.part, facts.join(" "));
        if !self.marks.iter().any(|mark| mark.name == name) {
            self.marks.push(Mark { at_s, name });
        }
    }
}
