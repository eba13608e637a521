//! The bound on the gap of service between two backlogged workspaces.

use crate::{
    Span,
    Units, //
};

/// What the bound is made of. All amounts are normalised (divided by the share).
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct GapTerms {
    /// The most that one workspace can have running that is not charged yet or was
    /// charged before the others caught up: slots times the largest cost.
    pub running: Units,
    /// The most service that one workspace can receive in a second.
    pub rate: Units,
    /// The longest that a charge or a slot takes to move between two routers: the
    /// exchange interval, one way, one tick and one run.
    pub exchange: Span,
    /// The window of urgency.
    pub window: Units,
    /// The credit of a workspace that was idle.
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
