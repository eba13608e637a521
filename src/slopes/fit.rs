//! The line through measured points.

use super::series::Point;

/// A straight line.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Line {
    /// Cost of size zero.
    pub(crate) base: f64,
    /// Cost of one more.
    pub(crate) slope: f64,
}

impl Line {
    pub(crate) fn at(&self, size: f64) -> f64 {
        self.base + self.slope * size
    }
}

/// Fits a line by least squares.
pub(crate) fn fit(points: &[Point]) -> Line {
    let n = points.len().max(1) as f64;
    let x = points.iter().map(|p| p.size).sum::<f64>() / n;
    let y = points.iter().map(|p| p.cost).sum::<f64>() / n;
    let xy: f64 = points.iter().map(|p| (p.size - x) * (p.cost - y)).sum();
    let xx: f64 = points.iter().map(|p| (p.size - x).powi(2)).sum();
    let slope = if xx > 0.0 { xy / xx } else { 0.0 };
    Line {
        base: y - slope * x,
        slope,
    }
}
