//! `pinhaven explain`: prints the events of one request, from the records of several entries.

use crate::CommandError;
use clap::Args;
use pinhaven_record::ReadLine;
use pinhaven_record::read_lines;
use std::io::Read as _;
use std::path::PathBuf;

/// Time before the request's first event from which state changes are shown, in seconds.
const CONTEXT_BEFORE_S: f64 = 5.0;
/// Facts in the header of the explanation, which the lines of the request don't repeat.
const HEADER_FACTS: [&str; 6] = [
    "id",
    "instance",
    "route",
    "service",
    "version",
    "organisation",
];

#[derive(Debug, Args)]
pub(crate) struct ExplainArguments {
    /// Id of the request.
    id: String,
    /// Record files of entries; standard input if none is given.
    files: Vec<PathBuf>,
}

pub(crate) fn run(arguments: &ExplainArguments) -> Result<(), CommandError> {
    let (lines, invalid) = read_all(&arguments.files)?;
    if invalid > 0 {
        eprintln!("{invalid} lines are no records and were skipped");
    }
    let explanation = explain(&arguments.id, lines);
    if explanation.is_empty() {
        return Err(CommandError::new(format!(
            "no line tells of request {:?}; only a sample of the successful requests is recorded",
            arguments.id
        )));
    }
    for line in explanation {
        println!("{line}");
    }
    Ok(())
}

/// Reads all files, or standard input if there are none. Returns the lines ordered by time, and the number of lines that
/// are no records.
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

/// Returns the explanation of a request, one line of text per record.
///
/// Besides the request's own records, the explanation contains records of the request's entry from shortly before the
/// request until its end: state changes of the targets that the request was sent to, of versions and of the store, and
/// orders of targets of its service to leave or to rest. Such orders explain why a request found no target.
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
                "service" => line.text("service") == first.text("service"),
                _ => false,
            }
    };
    let mut header = format!("request {id} at {}:", first.text("instance"));
    // A request that was refused before its route was known has a version only.
    let facts = ["route", "service", "version", "organisation"];
    let known = facts.iter().map(|name| (name, first.text(name)));
    let known = known.filter(|(_, value)| !value.is_empty());
    let known: Vec<String> = known
        .map(|(name, value)| format!("{name} {value}"))
        .collect();
    header.push(' ');
    header.push_str(&known.join(", "));
    let mut explanation = vec![header];
    let is_shown = |line: &&ReadLine| {
        line.text("id") == id || (is_about(line) && (from_s..=to_s).contains(&line.time_s))
    };
    let lines = lines.iter().filter(is_shown);
    let instance = first.text("instance");
    explanation.extend(lines.map(|line| describe(line, first.time_s, &instance)));
    let reasons = own.iter().map(|line| line.text("reason"));
    explanation.extend(
        reasons
            .filter_map(|reason| advice(&reason))
            .map(ToOwned::to_owned),
    );
    explanation
}

/// Returns whether the line records an order of a target of the request's service.
fn is_order(line: &ReadLine, request: &ReadLine) -> bool {
    let is_order_event = ["told_leaving", "told_rest"].contains(&&*line.event);
    is_order_event && line.text("service") == request.text("service")
}

/// Describes a line as text. The instance is included if it is another one than the entry of the request.
fn describe(line: &ReadLine, start_s: f64, instance: &str) -> String {
    let at_ms = (line.time_s - start_s) * 1_000.0;
    let facts = line.facts.iter();
    let is_request = line.part == "request";
    let is_own = line.text("instance") == instance;
    let is_in_header = |name: &str| match name {
        "instance" => is_own,
        _ => is_request && HEADER_FACTS.contains(&name),
    };
    let shown_facts: Vec<String> = facts
        .filter(|(name, value)| !is_in_header(name) && !value.is_null())
        .map(|(name, _)| format!("{name}={}", line.text(name)))
        .collect();
    let (part, event) = (&line.part, &line.event);
    format!("{at_ms:+9.1} ms  {part} {event}  {}", shown_facts.join(" "))
}

/// What a refusal because of the request's key means; `None` for other reasons.
fn advice(reason: &str) -> Option<&'static str> {
    match reason {
        "key_required" => {
            Some("The request had no Authorization field, and its route is not public.")
        }
        "bad_key" => Some(
            "The credentials were not one 'Bearer KEY' of at most 512 visible ASCII characters without spaces.",
        ),
        "unknown_key" => Some(
            "No organisation of this version holds the key: compare `pinhaven bundle key-digest` with `key_digests` of \
             the version, and look for a version that dropped it.",
        ),
        "organisation_unknown" => Some(
            "The entry that took the request and the entry that had to run it had different versions.",
        ),
        _ => None,
    }
}
