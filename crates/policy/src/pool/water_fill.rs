//! Splitting slots among workspaces by water-filling.

/// Rounds of the search for the level; each halves its error.
const ROUNDS: usize = 48;

/// What one workspace asks for.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Row {
    /// Normalised service it has received.
    pub(crate) level: f64,
    pub(crate) share: f64,
    /// Most slots that it can use.
    pub(crate) demand: f64,
}

/// Splits slots so that the levels of all become as even as can be.
///
/// A slot adds `step` units of service over the horizon of the plan, divided by the
/// share. The result is the one that raises the lowest levels first, like water:
/// `slots = share * (water - level) / step`, between nothing and the demand.
pub(crate) fn fill(slots: f64, step: f64, rows: &[Row]) -> Vec<f64> {
    let total: f64 = rows.iter().map(|r| r.demand).sum();
    if total <= slots {
        return rows.iter().map(|r| r.demand).collect();
    }
    let at = |r: &Row, water: f64| (r.share * (water - r.level) / step).clamp(0.0, r.demand);
    let full = |r: &Row| r.level + r.demand * step / r.share;
    let mut low = rows.iter().map(|r| r.level).fold(f64::INFINITY, f64::min);
    let mut high = rows.iter().map(full).fold(low, f64::max);
    for _ in 0..ROUNDS {
        let mid = (low + high) / 2.0;
        let used: f64 = rows.iter().map(|r| at(r, mid)).sum();
        if used > slots {
            high = mid;
        } else {
            low = mid;
        }
    }
    rows.iter().map(|r| at(r, low)).collect()
}
