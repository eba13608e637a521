//! Estimate of the service that a slot gives.

use {
    super::Grantee,
    crate::shares::MILLI, //
};

/// Cost in units and run time in seconds, assumed until a request has ended.
const DEFAULT_REQUEST: (f64, f64) = (1.0, 0.5);
/// Horizon of a plan in mean run times, and its minimum in seconds.
const HORIZON: (f64, f64) = (2.0, 0.25);

/// Mean cost and run time of requests.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RequestEstimate {
    /// Mean cost of a request, in thousandths of a unit.
    pub(crate) cost: f64,
    /// Mean run time in seconds.
    run_time: f64,
    /// Whether any request was observed.
    pub(crate) known: bool,
}

impl RequestEstimate {
    /// Computes the mean of the routers' observations.
    pub(crate) fn of<'a>(grantees: impl Iterator<Item = &'a Grantee>) -> RequestEstimate {
        let (mut cost, mut run_time, mut n) = (0.0, 0.0, 0.0);
        for (c, r) in grantees.filter_map(|g| g.estimate) {
            cost += c as f64;
            run_time += r.as_secs();
            n += 1.0;
        }
        let known = n > 0.0;
        RequestEstimate {
            cost: if known {
                cost / n
            } else {
                DEFAULT_REQUEST.0 * MILLI
            },
            run_time: if known {
                run_time / n
            } else {
                DEFAULT_REQUEST.1
            },
            known,
        }
    }

    /// Returns the service that one slot gives within the horizon of a plan.
    pub(crate) fn step(&self) -> f64 {
        let horizon = (HORIZON.0 * self.run_time).max(HORIZON.1);
        self.cost / self.run_time * horizon
    }
}
