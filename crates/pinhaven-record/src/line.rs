//! Builder for one line of the record.

use serde_json::Map;
use serde_json::Value;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// A line under construction: a JSON object with the time, the part, the event and its facts.
#[derive(Debug, Clone)]
pub struct Line(Map<String, Value>);

impl Line {
    /// Creates a line of `part` for an event that happened `ago_us` microseconds ago.
    pub fn new(part: &str, event: &str, ago_us: u64) -> Self {
        let now_s = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0.0, |since| since.as_secs_f64());
        let mut fields = Map::new();
        let time_s = now_s - ago_us as f64 / 1_000_000.0;
        fields.insert("time_s".to_owned(), rounded(time_s, 4));
        fields.insert("part".to_owned(), part.into());
        fields.insert("event".to_owned(), event.into());
        Self(fields)
    }

    /// Adds a fact.
    pub fn with(mut self, name: &str, value: impl Into<Value>) -> Self {
        self.0.insert(name.to_owned(), value.into());
        self
    }

    /// Adds a number, rounded to one decimal place.
    pub fn with_number(self, name: &str, value: f64) -> Self {
        self.with(name, rounded(value, 1))
    }

    /// Returns the line as JSON text with a trailing newline.
    pub fn into_text(self) -> String {
        let mut text = Value::Object(self.0).to_string();
        text.push('\n');
        text
    }
}

fn rounded(value: f64, digits: i32) -> Value {
    let factor = 10_f64.powi(digits);
    Value::from((value * factor).round() / factor)
}
