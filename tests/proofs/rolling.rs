//! Routers that end, one after another, under load.

use {
    crate::stage::{
        draft,
        spawn_send,
        tickets,
        wait_for,
        Fleet,
        Load,
        Loss,
        Plan,
        Reply,
        Signal,
        Work, //
    },
    async_std::task::{
        block_on,
        JoinHandle, //
    },
    std::time::Duration,
};

/// Requests that are under way at any time.
const AT_ONCE: u32 = 24;

/// Guards against requests that are aborted when routers are replaced one after the other.
#[test]
fn restart_one_by_one() {
    let mut fleet = Fleet::start(Plan {
        gap: Duration::from_millis(15),
        work: Duration::from_millis(100),
        ..Plan::default()
    });
    let load = Load::begin(&fleet, AT_ONCE);
    for n in 0..fleet.routers.len() {
        let (work, call) = long(&fleet, n);
        fleet.routers[n].signal(Signal::Term);
        assert!(fleet.routers[n].ended(), "a router did not end well");
        let reply = block_on(call).expect("it was not cut");
        assert!(work.is_right(&reply.body), "{reply:?}");
        fleet.routers[n].start();
        fleet.wait_ready();
    }
    let seen = load.end();
    assert!(seen.cut.is_empty() && seen.wrong.is_empty(), "{seen:?}");
    assert!(fleet.runs().values().all(|n| *n == 1));
    println!("{} answered during the restarts", seen.answered);
}

/// Starts a draft that takes longer than a router waits for callers that kept its address.
fn long(fleet: &Fleet, router: usize) -> (Work, JoinHandle<Result<Reply, Loss>>) {
    let mut work = draft("renewal", 1_000_000, 500);
    work.call.deadline = Some(Duration::from_secs(80));
    let router = fleet.routers[router].callers;
    let tickets = block_on(tickets(router, "drafting-llm", 1)).expect("it answers");
    let call = spawn_send(router, &work, Some(&tickets[0]));
    wait_for("it runs", || (fleet.runs_of(&tickets[0]) > 0).then_some(()));
    (work, call)
}
