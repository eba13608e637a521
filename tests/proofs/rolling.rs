//! Routers that end, one after another, under load.

use {
    crate::stage::{
        Fleet,
        Load,
        Plan,
        Signal, //
    },
    std::time::Duration,
};

/// Requests that are under way at any time.
const AT_ONCE: u32 = 24;

// A broker's draft breaks off in the middle, or a claim gets no answer, whenever routers
// are replaced. Cause: a process that ends closes the connections that it has.
#[test]
fn restart_one_by_one() {
    let mut fleet = Fleet::start(Plan {
        gap: Duration::from_millis(15),
        work: Duration::from_millis(100),
        ..Plan::default()
    });
    let load = Load::begin(&fleet, AT_ONCE);
    for n in 0..fleet.routers.len() {
        fleet.routers[n].signal(Signal::Term);
        assert!(fleet.routers[n].ended(), "a router did not end well");
        fleet.routers[n].start();
        fleet.wait_ready();
    }
    let seen = load.end();
    assert!(seen.cut.is_empty() && seen.wrong.is_empty(), "{seen:?}");
    assert!(fleet.runs().values().all(|n| *n == 1));
    println!("{} answered during the restarts", seen.answered);
}
