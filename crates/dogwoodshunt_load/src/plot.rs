//! Results of an experiment as an SVG plot.

use crate::experiment::PolicyResult;
use plotters::prelude::ChartBuilder;
use plotters::prelude::Color;
use plotters::prelude::IntoDrawingArea;
use plotters::prelude::LineSeries;
use plotters::prelude::Palette;
use plotters::prelude::Palette99;
use plotters::prelude::PathElement;
use plotters::prelude::SVGBackend;
use plotters::prelude::WHITE;
use std::error::Error;
use std::path::Path;

/// Width and height of the plot, in pixels.
const SIZE_PX: (u32, u32) = (900, 420);

/// Writes an SVG plot of the mean wait in each second, with one line for each policy.
///
/// Of several seeds, only the first is shown.
///
/// # Errors
///
/// Fails if drawing fails or the file at `path` is not writable.
pub fn write_wait_plot(
    results: &[PolicyResult],
    title: &str,
    path: &Path,
) -> Result<(), Box<dyn Error>> {
    let first_seed = results.first().map(|result| result.seed);
    let shown_results: Vec<&PolicyResult> = results
        .iter()
        .filter(|result| Some(result.seed) == first_seed)
        .collect();
    let waits = shown_results
        .iter()
        .flat_map(|result| &result.summary.wait_by_second_ms);
    let max_wait = waits.copied().fold(1.0, f64::max);
    let duration_seconds = shown_results
        .iter()
        .map(|result| result.summary.wait_by_second_ms.len())
        .max();
    let drawing_area = SVGBackend::new(path, SIZE_PX).into_drawing_area();
    drawing_area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&drawing_area)
        .caption(title, ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(36)
        .y_label_area_size(64)
        .build_cartesian_2d(0..duration_seconds.unwrap_or(1), 0.0..max_wait)?;
    chart
        .configure_mesh()
        .x_desc("second of the measured time")
        .y_desc("mean wait, ms")
        .draw()?;
    for (index, result) in shown_results.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        let points = result.summary.wait_by_second_ms.iter().copied().enumerate();
        chart
            .draw_series(LineSeries::new(points, color.stroke_width(2)))?
            .label(result.policy)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE)
        .draw()?;
    drawing_area.present()?;
    Ok(())
}
