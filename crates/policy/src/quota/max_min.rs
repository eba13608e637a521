//! Max-min fairness.

/// Returns the max-min fair share of a capacity: the most that each requester may get, so that all
/// is used and no one gets more than another who wants more.
///
/// # Examples
///
/// ```
/// use policy::quota::max_min_share;
///
/// assert_eq!(max_min_share(&[10.0, 50.0, 90.0], 90.0), 40.0);
/// // There is enough for all.
/// assert_eq!(max_min_share(&[10.0, 20.0], 90.0), 20.0);
/// ```
pub fn max_min_share(demands: &[f64], capacity: f64) -> f64 {
    let mut demands: Vec<f64> = demands.iter().copied().filter(|a| *a > 0.0).collect();
    demands.sort_by(f64::total_cmp);
    let mut remaining = capacity;
    for (i, demand) in demands.iter().enumerate() {
        let fair = remaining / (demands.len() - i) as f64;
        if *demand > fair {
            return fair;
        }
        remaining -= demand;
    }
    demands.last().copied().unwrap_or(capacity)
}
