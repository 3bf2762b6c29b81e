//! Reading lines of the record back.

use serde_json::Map;
use serde_json::Value;

/// A line that was read.
#[derive(Debug, Clone, PartialEq)]
pub struct ReadLine {
    /// When it happened, in seconds since the epoch by its entry's clock.
    pub time_s: f64,
    /// The part that speaks.
    pub part: String,
    /// What happened; empty for a line of plain text.
    pub event: String,
    /// All other facts.
    pub facts: Map<String, Value>,
}

impl ReadLine {
    /// A fact as text; empty if it is not there.
    pub fn text(&self, name: &str) -> String {
        match self.facts.get(name) {
            None | Some(Value::Null) => String::new(),
            Some(Value::String(text)) => text.clone(),
            Some(value) => value.to_string(),
        }
    }
}

/// The lines of a text, and how many of its lines could not be read. What stands before the first
/// brace of a line, such as a time that a collector added, is passed over.
pub fn read_lines(text: &str) -> (Vec<ReadLine>, usize) {
    let mut invalid = 0;
    let mut lines = Vec::new();
    for line in text.lines().filter(|line| !line.trim().is_empty()) {
        match read_line(line) {
            Some(parsed) => lines.push(parsed),
            None => invalid += 1,
        }
    }
    (lines, invalid)
}

fn read_line(line: &str) -> Option<ReadLine> {
    let object = &line[line.find('{')?..];
    let mut facts: Map<String, Value> = serde_json::from_str(object).ok()?;
    let time_s = facts.remove("time_s")?.as_f64()?;
    let mut remove_text = |name: &str| match facts.remove(name) {
        Some(Value::String(text)) => text,
        _ => String::new(),
    };
    let (part, event) = (remove_text("part"), remove_text("event"));
    Some(ReadLine {
        time_s,
        part,
        event,
        facts,
    })
}
