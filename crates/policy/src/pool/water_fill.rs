//! Splits slots among workspaces by water-filling.

/// Steps of the binary search for the water level; each halves its error.
const SEARCH_STEPS: usize = 48;

/// A workspace that claims slots.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Claimant {
    /// Normalised service that it has received.
    pub(crate) virtual_time: f64,
    pub(crate) share: f64,
    /// Maximum number of slots that it can use.
    pub(crate) demand: f64,
}

/// Splits slots so that virtual times become as even as possible.
///
/// A slot adds `step` units of service, divided by the share, within the horizon of the plan.
/// The lowest virtual times rise first, up to a common water level:
/// `slots = share * (water_level - virtual_time) / step`, from 0 to the demand.
pub(crate) fn water_fill(slots: f64, step: f64, claimants: &[Claimant]) -> Vec<f64> {
    let total: f64 = claimants.iter().map(|c| c.demand).sum();
    if total <= slots {
        return claimants.iter().map(|c| c.demand).collect();
    }
    let slots_at = |c: &Claimant, water_level: f64| {
        (c.share * (water_level - c.virtual_time) / step).clamp(0.0, c.demand)
    };
    let saturated_at = |c: &Claimant| c.virtual_time + c.demand * step / c.share;
    let mut low = claimants
        .iter()
        .map(|c| c.virtual_time)
        .fold(f64::INFINITY, f64::min);
    let mut high = claimants.iter().map(saturated_at).fold(low, f64::max);
    for _ in 0..SEARCH_STEPS {
        let mid = (low + high) / 2.0;
        let used: f64 = claimants.iter().map(|c| slots_at(c, mid)).sum();
        if used > slots {
            high = mid;
        } else {
            low = mid;
        }
    }
    claimants.iter().map(|c| slots_at(c, low)).collect()
}
