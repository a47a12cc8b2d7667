//! Least-squares fit of a line through measured points.

use serde::Serialize;
use std::fmt;

/// Line fitted through measured points of one resource.
#[derive(Clone, Debug, Serialize)]
pub struct LinearFit {
    /// Name of the measured resource.
    pub name: &'static str,
    /// Unit of the values and of the sizes, as `VALUES by SIZES`.
    pub unit: &'static str,
    /// Pairs of size and measured value.
    pub points: Vec<(f64, f64)>,
    /// Increase of the value per unit of size.
    pub slope: f64,
    /// Value of the line at size zero.
    pub intercept: f64,
    /// Coefficient of determination.
    #[serde(rename = "r2")]
    pub r_squared: f64,
}

impl LinearFit {
    /// Fits a line through `points` by ordinary least squares.
    ///
    /// The slope is 0 if all sizes are equal, and `r_squared` is 1 if all values are.
    pub fn from_points(name: &'static str, unit: &'static str, points: Vec<(f64, f64)>) -> Self {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let sum_over_deviations = |term: fn(f64, f64) -> f64| -> f64 {
            let deviations = points.iter().map(|(x, y)| (x - mean_x, y - mean_y));
            deviations.map(|(dx, dy)| term(dx, dy)).sum()
        };
        let (xx, xy, yy) = (
            sum_over_deviations(|dx, _| dx * dx),
            sum_over_deviations(|dx, dy| dx * dy),
            sum_over_deviations(|_, dy| dy * dy),
        );
        let slope = if xx > 0.0 { xy / xx } else { 0.0 };
        Self {
            name,
            unit,
            slope,
            intercept: mean_y - slope * mean_x,
            r_squared: if yy > 0.0 { slope * xy / yy } else { 1.0 },
            points,
        }
    }
}

impl fmt::Display for LinearFit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} [{}]:", self.name, self.unit)?;
        for (size, value) in &self.points {
            write!(f, " {size:.0}={value:.3}")?;
        }
        write!(
            f,
            " slope={:.6} intercept={:.3} r2={:.3}",
            self.slope, self.intercept, self.r_squared
        )
    }
}
