//! `pinhaven explain`: prints what happened to one request, from the records of several entries.

use crate::CommandError;
use clap::Args;
use pinhaven_record::ReadLine;
use pinhaven_record::read_lines;
use std::io::Read as _;
use std::path::PathBuf;

/// How long before a request what entries came to believe is still told, in seconds.
const CONTEXT_BEFORE_S: f64 = 5.0;
/// Facts that are not told again on each line.
const HEADER_FACTS: [&str; 5] = ["id", "instance", "route", "service", "version"];

#[derive(Debug, Args)]
pub(crate) struct ExplainArguments {
    /// Id of the request.
    id: String,
    /// Records of entries; the standard input without any.
    files: Vec<PathBuf>,
}

pub(crate) fn run(arguments: &ExplainArguments) -> Result<(), CommandError> {
    let (lines, invalid) = read_all(&arguments.files)?;
    if invalid > 0 {
        eprintln!("{invalid} lines are no records and were passed over");
    }
    let explanation = explain(&arguments.id, lines);
    if explanation.is_empty() {
        return Err(CommandError::new(format!(
            "no line tells of request {:?}; only some of the requests that went well are recorded",
            arguments.id
        )));
    }
    for line in explanation {
        println!("{line}");
    }
    Ok(())
}

/// Reads all files, or the standard input if there are none.
pub(crate) fn read_all(files: &[PathBuf]) -> Result<(Vec<ReadLine>, usize), CommandError> {
    let mut text = String::new();
    if files.is_empty() {
        let read = std::io::stdin().read_to_string(&mut text);
        read.map_err(|error| CommandError::new(format!("standard input: {error}")))?;
    }
    for file in files {
        let bytes = std::fs::read(file)
            .map_err(|error| CommandError::new(format!("{}: {error}", file.display())))?;
        text.push_str(&String::from_utf8_lossy(&bytes));
        text.push('\n');
    }
    let (mut lines, invalid) = read_lines(&text);
    lines.sort_by(|a, b| a.time_s.total_cmp(&b.time_s));
    Ok((lines, invalid))
}

/// What is told of a request: its own lines, and between and before them what the entry that had it
/// came to believe of the targets that it was sent to, of versions and of the store, and which targets of
/// its service had asked to be left or let rest, which leaves a request none.
fn explain(id: &str, lines: Vec<ReadLine>) -> Vec<String> {
    let is_own = |line: &&ReadLine| line.text("id") == id;
    let own: Vec<&ReadLine> = lines.iter().filter(is_own).collect();
    let (Some(first), Some(last)) = (own.first(), own.last()) else {
        return Vec::new();
    };
    let (from_s, to_s) = (first.time_s - CONTEXT_BEFORE_S, last.time_s);
    let targets: Vec<String> = own.iter().map(|line| line.text("target")).collect();
    let is_about = |line: &ReadLine| {
        line.text("instance") == first.text("instance")
            && match line.part.as_str() {
                "target" => targets.contains(&line.text("target")) || is_order(line, first),
                "bundle" | "store" | "entry" => line.event != "log",
                _ => false,
            }
    };
    let mut explanation = vec![format!(
        "request {id} at {}: route {}, service {}, version {}",
        first.text("instance"),
        first.text("route"),
        first.text("service"),
        first.text("version")
    )];
    let is_shown = |line: &&ReadLine| {
        line.text("id") == id || (is_about(line) && (from_s..=to_s).contains(&line.time_s))
    };
    let lines = lines.iter().filter(is_shown);
    explanation.extend(lines.map(|line| describe(line, first.time_s)));
    explanation
}

/// Whether a target of the request's service asked for something.
fn is_order(line: &ReadLine, request: &ReadLine) -> bool {
    let is_order_event = ["told_leaving", "told_rest"].contains(&&*line.event);
    is_order_event && line.text("service") == request.text("service")
}

fn describe(line: &ReadLine, start_s: f64) -> String {
    let at_ms = (line.time_s - start_s) * 1_000.0;
    let facts = line.facts.iter();
    let is_request = line.part == "request";
    let is_in_header = |name: &str| is_request && HEADER_FACTS.contains(&name);
    let shown_facts: Vec<String> = facts
        .filter(|(name, value)| !is_in_header(name) && *name != "instance" && !value.is_null())
        .map(|(name, _)| format!("{name}={}", line.text(name)))
        .collect();
    let (part, event) = (&line.part, &line.event);
    format!("{at_ms:+9.1} ms  {part} {event}  {}", shown_facts.join(" "))
}
