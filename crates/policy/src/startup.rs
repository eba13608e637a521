//! When a router that starts reads from the store what its peers may have.

use crate::Span;

/// How long a router waits for any message of a peer. The seeds in its settings may be down.
const ANSWER_WAIT: Span = Span::millis(1_000);
/// How long it waits until a peer that it hears from has what it needs, as all may have started at
/// once and the seeds may be down.
const OFFER_WAIT: Span = Span::millis(300);
/// By how much routers differ in that, for each other router, so that the first ones have read before
/// most others would.
const OFFER_SPREAD_PER_ROUTER: Span = Span::millis(5);
/// How long it waits for what a peer has. Each router that has a list sends it to a few others, so it
/// spreads through a fleet of a thousand routers in five steps.
const TRANSFER_WAIT: Span = Span::secs(4);
/// Part of the other waits by which routers differ, so that those which wait in vain don't all read at
/// once.
const WAIT_SPREAD: f64 = 2.0;

/// What a router that starts knows of the fleet.
#[derive(Debug, Clone, Copy)]
pub struct StartView {
    /// Time since it started.
    pub waited: Span,
    /// It is one of the routers that others contact first.
    pub seed: bool,
    /// Addresses of other routers that it knows.
    pub contacts: usize,
    /// Other routers that it has received messages from.
    pub peers: usize,
    /// Any of these has what it needs.
    pub offered: bool,
}

/// Returns whether a router without configuration or list reads them from the store, rather than
/// wait for its peers. `roll` is a random number from 0 to 1, drawn once.
///
/// If each router of a fleet read both at its start, the calls to the store would grow with the
/// product of routers and replicas.
///
/// # Examples
///
/// ```
/// use policy::{reads_store_at_start, Span, StartView};
///
/// let view = StartView { waited: Span::ZERO, seed: false, contacts: 3, peers: 0, offered: false };
/// assert!(!reads_store_at_start(view, 0.5));
/// assert!(reads_store_at_start(StartView { seed: true, ..view }, 0.5));
/// assert!(reads_store_at_start(StartView { contacts: 0, ..view }, 0.5));
/// assert!(reads_store_at_start(StartView { waited: Span::secs(3), ..view }, 0.5));
/// ```
pub fn reads_store_at_start(view: StartView, roll: f64) -> bool {
    if view.seed || view.contacts == 0 {
        return true;
    }
    let spread = 1.0 + WAIT_SPREAD * roll;
    let wait = match (view.offered, view.peers) {
        (true, _) => TRANSFER_WAIT * spread,
        (false, 0) => ANSWER_WAIT * spread,
        (false, _) => OFFER_WAIT + OFFER_SPREAD_PER_ROUTER * (view.contacts as f64 * roll),
    };
    view.waited >= wait
}
