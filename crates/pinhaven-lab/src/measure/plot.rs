//! Line plots as SVG files.

use crate::lab::LabError;
use plotters::prelude::*;
use std::path::Path;

/// Size of a plot, in pixels.
const SIZE: (u32, u32) = (800, 480);

/// A line of a plot with its name in the legend.
pub(super) struct Line {
    pub(super) name: String,
    pub(super) points: Vec<(f64, f64)>,
}

/// Draws lines over common axes that start at zero.
pub(super) fn draw(
    file: &Path,
    title: &str,
    axes: (&str, &str),
    lines: &[Line],
) -> Result<(), LabError> {
    let points = || lines.iter().flat_map(|line| &line.points);
    let x_max = points().map(|point| point.0).fold(0.0, f64::max);
    let y_max = points().map(|point| point.1).fold(0.0, f64::max);
    let area = SVGBackend::new(file, SIZE).into_drawing_area();
    area.fill(&WHITE).map_err(LabError::new)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 20))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..x_max * 1.05, 0.0..y_max * 1.1)
        .map_err(LabError::new)?;
    chart
        .configure_mesh()
        .x_desc(axes.0)
        .y_desc(axes.1)
        .draw()
        .map_err(LabError::new)?;
    for (index, line) in lines.iter().enumerate() {
        let colour = Palette99::pick(index).to_rgba();
        chart
            .draw_series(LineSeries::new(line.points.clone(), colour.stroke_width(2)))
            .map_err(LabError::new)?
            .label(&line.name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()
        .map_err(LabError::new)?;
    area.present().map_err(LabError::new)
}
