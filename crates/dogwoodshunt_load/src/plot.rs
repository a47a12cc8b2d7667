//! Results as a plot.

use crate::experiment::Outcome;
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

/// Size of the plot, in pixels.
const SIZE: (u32, u32) = (900, 420);

/// Writes the mean wait in each second, one line a policy, as SVG.
///
/// # Errors
///
/// Fails if the file cannot be written.
pub fn waits(outcomes: &[Outcome], title: &str, path: &Path) -> Result<(), Box<dyn Error>> {
    let first_seed = outcomes.first().map(|outcome| outcome.seed);
    let shown: Vec<&Outcome> = outcomes
        .iter()
        .filter(|outcome| Some(outcome.seed) == first_seed)
        .collect();
    let waits = shown.iter().flat_map(|o| &o.summary.wait_by_second_ms);
    let most = waits.copied().fold(1.0, f64::max);
    let seconds = shown
        .iter()
        .map(|o| o.summary.wait_by_second_ms.len())
        .max();
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(36)
        .y_label_area_size(64)
        .build_cartesian_2d(0..seconds.unwrap_or(1), 0.0..most)?;
    chart
        .configure_mesh()
        .x_desc("second of the measured time")
        .y_desc("mean wait, ms")
        .draw()?;
    for (index, outcome) in shown.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        let points = outcome
            .summary
            .wait_by_second_ms
            .iter()
            .copied()
            .enumerate();
        chart
            .draw_series(LineSeries::new(points, color.stroke_width(2)))?
            .label(outcome.policy)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE)
        .draw()?;
    root.present()?;
    Ok(())
}
