//! A line through measured points.

use serde::Serialize;
use std::fmt;

/// A line through measured points.
#[derive(Clone, Debug, Serialize)]
pub struct Slope {
    /// What was measured.
    pub name: &'static str,
    /// Unit of the values, and what the sizes count.
    pub unit: &'static str,
    /// Sizes and values.
    pub points: Vec<(f64, f64)>,
    /// Value per unit of size.
    pub slope: f64,
    /// Value at size zero.
    pub intercept: f64,
    /// Share of the variance that the line explains.
    pub r2: f64,
}

impl Slope {
    /// Fits a line by least squares.
    pub fn fit(name: &'static str, unit: &'static str, points: Vec<(f64, f64)>) -> Self {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let sum = |f: fn(f64, f64) -> f64| -> f64 {
            let deviations = points.iter().map(|(x, y)| (x - mean_x, y - mean_y));
            deviations.map(|(dx, dy)| f(dx, dy)).sum()
        };
        let (xx, xy, yy) = (
            sum(|dx, _| dx * dx),
            sum(|dx, dy| dx * dy),
            sum(|_, dy| dy * dy),
        );
        let slope = if xx > 0.0 { xy / xx } else { 0.0 };
        Self {
            name,
            unit,
            slope,
            intercept: mean_y - slope * mean_x,
            r2: if yy > 0.0 { slope * xy / yy } else { 1.0 },
            points,
        }
    }
}

impl fmt::Display for Slope {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} [{}]:", self.name, self.unit)?;
        for (size, value) in &self.points {
            write!(f, " {size:.0}={value:.3}")?;
        }
        write!(
            f,
            " slope={:.6} intercept={:.3} r2={:.3}",
            self.slope, self.intercept, self.r2
        )
    }
}
