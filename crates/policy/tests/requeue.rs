//! Requests that are tried again, in a fleet of several routers.

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
const RUN: Span = Span::secs(60);

fn ready() -> Fleet {
    let mut f = Fleet::new(1, ROUTERS, 2, 1, rules(Mode::Fleet, 8));
    pass(&mut f, 200);
    f
}

fn pass(f: &mut Fleet, ticks: u32) {
    (0..ticks).for_each(|_| f.step());
}

/// Returns the one request at a router, and where it runs.
fn runs(f: &Fleet, n: usize) -> Option<(JobId, ReplicaId)> {
    let (id, open) = f.nodes[n].as_ref().unwrap().open.iter().next()?;
    Some((*id, open.at.clone()?.0))
}

/// Lets the endpoint fail the request, and the router try it again.
fn fail(f: &mut Fleet, n: usize, id: JobId, at: &ReplicaId) {
    *f.running.get_mut(at).unwrap() -= 1;
    let node = f.nodes[n].as_mut().unwrap();
    node.open.get_mut(&id).unwrap().at = None;
    node.dispatch.requeue(id, at, f.now);
    f.settle(n);
}

// A lookup fails at one endpoint, is queued again, and waits for its whole deadline in an
// idle fleet. Cause: its router holds one slot, of the endpoint that the retry keeps away
// from, and the owner takes that slot for all that the router needs.
#[test]
fn requeue_starts_elsewhere() {
    for n in 0..ROUTERS {
        let mut f = ready();
        for _ in 0..4 {
            f.submit(n, 0, RUN, 1.0, 1.0, Span::secs(100));
            pass(&mut f, 100);
            let (id, first) = runs(&f, n).expect("it starts in an idle fleet");
            fail(&mut f, n, id, &first);
            pass(&mut f, 100);
            let (id, second) = runs(&f, n).expect("it starts again elsewhere");
            assert_ne!(first, second);
            let node = f.nodes[n].as_mut().unwrap();
            node.open.remove(&id);
            node.dispatch.finish(id, Completion::default(), f.now);
            *f.running.get_mut(&second).unwrap() -= 1;
            f.settle(n);
        }
    }
}
