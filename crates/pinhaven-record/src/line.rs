//! One line of the record.

use serde_json::Map;
use serde_json::Value;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// A line that is being put together.
#[derive(Debug, Clone)]
pub struct Line(Map<String, Value>);

impl Line {
    /// A line of a part about an event that happened `ago_us` microseconds ago.
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

    /// The line with a fact more.
    pub fn with(mut self, name: &str, value: impl Into<Value>) -> Self {
        self.0.insert(name.to_owned(), value.into());
        self
    }

    /// The line with a number more, rounded so that it can be read.
    pub fn with_number(self, name: &str, value: f64) -> Self {
        self.with(name, rounded(value, 1))
    }

    /// The text of the line, with its end.
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
