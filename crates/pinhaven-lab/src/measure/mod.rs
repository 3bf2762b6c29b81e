//! Measurements with real processes on this machine.
//!
//! Each part prints a table and writes its rows, and a plot where one helps, to a folder that is not
//! committed. `docs/MEASUREMENTS.md` keeps the last ones with revision and machine.

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

/// A part of the measurements.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Part {
    /// The tail under faults, for each policy.
    Choice,
    /// Goodput at and past capacity.
    Overload,
    /// The tail against the budget of measuring.
    Budget,
    /// Time of one pick.
    Pick,
    /// Time that an entry adds to a call.
    Added,
    /// Memory and processor time of an idle entry, and its control traffic.
    Idle,
    /// Both ways to dispatch once-only requests.
    Once,
    /// Time until a version is in force everywhere.
    Spread,
    /// What the record of decisions costs a request.
    Record,
    /// Slopes for the capacity page.
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

/// How measurements are made.
#[derive(Debug, Clone)]
pub struct MeasureSettings {
    /// Runs of each case, each with another seed.
    pub runs: u64,
    /// Time of each run, in milliseconds.
    pub run_ms: u64,
    /// Only cases whose names contain one of these, or end with one that ends in `$`; all if empty.
    pub only: Vec<String>,
    /// Folder for the results.
    pub folder: PathBuf,
}

impl MeasureSettings {
    fn wants(&self, name: &str) -> bool {
        let fits = |only: &String| match only.strip_suffix('$') {
            Some(end) => name.ends_with(end),
            None => name.contains(only.as_str()),
        };
        self.only.is_empty() || self.only.iter().any(fits)
    }
}

/// Makes the measurements of one part, or of all.
///
/// # Errors
///
/// [`LabError`] when a deployment can't be started or a result can't be written.
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

/// Prints a table and writes it as CSV.
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

/// The middle one of some figures.
fn median(figures: &[f64]) -> f64 {
    let mut sorted = figures.to_vec();
    sorted.sort_by(f64::total_cmp);
    sorted.get(sorted.len() / 2).copied().unwrap_or_default()
}

/// The median with the least and the most, as text.
fn with_spread(figures: &[f64]) -> String {
    let least = figures.iter().copied().fold(f64::INFINITY, f64::min);
    let most = figures.iter().copied().fold(0.0, f64::max);
    format!("{:.1} ({least:.1}..{most:.1})", median(figures))
}
