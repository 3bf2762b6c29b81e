//! Entries that are behind at the end of their records: another version is in force elsewhere, or they know of
//! one themselves, and they serve by an older one.
//!
//! An entry that knows of a version it can't get tells so itself. One that never heard of it tells nothing; it is
//! found by what the others hold.

use crate::read::ReadLine;
use std::collections::BTreeMap;

/// Number of a version, as records name it.
type VersionNumber = u64;

/// An entry that is behind.
#[derive(Debug, Clone, PartialEq)]
pub struct EntryBehind {
    /// The entry.
    pub instance: String,
    /// The version in force there; `None` when its records name none.
    pub held: Option<VersionNumber>,
    /// The newest version that it knows of; `None` when it tells of none that it lacks.
    pub known: Option<VersionNumber>,
    /// The newest version in force at any entry.
    pub newest: Option<VersionNumber>,
    /// When it learned of the version that it lacks, or when another entry had it, in seconds since the epoch.
    pub since_s: f64,
    /// When its last line was recorded, in seconds since the epoch.
    pub last_line_s: f64,
    /// Tries that failed since it last put a version in force, as last told.
    pub failed_tries: u64,
    /// Why the last of them failed; empty when none was told.
    pub why: String,
}

/// What the records tell of one entry.
#[derive(Debug, Default)]
struct EntryVersions {
    held: Option<VersionNumber>,
    missing: Option<MissingVersion>,
    last_line_s: f64,
    has_stopped: bool,
}

/// A version that an entry told it can't get.
#[derive(Debug)]
struct MissingVersion {
    version: VersionNumber,
    since_s: f64,
    failed_tries: u64,
    why: String,
}

/// Entries that are behind at the end of lines, which stand in the order of their times.
pub fn entries_behind(lines: &[ReadLine]) -> Vec<EntryBehind> {
    let mut entries: BTreeMap<String, EntryVersions> = BTreeMap::new();
    let mut first_in_force_s: BTreeMap<VersionNumber, f64> = BTreeMap::new();
    for line in lines {
        let instance = line.text("instance");
        if instance.is_empty() {
            continue;
        }
        entries.entry(instance).or_default().record_line(line);
        if is_event(line, "bundle", "in_force")
            && let Some(version) = version_of(line)
        {
            first_in_force_s.entry(version).or_insert(line.time_s);
        }
    }
    let to_entry_behind = |(instance, entry)| entry_behind(instance, entry, &first_in_force_s);
    entries.into_iter().filter_map(to_entry_behind).collect()
}

impl EntryVersions {
    fn record_line(&mut self, line: &ReadLine) {
        self.last_line_s = line.time_s;
        match (line.part.as_str(), line.event.as_str()) {
            ("entry", "started") => {
                *self = Self {
                    last_line_s: line.time_s,
                    ..Self::default()
                };
            }
            ("entry", "stopping" | "stopped") => self.has_stopped = true,
            ("bundle", "in_force") => self.record_in_force(line),
            ("bundle", "behind") => self.record_missing(line),
            _ => {}
        }
    }

    fn record_in_force(&mut self, line: &ReadLine) {
        let Some(version) = version_of(line) else {
            return;
        };
        self.held = self.held.max(Some(version));
        let Some(missing) = &mut self.missing else {
            return;
        };
        if missing.version <= version {
            self.missing = None;
            return;
        }
        // The entry counts anew from here, too.
        missing.since_s = line.time_s;
        missing.failed_tries = 0;
        missing.why.clear();
    }

    fn record_missing(&mut self, line: &ReadLine) {
        let Some(version) = version_of(line) else {
            return;
        };
        if self.held >= Some(version) {
            return;
        }
        let behind_s = number_of(line, "behind_ms") / 1_000.0;
        self.missing = Some(MissingVersion {
            version,
            since_s: line.time_s - behind_s,
            failed_tries: number_of(line, "tries") as u64,
            why: line.text("why"),
        });
    }
}

fn entry_behind(
    instance: String,
    entry: EntryVersions,
    first_in_force_s: &BTreeMap<VersionNumber, f64>,
) -> Option<EntryBehind> {
    let newer = first_in_force_s
        .iter()
        .find(|(version, _)| Some(**version) > entry.held);
    let newer_since_s = newer.map(|(_, since_s)| *since_s);
    let missing_since_s = entry.missing.as_ref().map(|missing| missing.since_s);
    let since_s = missing_since_s.or(newer_since_s)?;
    if entry.has_stopped {
        return None;
    }
    let known = entry.missing.as_ref().map(|missing| missing.version);
    let failed_tries = entry.missing.as_ref().map(|missing| missing.failed_tries);
    Some(EntryBehind {
        instance,
        held: entry.held,
        known,
        newest: first_in_force_s.keys().next_back().copied(),
        since_s,
        last_line_s: entry.last_line_s,
        failed_tries: failed_tries.unwrap_or_default(),
        why: entry.missing.map(|missing| missing.why).unwrap_or_default(),
    })
}

fn is_event(line: &ReadLine, part: &str, event: &str) -> bool {
    line.part == part && line.event == event
}

fn version_of(line: &ReadLine) -> Option<VersionNumber> {
    line.text("version").parse().ok()
}

/// A fact that is a number; 0 if it is not there.
fn number_of(line: &ReadLine, fact: &str) -> f64 {
    line.text(fact).parse().unwrap_or_default()
}
