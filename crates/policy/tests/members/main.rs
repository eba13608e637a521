//! Membership under killed, frozen and restarted routers and network partitions, in virtual
//! time.

mod fleet;
mod fuzz;
#[path = "../seeded/mod.rs"]
mod seeded;
mod single;

use {
    fleet::{
        id,
        Fleet, //
    },
    policy::{
        members::State,
        Span, //
    },
};

fn settled(n: usize, seed: u64) -> Fleet {
    let mut f = Fleet::new(n, seed);
    let took = f.until(Span::secs(20), Fleet::all_live);
    println!("{n} routers: all live after {}", took.unwrap());
    f.run(Span::secs(3));
    f
}

#[test]
fn tick_finds_a_killed_router() {
    for seed in 0..5 {
        let mut f = settled(8, seed);
        f.kill(3);
        let took = f.until(Span::secs(10), |f| f.all_see(3, State::Dead));
        println!("killed: dead at all after {}", took.unwrap());
        assert!(took.unwrap() <= Span::millis(2000));
        assert_eq!(f.false_alarms, (0, 0));
    }
}

#[test]
fn tick_after_a_freeze_of_this_process() {
    // Guards against a resumed router that takes over all pools: a router is stopped for some
    // seconds (SIGSTOP, CPU starvation) and resumes. From its point of view, every other
    // router was silent in between. It must not declare them dead.
    for seed in 0..5 {
        let mut f = settled(8, seed);
        f.freeze(2, Span::secs(5));
        let took = f.until(Span::secs(4), |f| f.all_see(2, State::Dead));
        assert!(took.unwrap() <= Span::millis(2000));
        f.until(Span::secs(5), |f| f.nodes[2].frozen.is_none());
        let back = f.until(Span::secs(5), Fleet::all_live);
        println!(
            "frozen: dead after {}, live again after {}",
            took.unwrap(),
            back.unwrap()
        );
        f.run(Span::secs(5));
        assert_eq!(f.false_alarms, (0, 0));
    }
}

#[test]
fn tick_when_one_direction_is_cut() {
    // Guards against different owners of the same pools: heartbeats of router 1 no longer reach
    // router 2, but all others receive them. Router 2 must not be the only one that considers
    // router 1 dead.
    for seed in 0..5 {
        let mut f = settled(8, seed);
        f.blocked.insert((1, 2));
        f.run(Span::secs(20));
        assert_eq!(f.state(2, 1), Some(State::Live));
        assert_eq!(f.false_alarms, (0, 0));
        let seen = f.nodes[2].table.get(&id(1)).unwrap();
        assert!(
            !seen.inbound_ok,
            "2 knows that heartbeats of 1 do not arrive"
        );
        let back = f.nodes[1].table.get(&id(2)).unwrap();
        assert!(
            back.inbound_ok && !back.outbound_ok,
            "1 knows that its heartbeats do not reach 2"
        );
        f.kill(1);
        let took = f.until(Span::secs(10), |f| f.all_see(1, State::Dead));
        println!("one way, then killed: dead after {}", took.unwrap());
        assert!(took.unwrap() <= Span::millis(3000));
    }
}

#[test]
fn tick_when_the_fleet_is_split_and_rejoined() {
    for seed in 0..5 {
        let mut f = settled(9, seed);
        f.split(&[0, 1, 2]);
        let took = f.until(Span::secs(10), |f| {
            let left = (0..3).all(|a| (3..9).all(|b| f.state(a, b) == Some(State::Dead)));
            left && (3..9).all(|a| (0..3).all(|b| f.state(a, b) == Some(State::Dead)))
        });
        assert!(took.unwrap() <= Span::millis(2500), "{took:?}");
        f.run(Span::secs(60));
        f.blocked.clear();
        let back = f.until(Span::secs(20), Fleet::all_live);
        println!(
            "split: seen after {}, rejoined after {}",
            took.unwrap(),
            back.unwrap()
        );
        assert!(back.unwrap() <= Span::millis(2500));
    }
}

#[test]
fn heartbeats_after_all_restart_at_once() {
    let mut f = settled(8, 1);
    for i in 0..8 {
        f.restart(i);
    }
    let took = f.until(Span::secs(10), |f| {
        let fresh = |a: usize, b: usize| {
            a == b
                || f.nodes[a]
                    .table
                    .get(&id(b))
                    .is_some_and(|m| m.incarnation.0 == 2)
        };
        f.all_live() && (0..8).all(|a| (0..8).all(|b| fresh(a, b)))
    });
    println!("all restarted: seen after {}", took.unwrap());
    assert!(took.unwrap() <= Span::secs(1));
    f.run(Span::secs(5));
    assert_eq!(f.false_alarms, (0, 0));
}

#[test]
fn restart_between_two_heartbeats() {
    let mut f = settled(8, 1);
    f.kill(4);
    f.restart(4);
    f.run(Span::secs(2));
    assert_eq!(f.nodes[0].table.get(&id(4)).unwrap().incarnation.0, 2);
    assert!(f.all_live());
}

#[test]
fn goodbye_at_a_graceful_shutdown() {
    let mut f = settled(8, 1);
    f.leave(5);
    f.run(Span::millis(600));
    assert!(f.nodes[0].table.get(&id(5)).unwrap().leaving);
    assert!(!f.nodes[0].table.get(&id(5)).unwrap().takes_work());
    f.nodes[5].table.goodbye();
    f.run(Span::millis(50));
    f.kill(5);
    let took = f.until(Span::secs(2), |f| f.all_see(5, State::Left));
    println!("goodbye: seen after {}", took.unwrap());
    f.run(Span::secs(5));
    assert!(f.all_see(5, State::Left));
    f.restart(5);
    f.until(Span::secs(5), |f| f.all_see(5, State::Live))
        .unwrap();
    assert!(!f.nodes[0].table.get(&id(5)).unwrap().leaving);
}

#[test]
fn tick_under_jitter_and_loss() {
    // Simulates busy machines: each heartbeat is delayed by 60 ms on average with a long tail,
    // 2% are lost, and a random router is frozen for up to 700 ms every 200 ms.
    let (mut false_alarms, mut hours) = ((0, 0), 0.0);
    for seed in 0..5 {
        let mut f = settled(8, seed);
        f.jitter = Span::millis(60);
        f.loss = 0.02;
        for _ in 0..600 {
            f.run(Span::millis(200));
            let (i, ms) = (f.rng.usize(0..8), f.rng.u64(0..700));
            f.freeze(i, Span::millis(ms));
        }
        false_alarms = (
            false_alarms.0 + f.false_alarms.0,
            false_alarms.1 + f.false_alarms.1,
        );
        hours += 8.0 * 120.0 / 3600.0;
    }
    println!("jitter: {false_alarms:?} wrong suspicions and deaths in {hours:.1} router hours");
    assert_eq!(false_alarms.1, 0);
}

/// Starts `n` routers, kills one, restarts it, and prints how long the others took to notice.
fn check_large_fleet(n: usize) {
    let mut f = Fleet::new(n, 1);
    f.tick = Span::millis(250);
    f.run(Span::secs(10));
    assert!(f.nodes.iter().all(|node| node.table.view().len() == n));
    let before: Vec<(u64, u64)> = f.nodes.iter().map(|n| (n.heartbeats, n.bytes)).collect();
    f.run(Span::secs(10));
    let sent = f.nodes.iter().zip(&before);
    let heartbeats = sent.clone().map(|(n, b)| n.heartbeats - b.0).max().unwrap() / 10;
    let bytes = sent.map(|(n, b)| n.bytes - b.1).max().unwrap() / 10;
    println!("{n}: {heartbeats} heartbeats and {bytes} bytes a second at most");
    assert!(heartbeats <= 8 * 4 + 8);
    assert_eq!(f.false_alarms, (0, 0));
    f.nodes[5].adopt_config(1);
    let took = f.until(Span::secs(20), |f| f.nodes.iter().all(|n| n.config == 1));
    println!("{n}: a revision is known at all after {}", took.unwrap());
    assert!(took.unwrap() <= Span::secs(3));
    f.kill(77);
    let took = f.until(Span::secs(20), |f| f.all_see(77, State::Dead));
    println!("{n}: killed, dead at all after {}", took.unwrap());
    assert!(took.unwrap() <= Span::secs(4));
    f.restart(77);
    let took = f.until(Span::secs(20), |f| f.all_see(77, State::Live));
    println!("{n}: restarted, live at all after {}", took.unwrap());
    f.run(Span::secs(5));
    println!("{n}: {:?} wrong suspicions and deaths", f.false_alarms);
    assert_eq!(f.false_alarms.1, 0);
}

#[test]
fn tick_in_a_large_fleet() {
    check_large_fleet(100);
}

#[test]
#[ignore = "takes half a minute; run with `--ignored` for the figures of 370 routers"]
fn tick_in_a_fleet_of_370() {
    check_large_fleet(370);
}
