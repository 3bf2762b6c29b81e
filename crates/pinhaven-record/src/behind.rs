//! Finds entries that serve by an older configuration version at the end of their records.
//!
//! The input is record lines of several entries, ordered by time. An entry that knows a newer version and can't fetch
//! it records `bundle behind` lines. An entry that never learned of the newer version records nothing about it, so it
//! is found by comparison with the versions in force at the other entries.

use crate::read::ReadLine;
use std::collections::BTreeMap;

/// Version number as written in records.
type VersionNumber = u64;

/// An entry that serves by an older version.
#[derive(Debug, Clone, PartialEq)]
pub struct EntryBehind {
    /// Instance id of the entry.
    pub instance: String,
    /// Version in force at the entry; `None` if its records name none.
    pub held: Option<VersionNumber>,
    /// Newest version that the entry knows of and lacks; `None` if it reported none.
    pub known: Option<VersionNumber>,
    /// Newest version in force at any entry.
    pub newest: Option<VersionNumber>,
    /// When the entry learned of the missing version, or else when a newer version was first in force at another entry,
    /// in seconds since the epoch.
    pub since_s: f64,
    /// Time of the entry's last line, in seconds since the epoch.
    pub last_line_s: f64,
    /// Failed fetches since the entry last put a version in force, as last reported.
    pub failed_tries: u64,
    /// Reason of the last failed fetch; empty if none was reported.
    pub why: String,
}

/// Version state of one entry, built from its records.
#[derive(Debug, Default)]
struct EntryVersions {
    held: Option<VersionNumber>,
    missing: Option<MissingVersion>,
    last_line_s: f64,
    has_stopped: bool,
}

/// A version that an entry reported as known and not fetched.
#[derive(Debug)]
struct MissingVersion {
    version: VersionNumber,
    since_s: f64,
    failed_tries: u64,
    why: String,
}

/// Returns the entries that are behind at the end of `lines`, which must be ordered by time.
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
        // The entry itself restarts its count of failed fetches and its time behind at this event.
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

/// Returns a numeric fact, or 0 if the line has none.
fn number_of(line: &ReadLine, fact: &str) -> f64 {
    line.text(fact).parse().unwrap_or_default()
}
