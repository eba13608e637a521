//! Quantiles of a set of values.

use serde::Serialize;

/// The middle and the upper end of a set of values.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub(crate) struct Quantiles {
    /// Half of the values are at most this.
    pub(crate) p50: f64,
    /// 95 of 100 are at most this.
    pub(crate) p95: f64,
    /// 99 of 100 are at most this.
    pub(crate) p99: f64,
}

impl Quantiles {
    /// Returns the quantiles of some values, in any order; zeros where there are none.
    pub(crate) fn of(mut values: Vec<f64>) -> Quantiles {
        values.sort_by(f64::total_cmp);
        let at = |part: f64| {
            let i = (values.len() as f64 * part).ceil() as usize;
            values.get(i.saturating_sub(1)).copied().unwrap_or_default()
        };
        Quantiles {
            p50: at(0.50),
            p95: at(0.95),
            p99: at(0.99),
        }
    }
}
