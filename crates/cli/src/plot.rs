//! Plots of a play, as SVG files beside its record.

use crate::Stop;
use plotters::prelude::*;
use std::path::Path;

/// A line of a plot: points by time in seconds.
pub type Course = Vec<(f64, f64)>;

/// Draws all courses into one picture; each has a colour of its own.
pub fn draw(file: &Path, title: &str, of: &str, courses: &[Course]) -> Result<(), Stop> {
    let points = || courses.iter().flatten();
    let most = |pick: fn(&(f64, f64)) -> f64| points().map(pick).fold(0.0, f64::max).max(1e-9);
    let (lasts, highest) = (most(|point| point.0), most(|point| point.1));
    let area = SVGBackend::new(file, (960, 480)).into_drawing_area();
    let drawn = || -> Result<(), Box<dyn std::error::Error + '_>> {
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .caption(title, ("sans-serif", 18))
            .margin(12)
            .x_label_area_size(36)
            .y_label_area_size(52)
            .build_cartesian_2d(0.0..lasts, 0.0..highest * 1.05)?;
        chart.configure_mesh().x_desc("seconds").y_desc(of).draw()?;
        for (number, course) in courses.iter().enumerate() {
            chart.draw_series(LineSeries::new(
                course.iter().copied(),
                &Palette99::pick(number),
            ))?;
        }
        area.present()?;
        Ok(())
    };
    drawn().map_err(|e| Stop::failed(format!("{}: {e}", file.display())))
}
