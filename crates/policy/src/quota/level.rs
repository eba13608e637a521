//! The max-min level of shares.

/// Returns the most that each of those who ask may have, so that nobody has more than
/// another who wants more, and all is used.
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
pub fn max_min_share(asks: &[f64], capacity: f64) -> f64 {
    let mut asks: Vec<f64> = asks.iter().copied().filter(|a| *a > 0.0).collect();
    asks.sort_by(f64::total_cmp);
    let mut left = capacity;
    for (i, ask) in asks.iter().enumerate() {
        let each = left / (asks.len() - i) as f64;
        if *ask > each {
            return each;
        }
        left -= ask;
    }
    asks.last().copied().unwrap_or(capacity)
}
