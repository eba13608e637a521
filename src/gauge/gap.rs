//! The fairness gap between workspaces, over time.

use {
    policy::WorkspaceId,
    std::collections::HashMap, //
};

/// What a workspace had received at a moment.
#[derive(Debug, Clone)]
pub(crate) struct Point {
    /// The workspace.
    pub(crate) workspace: WorkspaceId,
    /// It had work waiting at some router.
    pub(crate) backlogged: bool,
    /// All service it received, divided by its share.
    pub(crate) service: f64,
}

/// The largest difference of normalised service between two workspaces that both had work
/// waiting all the while.
///
/// For each pair it keeps the range of the difference of what the two had received since
/// both have been backlogged. The widest range of any pair is the gap.
#[derive(Debug, Default)]
pub(crate) struct Gap {
    pairs: HashMap<(WorkspaceId, WorkspaceId), Range>,
    widest: f64,
}

#[derive(Debug, Clone, Copy)]
struct Range {
    least: f64,
    most: f64,
}

impl Gap {
    /// Takes in the state at one moment.
    pub(crate) fn sample(&mut self, points: &[Point]) {
        for (i, a) in points.iter().enumerate() {
            for b in &points[i + 1..] {
                self.pair(a, b);
            }
        }
    }

    /// Returns the widest gap seen.
    pub(crate) fn widest(&self) -> f64 {
        self.widest
    }

    fn pair(&mut self, a: &Point, b: &Point) {
        let key = (a.workspace.clone(), b.workspace.clone());
        if !(a.backlogged && b.backlogged) {
            self.pairs.remove(&key);
            return;
        }
        let ahead = a.service - b.service;
        let range = self.pairs.entry(key).or_insert(Range {
            least: ahead,
            most: ahead,
        });
        range.least = range.least.min(ahead);
        range.most = range.most.max(ahead);
        self.widest = self.widest.max(range.most - range.least);
    }
}
