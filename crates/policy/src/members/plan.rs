//! How often routers beat, and after what silence one is given up.

use {
    crate::Span, //
};

/// The spans and counts that membership goes by.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Plan {
    /// From one round of heartbeats to the next.
    pub interval: Span,
    /// How many routers are beaten in a round of a large fleet.
    pub fan: usize,
    /// The least silence after which a router is suspected.
    pub least: Span,
    /// The longest silence that is waited for, however unsteady its heartbeats are.
    pub most: Span,
    /// How long a suspect may stay silent until it is taken for dead.
    pub confirm: Span,
    /// How long a dead router that is no longer listed is remembered.
    pub forget: Span,
}

impl Default for Plan {
    fn default() -> Plan {
        let interval = Span::millis(250);
        Plan {
            interval,
            fan: 8,
            least: Span(interval.0 * 4),
            most: Span(interval.0 * 6),
            confirm: Span(interval.0 * 3),
            forget: Span::secs(600),
        }
    }
}
