//! Plots of a run, written as SVG files beside its record.

use crate::error::CommandError;
use plotters::chart::ChartBuilder;
use plotters::drawing::IntoDrawingArea;
use plotters::prelude::SVGBackend;
use plotters::series::LineSeries;
use plotters::style::{Palette, Palette99, WHITE};
use std::error::Error;
use std::path::Path;

/// One line of a plot, as pairs of the time in seconds and the value.
pub(crate) type Series = Vec<(f64, f64)>;

/// Width and height of a plot, in pixels.
const PLOT_SIZE: (u32, u32) = (960, 480);

/// Length of the value axis as a multiple of the highest value.
const HEADROOM: f64 = 1.05;

/// Minimum length of an axis, because an axis of length zero cannot be drawn.
const MIN_AXIS: f64 = 1e-9;

/// Draws all series into one plot, each in a separate colour.
///
/// # Errors
/// Returns an error if the file cannot be written.
pub(crate) fn draw(
    file: &Path,
    title: &str,
    unit: &str,
    series: &[Series],
) -> Result<(), CommandError> {
    draw_chart(file, title, unit, series)
        .map_err(|e| CommandError::failed(format!("{}: {e}", file.display())))
}

fn draw_chart<'a>(
    file: &'a Path,
    title: &str,
    unit: &str,
    series: &[Series],
) -> Result<(), Box<dyn Error + 'a>> {
    let end_s = max_of(series, |point| point.0);
    let highest = max_of(series, |point| point.1);
    let area = SVGBackend::new(file, PLOT_SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(52)
        .build_cartesian_2d(0.0..end_s, 0.0..highest * HEADROOM)?;
    chart
        .configure_mesh()
        .x_desc("seconds")
        .y_desc(unit)
        .draw()?;
    for (index, points) in series.iter().enumerate() {
        let colour = Palette99::pick(index);
        chart.draw_series(LineSeries::new(points.iter().copied(), &colour))?;
    }
    area.present()?;
    Ok(())
}

/// Returns the highest coordinate of all points, but at least the minimum length of an axis.
fn max_of(series: &[Series], coordinate: fn(&(f64, f64)) -> f64) -> f64 {
    series
        .iter()
        .flatten()
        .map(coordinate)
        .fold(0.0, f64::max)
        .max(MIN_AXIS)
}
