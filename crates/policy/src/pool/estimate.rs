//! How much service a slot gives, and how far a plan looks ahead.

use {
    super::Borrower,
    crate::shares::MILLI, //
};

/// Cost in units and run time in seconds, assumed before any request has ended.
const GUESS: (f64, f64) = (1.0, 0.5);
/// A plan looks this many run times ahead, and at least this many seconds.
const HORIZON: (f64, f64) = (2.0, 0.25);

/// What the owner assumes about requests.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Pace {
    /// Mean cost of a request, in thousandths of a unit.
    pub(crate) cost: f64,
    /// Mean time that it runs, in seconds.
    run: f64,
    /// Whether any request was seen.
    pub(crate) known: bool,
}

impl Pace {
    /// Takes the mean of what the routers saw.
    pub(crate) fn of<'a>(borrowers: impl Iterator<Item = &'a Borrower>) -> Pace {
        let (mut cost, mut run, mut n) = (0.0, 0.0, 0.0);
        for (c, r) in borrowers.filter_map(|b| b.pace) {
            cost += c as f64;
            run += r.as_secs();
            n += 1.0;
        }
        let known = n > 0.0;
        Pace {
            cost: if known { cost / n } else { GUESS.0 * MILLI },
            run: if known { run / n } else { GUESS.1 },
            known,
        }
    }

    /// Returns the service that one slot gives until the plan's horizon.
    pub(crate) fn step(&self) -> f64 {
        let horizon = (HORIZON.0 * self.run).max(HORIZON.1);
        self.cost / self.run * horizon
    }
}
