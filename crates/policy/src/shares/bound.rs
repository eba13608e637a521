//! The bound on the difference in service between two backlogged workspaces.

use crate::{
    Span,
    Units, //
};

/// The terms of the bound. All amounts are normalized (divided by the share).
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct GapTerms {
    /// The maximum cost of running requests of one workspace that is not charged yet, or was
    /// charged before the others caught up: slots times the largest cost.
    pub running: Units,
    /// The maximum service that one workspace can receive in a second.
    pub rate: Units,
    /// The maximum time for a charge or a slot to move between two routers: the exchange
    /// interval, the network delay in one direction, one tick and one run.
    pub exchange: Span,
    /// The urgency window, within which more urgent requests may start first.
    pub window: Units,
    /// The credit that a workspace keeps from idle time.
    pub credit: Units,
}

/// Returns the bound: running + rate × exchange + window + credit.
///
/// # Examples
///
/// ```
/// use policy::{gap_bound, GapTerms, Span, Units};
///
/// let bound = gap_bound(&GapTerms {
///     running: Units(40.0),
///     rate: Units(20.0),
///     exchange: Span::millis(500),
///     window: Units(5.0),
///     credit: Units(5.0),
/// });
/// assert_eq!(bound, Units(60.0));
/// ```
pub fn gap_bound(t: &GapTerms) -> Units {
    let moved = Units(t.rate.0 * t.exchange.as_secs());
    t.running + moved + t.window + t.credit
}
