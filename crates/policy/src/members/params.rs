//! Heartbeat interval and failure detection timeouts.

use {
    crate::Span, //
};

/// The intervals, timeouts and counts that membership uses.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MembershipParams {
    /// The interval between two rounds of heartbeats.
    pub interval: Span,
    /// How many routers get a heartbeat in one round of a large fleet.
    pub fanout: usize,
    /// The shortest silence after which a router is suspected.
    pub min_timeout: Span,
    /// The longest silence before a router is suspected, however irregular its heartbeats are.
    pub max_timeout: Span,
    /// How long a suspect may stay silent before it is considered dead.
    pub confirm_timeout: Span,
    /// How long a dead router that is no longer listed is remembered.
    pub retention: Span,
}

impl Default for MembershipParams {
    fn default() -> MembershipParams {
        let interval = Span::millis(250);
        MembershipParams {
            interval,
            fanout: 8,
            min_timeout: Span(interval.0 * 4),
            max_timeout: Span(interval.0 * 6),
            confirm_timeout: Span(interval.0 * 3),
            retention: Span::secs(600),
        }
    }
}
