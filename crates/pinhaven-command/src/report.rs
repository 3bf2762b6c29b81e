//! `pinhaven report`: draws refusals and answers over time, from the records of entries, and lists the entries that
//! serve by an older version at the end of the records.

use crate::CommandError;
use crate::explain::read_all;
use clap::Args;
use pinhaven_record::EntryBehind;
use pinhaven_record::Mark;
use pinhaven_record::Timeline;
use pinhaven_record::entries_behind;
use plotters::coord::Shift;
use plotters::prelude::*;
use std::collections::BTreeMap;
use std::path::PathBuf;

/// Width and height of the drawing, in pixels.
const SIZE_PX: (u32, u32) = (1_200, 800);

#[derive(Debug, Args)]
pub(crate) struct ReportArguments {
    /// Record files of entries.
    #[arg(required = true)]
    files: Vec<PathBuf>,
    /// SVG file to write.
    #[arg(long, default_value = "report.svg")]
    out: PathBuf,
}

pub(crate) fn run(arguments: &ReportArguments) -> Result<(), CommandError> {
    let (lines, invalid) = read_all(&arguments.files)?;
    if invalid > 0 {
        eprintln!("{invalid} lines are no records and were skipped");
    }
    if lines.is_empty() {
        return Err(CommandError::new("the files contain no records to draw"));
    }
    let timeline = Timeline::new(&lines);
    draw(arguments, &timeline).map_err(CommandError::new)?;
    for mark in &timeline.marks {
        println!("{:9.2} s  {}", mark.at_s, mark.name);
    }
    let start_s = lines[0].time_s;
    for entry in entries_behind(&lines) {
        println!("{}", describe_behind(&entry, start_s));
    }
    println!("drawn to {}", arguments.out.display());
    Ok(())
}

/// Describes an entry that is behind. Times are relative to the first line, like the times of the marks.
fn describe_behind(entry: &EntryBehind, start_s: f64) -> String {
    let version =
        |number: Option<u64>| number.map_or("none".to_owned(), |number| number.to_string());
    let tries = match entry.failed_tries {
        0 => "no failed try told".to_owned(),
        count => format!("{count} tries failed, the last: {}", entry.why),
    };
    format!(
        "BEHIND: {} holds version {}, knows of {}, the newest anywhere is {}; since {:.2} s, last line at {:.2} s; {tries}",
        entry.instance,
        version(entry.held),
        version(entry.known),
        version(entry.newest),
        entry.since_s - start_s,
        entry.last_line_s - start_s,
    )
}

type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;
type DrawResult = Result<(), Box<dyn std::error::Error>>;

/// A named series of points, one per second.
struct Series<'timeline> {
    name: &'timeline str,
    points: Vec<(f64, f64)>,
}

fn draw(arguments: &ReportArguments, timeline: &Timeline) -> Result<(), String> {
    let area = SVGBackend::new(&arguments.out, SIZE_PX).into_drawing_area();
    let result = draw_charts(&area, timeline);
    result.map_err(|error| format!("{}: {error}", arguments.out.display()))
}

fn draw_charts(area: &Area<'_>, timeline: &Timeline) -> DrawResult {
    area.fill(&WHITE)?;
    let (upper, lower) = area.split_vertically(SIZE_PX.1 / 2);
    let refusals: Vec<Series<'_>> = timeline
        .refusals
        .iter()
        .map(|(reason, seconds)| Series {
            name: reason,
            points: points(seconds, |count| *count as f64),
        })
        .collect();
    let slowest = Series {
        name: "slowest recorded answer",
        points: points(&timeline.slowest_ms, |time_ms| *time_ms),
    };
    draw_chart(&upper, "refusals a second", &refusals, &timeline.marks)?;
    draw_chart(&lower, "milliseconds", &[slowest], &timeline.marks)?;
    area.present()?;
    Ok(())
}

fn points<T>(seconds: &BTreeMap<u64, T>, value: impl Fn(&T) -> f64) -> Vec<(f64, f64)> {
    let point = |(second, item): (&u64, &T)| (*second as f64, value(item));
    seconds.iter().map(point).collect()
}

fn draw_chart(area: &Area<'_>, unit: &str, series: &[Series<'_>], marks: &[Mark]) -> DrawResult {
    let all = || series.iter().flat_map(|series| &series.points);
    let mark_times_s = marks.iter().map(|mark| mark.at_s);
    let x_max = all()
        .map(|point| point.0)
        .chain(mark_times_s)
        .fold(1.0, f64::max);
    let y_max = all().map(|point| point.1).fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(area)
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..x_max, 0.0..y_max * 1.1)?;
    chart
        .configure_mesh()
        .x_desc("seconds")
        .y_desc(unit)
        .draw()?;
    for mark in marks {
        let line = vec![(mark.at_s, 0.0), (mark.at_s, y_max * 1.1)];
        chart.draw_series(LineSeries::new(line, colour_of(mark).mix(0.5)))?;
    }
    for (index, series) in series.iter().enumerate() {
        let colour = Palette99::pick(index).to_rgba();
        chart
            .draw_series(LineSeries::new(
                series.points.clone(),
                colour.stroke_width(2),
            ))?
            .label(series.name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    Ok(())
}

/// Returns the colour of a mark: blue for versions, orange for targets, red for the store.
fn colour_of(mark: &Mark) -> RGBColor {
    match mark.name.split(' ').next() {
        Some("bundle") => BLUE,
        Some("target") => RGBColor(230, 140, 0),
        _ => RED,
    }
}
