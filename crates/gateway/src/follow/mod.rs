//! Keeps up with the platform's store: configuration, replicas and registered routers.

mod operators;
mod registration;
mod replicas;
mod startup;

pub(crate) use self::{
    operators::follow_operators,
    registration::maintain_registration,
    replicas::{
        apply_peer_list,
        apply_peer_update,
        follow_replicas,
        forget_replicas, //
    },
};

use {
    crate::state::Shared,
    policy::Span,
    std::time::Duration, //
};

/// How many times as long a standby waits until it checks again for a task that one router does for
/// all. It leaves the task to the active ones for seconds, and idle wake-ups are most of what an
/// instance without requests spends.
const STANDBY_INTERVALS: f64 = 5.0;

/// Returns the time until this router checks again whether a task is due, which an active one checks
/// at `interval`.
fn check_interval(gw: &Shared, interval: Span) -> Duration {
    let tables = gw.tables();
    let waits = !tables.fleet.is_active() && tables.roster.has_list();
    match waits {
        true => (interval * STANDBY_INTERVALS).into(),
        false => interval.into(),
    }
}
