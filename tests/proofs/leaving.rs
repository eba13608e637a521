//! A leaving endpoint gets no new work.

use {
    crate::stage::{
        ask_again,
        record,
        send,
        spawn_send,
        tickets,
        wait_for,
        Fleet,
        Plan,
        Signal, //
    },
    async_std::task::block_on,
    policy::Outcome,
    standins::platform::{
        Down,
        State, //
    },
    std::time::Duration,
};

const DAY: Duration = Duration::from_secs(86_400);

/// Sends a few requests through a router; each must be answered.
fn work(fleet: &Fleet, router: usize, requests: u32) {
    let router = fleet.routers[router].callers;
    for n in 0..requests {
        let lookup = record("standard", n);
        let reply = block_on(send(router, &lookup, None)).unwrap();
        assert_eq!(reply.outcome, Outcome::Answered, "{:?}", reply.why);
        let claim = record("claim", n);
        let ticket = block_on(tickets(router, "broker-desk", 1))
            .unwrap()
            .remove(0);
        let reply = ask_again(router, &claim, &ticket);
        assert_eq!(reply.outcome, Outcome::Answered, "{:?}", reply.why);
    }
}

/// Sends so many requests at once through a router that every replica gets some.
fn flood(fleet: &Fleet, router: usize) {
    let router = fleet.routers[router].callers;
    let calls: Vec<_> = (0..24)
        .map(|n| spawn_send(router, &record("standard", n), None))
        .collect();
    for call in calls {
        assert!(block_on(call).is_ok());
    }
}

/// Waits until a router counts this many plain replicas that take work.
fn wait_replicas(fleet: &Fleet, router: usize, n: u32) -> Duration {
    let (_, took) = wait_for("a router knows which endpoints stay", || {
        let status = fleet.routers[router].status()?;
        let mut services = status.services.iter();
        let desk = services.find(|s| s.name.as_str() == "broker-desk")?;
        (desk.replicas == n).then_some(())
    });
    took
}

fn desk_runs(fleet: &Fleet, n: usize) -> u32 {
    fleet.plains[n].runs().values().sum()
}

/// Guards against requests that are sent to a leaving endpoint until the list says so.
#[test]
fn leave_list_lags() {
    let fleet = Fleet::start(Plan {
        plains: 3,
        work: Duration::from_millis(20),
        ..Plan::default()
    });
    work(&fleet, 0, 5);
    fleet.platform.set_lag(DAY);
    fleet.plains[0].leave(true);
    fleet.platform.set_state("broker-desk-1", State::Leaving);
    // Whichever router meets the endpoint first tells the others.
    wait_for("a router has met the leaving endpoint", || {
        flood(&fleet, 0);
        (fleet.plains[0].turned_away() > 0).then_some(())
    });
    for router in 0..3 {
        wait_replicas(&fleet, router, 2);
    }
    let met = fleet.plains[0].turned_away();
    for router in 0..3 {
        work(&fleet, router, 30);
    }
    assert_eq!(fleet.plains[0].turned_away(), met);
}

/// Guards against slots of a leaving endpoint that stay granted while their owner is down or
/// paused.
#[test]
fn leave_owner_away() {
    let mut fleet = Fleet::start(Plan {
        plains: 3,
        ..Plan::default()
    });
    for away in 0..3 {
        work(&fleet, away, 5);
        match away {
            0 => fleet.routers[away].kill(),
            _ => fleet.routers[away].signal(Signal::Stop),
        }
        fleet.platform.set_state("broker-desk-1", State::Leaving);
        let others = (0..3).filter(|r| *r != away);
        for router in others.clone() {
            wait_replicas(&fleet, router, 2);
        }
        let before = desk_runs(&fleet, 0);
        for router in others {
            work(&fleet, router, 20);
        }
        assert_eq!(desk_runs(&fleet, 0), before);
        fleet.routers[away].signal(Signal::Cont);
        fleet.routers[away].start();
        // The one that was away hears of it too, and only then is asked.
        wait_replicas(&fleet, away, 2);
        let before = desk_runs(&fleet, 0);
        work(&fleet, away, 20);
        assert_eq!(desk_runs(&fleet, 0), before);
        fleet.platform.set_state("broker-desk-1", State::Live);
        fleet.wait_ready();
    }
}

/// Guards against a leaving endpoint that only the paused owner of its slots would announce.
#[test]
fn leave_platform_down() {
    let fleet = Fleet::start(Plan {
        plains: 3,
        work: Duration::from_millis(20),
        ..Plan::default()
    });
    work(&fleet, 0, 5);
    fleet.platform.set_down(Some(Down::Hang));
    fleet.routers[2].signal(Signal::Stop);
    for n in 0..2 {
        fleet.plains[n].leave(true);
        wait_for("a router has met the leaving endpoint", || {
            flood(&fleet, 0);
            (fleet.plains[n].turned_away() > 0).then_some(())
        });
        for router in 0..2 {
            wait_replicas(&fleet, router, 2 - n as u32);
        }
        let met = fleet.plains[n].turned_away();
        for router in 0..2 {
            work(&fleet, router, 20);
        }
        assert_eq!(fleet.plains[n].turned_away(), met);
    }
}
