//! At most once for what may not be repeated.

use {
    crate::stage::{
        ask_again,
        draft,
        record,
        send,
        spawn_send,
        tickets,
        wait_for,
        Fleet,
        Plan,
        Reply,
        Signal,
        Work, //
    },
    async_std::task::block_on,
    callers::Reason,
    policy::Outcome,
    standins::{
        platform::Down,
        Fault, //
    },
    std::time::Duration,
};

fn ticket(fleet: &Fleet, router: usize, work: &Work) -> String {
    let router = fleet.routers[router].callers;
    let tickets = block_on(tickets(router, work.call.service.as_str(), 1));
    tickets.expect("the router answers").remove(0)
}

fn again(fleet: &Fleet, router: usize, work: &Work, ticket: &str) -> Reply {
    ask_again(fleet.routers[router].callers, work, ticket)
}

fn wait_run(fleet: &Fleet, ticket: &str) {
    wait_for("the endpoint got the request", || {
        (fleet.runs_of(ticket) > 0).then_some(())
    });
}

fn assert_answered(reply: &Reply, work: &Work) {
    assert_eq!(reply.outcome, Outcome::Answered, "{:?}", reply.why);
    assert!(work.is_right(&reply.body));
}

#[track_caller]
fn assert_open(reply: &Reply) {
    assert_eq!(reply.outcome, Outcome::MayHaveRun, "{:?}", reply.why);
}

/// Guards against a second run when the caller repeats a request at another router.
#[test]
fn ticket_answer_lost() {
    let fleet = Fleet::start(Plan {
        work: Duration::from_millis(300),
        ..Plan::default()
    });
    for work in [record("claim", 1), draft("renewal", 1, 60)] {
        let ticket = ticket(&fleet, 0, &work);
        let first = spawn_send(fleet.routers[0].callers, &work, Some(&ticket));
        wait_run(&fleet, &ticket);
        drop(block_on(first.cancel()));
        for router in [1, 2, 0] {
            assert_answered(&again(&fleet, router, &work, &ticket), &work);
        }
        assert_eq!(fleet.runs_of(&ticket), 1);
    }
}

/// Guards against a second run when the router that started the request dies.
#[test]
fn ticket_router_killed() {
    let mut fleet = Fleet::start(Plan::default());
    let work = record("claim", 1);
    let (unused, used) = (ticket(&fleet, 0, &work), ticket(&fleet, 0, &work));
    for p in &fleet.plains {
        p.faults.order(Fault::Silent, 1);
    }
    let first = spawn_send(fleet.routers[0].callers, &work, Some(&used));
    wait_run(&fleet, &used);
    fleet.routers[0].kill();
    assert!(block_on(first).is_err());
    for p in &fleet.plains {
        p.faults.clear();
    }
    for router in [1, 2] {
        assert_open(&again(&fleet, router, &work, &used));
        assert_open(&again(&fleet, router, &work, &unused));
    }
    // It comes back empty, under its old name and address.
    fleet.routers[0].start();
    fleet.wait_ready();
    // Its new tickets are others than the old ones, though it counts from the start again.
    let fresh = [(); 4].map(|_| ticket(&fleet, 0, &work));
    assert!(!fresh.contains(&used) && !fresh.contains(&unused));
    for router in [0, 1, 2] {
        assert_open(&again(&fleet, router, &work, &used));
        assert_open(&again(&fleet, router, &work, &unused));
    }
    assert_eq!((fleet.runs_of(&used), fleet.runs_of(&unused)), (1, 0));
}

/// Guards against a second run when a partition separates the routers that receive the request.
#[test]
fn ticket_partition() {
    let fleet = Fleet::start(Plan::default());
    let work = record("claim", 1);
    let (kept, moved) = (ticket(&fleet, 0, &work), ticket(&fleet, 0, &work));
    // Router 2 takes over the second ticket and is stopped short by the endpoint.
    for p in &fleet.plains {
        p.faults.order(Fault::Refuse, 8);
    }
    assert_eq!(again(&fleet, 1, &work, &moved).outcome, Outcome::NotRun);
    for p in &fleet.plains {
        p.faults.clear();
    }
    fleet.part(&[0]);
    assert_open(&again(&fleet, 1, &work, &kept));
    assert_open(&again(&fleet, 0, &work, &moved));
    assert_answered(&again(&fleet, 0, &work, &kept), &work);
    assert_answered(&again(&fleet, 1, &work, &moved), &work);
    fleet.rejoin();
    fleet.wait_ready();
    for router in [0, 1, 2] {
        assert_answered(&again(&fleet, router, &work, &kept), &work);
        assert_answered(&again(&fleet, router, &work, &moved), &work);
    }
    assert_eq!((fleet.runs_of(&kept), fleet.runs_of(&moved)), (1, 1));
}

/// Guards against a decision on what may run that depends on the platform.
#[test]
fn ticket_platform_down() {
    let fleet = Fleet::start(Plan::default());
    for down in [Down::Refuse, Down::Hang] {
        fleet.platform.set_down(Some(down));
        let work = record("claim", 1);
        let ticket = ticket(&fleet, 2, &work);
        for router in [0, 1, 2] {
            assert_answered(&again(&fleet, router, &work, &ticket), &work);
        }
        assert_eq!(fleet.runs_of(&ticket), 1);
    }
}

/// Guards against a second run by a router that was paused while its request was given to another.
#[test]
fn ticket_paused_wakes() {
    let fleet = Fleet::start(Plan::default());
    let work = record("claim", 1);
    let ticket = ticket(&fleet, 0, &work);
    fleet.routers[0].signal(Signal::Stop);
    let first = spawn_send(fleet.routers[0].callers, &work, Some(&ticket));
    // Its holder is only silent, so its last word may still be had.
    let open = again(&fleet, 1, &work, &ticket);
    assert_open(&open);
    assert!(open.retry.is_some(), "{open:?}");
    fleet.routers[0].signal(Signal::Cont);
    let first = block_on(first).expect("it answers when it wakes up");
    assert_answered(&first, &work);
    assert_answered(&again(&fleet, 1, &work, &ticket), &work);
    assert_eq!(fleet.runs_of(&ticket), 1);
}

/// Guards against a second run when two copies arrive at two routers at the same time.
#[test]
fn ticket_sent_twice() {
    let fleet = Fleet::start(Plan {
        work: Duration::from_millis(20),
        ..Plan::default()
    });
    for n in 0..20 {
        let work = record("claim", n);
        let ticket = ticket(&fleet, 0, &work);
        // Its issuer is among the routers, or only asked by them.
        let routers = if n % 2 == 0 {
            [0, 1, 2, 1, 0]
        } else {
            [1, 2, 1, 2, 1]
        };
        let copies = routers.map(|r| {
            let router = fleet.routers[r].callers;
            spawn_send(router, &work, Some(&ticket))
        });
        let replies = block_on(async {
            let mut replies = Vec::new();
            for c in copies {
                replies.push(c.await.expect("each copy is answered"));
            }
            replies
        });
        for r in &replies {
            match r.outcome {
                Outcome::Answered => assert!(work.is_right(&r.body)),
                _ => assert_eq!(r.why, Some(Reason::TicketRunning)),
            }
        }
        assert_answered(&again(&fleet, 2, &work, &ticket), &work);
        assert_eq!(fleet.runs_of(&ticket), 1);
    }
}

/// Guards against a request without a ticket, whose copies can't be recognised.
#[test]
fn ticket_missing() {
    let fleet = Fleet::start(Plan::default());
    let reply = block_on(send(fleet.routers[0].callers, &record("claim", 1), None));
    let reply = reply.expect("it is answered");
    assert_eq!(reply.why, Some(Reason::TicketNeeded));
    assert_eq!(reply.outcome, Outcome::NotRun);
    assert!(fleet.runs().is_empty());
}
