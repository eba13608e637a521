//! Retries of requests in a fleet of several routers.

mod fleet;

use {
    fleet::{
        rules,
        Fleet, //
    },
    policy::{
        Completion,
        JobId,
        Mode,
        ReplicaId,
        Span, //
    },
};

const ROUTERS: usize = 3;
const RUN_TIME: Span = Span::secs(60);

fn settled_fleet() -> Fleet {
    let mut f = Fleet::new(1, ROUTERS, 2, 1, rules(Mode::Fleet, 8));
    advance(&mut f, 200);
    f
}

fn advance(f: &mut Fleet, ticks: u32) {
    (0..ticks).for_each(|_| f.step());
}

/// Returns the only request at a router, and its replica.
fn open_request(f: &Fleet, n: usize) -> Option<(JobId, ReplicaId)> {
    let (id, open) = f.nodes[n].as_ref().unwrap().open.iter().next()?;
    Some((*id, open.started.clone()?.0))
}

/// Fails the request at its endpoint, and lets the router retry it.
fn fail_and_requeue(f: &mut Fleet, n: usize, id: JobId, at: &ReplicaId) {
    *f.running.get_mut(at).unwrap() -= 1;
    let node = f.nodes[n].as_mut().unwrap();
    node.open.get_mut(&id).unwrap().started = None;
    node.dispatch.requeue(id, at, f.now);
    f.apply_actions(n);
}

// Guards against a retry that waits until its deadline in an idle fleet: its router held one
// slot, on the replica that the retry avoids, and the owner counted that slot as sufficient.
#[test]
fn requeue_starts_elsewhere() {
    for n in 0..ROUTERS {
        let mut f = settled_fleet();
        for _ in 0..4 {
            f.submit(n, 0, RUN_TIME, 1.0, 1.0, Span::secs(100));
            advance(&mut f, 100);
            let (id, first) = open_request(&f, n).expect("it starts in an idle fleet");
            fail_and_requeue(&mut f, n, id, &first);
            advance(&mut f, 100);
            let (id, second) = open_request(&f, n).expect("it starts again elsewhere");
            assert_ne!(first, second);
            let node = f.nodes[n].as_mut().unwrap();
            node.open.remove(&id);
            node.dispatch.finish(id, Completion::default(), f.now);
            *f.running.get_mut(&second).unwrap() -= 1;
            f.apply_actions(n);
        }
    }
}
