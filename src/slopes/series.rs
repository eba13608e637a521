//! One cost, measured at growing sizes.

use super::fit::{
    fit,
    Line, //
};

/// One cost of one role against one size.
#[derive(Debug, Clone)]
pub(crate) struct Series {
    /// Short name, also of its plot's file.
    pub(crate) name: &'static str,
    /// The role that has this cost.
    pub(crate) role: &'static str,
    /// What grows.
    pub(crate) size: &'static str,
    /// What is measured, with its unit.
    pub(crate) cost: &'static str,
    /// How large it is at the size to design for.
    pub(crate) target: f64,
    pub(crate) points: Vec<Point>,
}

/// A measured point.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Point {
    pub(crate) size: f64,
    pub(crate) cost: f64,
}

impl Series {
    /// Returns the line through the points.
    pub(crate) fn line(&self) -> Line {
        fit(&self.points)
    }

    /// Returns the cost at the size to design for: measured there, or from the line.
    pub(crate) fn at_target(&self) -> f64 {
        let measured = self.points.iter().find(|p| p.size == self.target);
        measured.map_or_else(|| self.line().at(self.target), |p| p.cost)
    }
}

/// Measures a cost at each size.
pub(crate) fn points(sizes: &[usize], cost: impl Fn(usize) -> f64) -> Vec<Point> {
    let measured = sizes.iter().map(|&n| Point {
        size: n as f64,
        cost: cost(n),
    });
    measured.collect()
}
