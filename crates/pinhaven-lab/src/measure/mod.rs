//! Measurements with real processes on this machine.
//!
//! Each part prints a table and writes the rows, and a plot for some parts, to a folder that is not committed.
//! `docs/MEASUREMENTS.md` holds the latest results with their revision and machine.

mod added;
mod budget;
mod choice;
mod idle;
mod once;
mod overload;
mod pick;
mod plot;
mod record;
mod slopes;
mod spread;

use crate::lab::LabError;
use crate::table::print_table;
use clap::ValueEnum;
use std::path::Path;
use std::path::PathBuf;

/// Part of the measurements.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Part {
    /// Tail latency under faults, for each policy.
    Choice,
    /// Goodput below, at and above capacity.
    Overload,
    /// Tail latency against the measuring budget.
    Budget,
    /// Time to choose a target.
    Pick,
    /// Latency that an entry adds to a request.
    Added,
    /// Memory, processor time and control traffic of an idle entry.
    Idle,
    /// Once-only requests, dispatched by a home and by a claim.
    Once,
    /// Time until a version is in force at all entries.
    Spread,
    /// Cost of the record of decisions per request.
    Record,
    /// Growth of resource use, for the capacity page.
    Slopes,
}

impl Part {
    const ALL: [Self; 10] = [
        Self::Pick,
        Self::Added,
        Self::Idle,
        Self::Spread,
        Self::Once,
        Self::Overload,
        Self::Budget,
        Self::Choice,
        Self::Record,
        Self::Slopes,
    ];
}

/// Settings of the measurements.
#[derive(Debug, Clone)]
pub struct MeasureSettings {
    /// Number of runs of each case, each with its own seed.
    pub runs: u64,
    /// Length of each run, in milliseconds.
    pub run_ms: u64,
    /// Runs only cases whose names contain one of these texts, or end with a text that is followed by `$`. Empty
    /// runs all cases.
    pub only: Vec<String>,
    /// Folder for the results.
    pub folder: PathBuf,
}

impl MeasureSettings {
    fn includes_case(&self, name: &str) -> bool {
        let matches = |only: &String| match only.strip_suffix('$') {
            Some(end) => name.ends_with(end),
            None => name.contains(only.as_str()),
        };
        self.only.is_empty() || self.only.iter().any(matches)
    }
}

/// Runs the measurements of one part, or of all parts.
///
/// # Errors
///
/// [`LabError`] if a deployment can't be started or changed, or if a result can't be written.
pub async fn run(part: Option<Part>, settings: &MeasureSettings) -> Result<(), LabError> {
    std::fs::create_dir_all(&settings.folder).map_err(LabError::new)?;
    for part in part.map_or(Part::ALL.to_vec(), |part| vec![part]) {
        println!("\n## {part:?}\n");
        match part {
            Part::Choice => choice::run(settings).await?,
            Part::Overload => overload::run(settings).await?,
            Part::Budget => budget::run(settings).await?,
            Part::Pick => pick::run(settings)?,
            Part::Added => added::run(settings).await?,
            Part::Idle => idle::run(settings).await?,
            Part::Once => once::run(settings).await?,
            Part::Spread => spread::run(settings).await?,
            Part::Record => record::run(settings)?,
            Part::Slopes => slopes::run(settings).await?,
        }
    }
    Ok(())
}

/// Prints a table and writes the table as a CSV file.
fn publish(
    folder: &Path,
    name: &str,
    heads: &[&str],
    rows: &[Vec<String>],
) -> Result<(), LabError> {
    print_table(heads, rows);
    let mut text = heads.join(",");
    for row in rows {
        text.push('\n');
        text.push_str(&row.join(","));
    }
    text.push('\n');
    std::fs::write(folder.join(format!("{name}.csv")), text).map_err(LabError::new)
}

/// Median of some figures; the upper one of the two middle figures if their number is even.
fn median(figures: &[f64]) -> f64 {
    let mut sorted = figures.to_vec();
    sorted.sort_by(f64::total_cmp);
    sorted.get(sorted.len() / 2).copied().unwrap_or_default()
}

/// Median with minimum and maximum, as text.
fn median_with_range(figures: &[f64]) -> String {
    let min = figures.iter().copied().fold(f64::INFINITY, f64::min);
    let max = figures.iter().copied().fold(0.0, f64::max);
    format!("{:.1} ({min:.1}..{max:.1})", median(figures))
}
