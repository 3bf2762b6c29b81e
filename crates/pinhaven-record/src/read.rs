//! Parser for lines of the record.

use serde_json::Map;
use serde_json::Value;

/// A parsed line of the record.
#[derive(Debug, Clone, PartialEq)]
pub struct ReadLine {
    /// Time of the event in seconds since the epoch, by the entry's clock.
    pub time_s: f64,
    /// Part of the software that wrote the line.
    pub part: String,
    /// Name of the event; empty if the line has none.
    pub event: String,
    /// All other facts of the line.
    pub facts: Map<String, Value>,
}

impl ReadLine {
    /// Returns a fact as text, or an empty string if the line has none.
    pub fn text(&self, name: &str) -> String {
        match self.facts.get(name) {
            None | Some(Value::Null) => String::new(),
            Some(Value::String(text)) => text.clone(),
            Some(value) => value.to_string(),
        }
    }
}

/// Parses the lines of `text`. Returns the parsed lines and the number of lines that are no records. Text before the
/// first brace of a line, such as a timestamp added by a log collector, is ignored.
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
