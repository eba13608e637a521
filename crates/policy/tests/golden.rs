//! Golden files of whole sessions: what a fleet of four routers does, second by second.
//!
//! Each line gives the time, the slots in use of 24, and for each workspace the service it
//! received in the last second and its requests that wait.

mod fleet;

use {
    expect_test::expect,
    fleet::{
        rules,
        Fleet,
        Load, //
    },
    policy::Mode,
    std::{
        collections::BTreeSet,
        fmt::Write, //
    },
};

const ROUTERS: usize = 4;
const REPLICAS: usize = 3;
const SLOTS: u32 = 8;
const RUN: (u64, u64) = (100, 400);
const SECOND: u32 = 100;

fn fleet(workspaces: usize) -> Fleet {
    let mut f = Fleet::new(9, ROUTERS, REPLICAS, workspaces, rules(Mode::Fleet, SLOTS));
    for _ in 0..SECOND {
        f.step();
    }
    f
}

/// Lets seconds pass under a load, and writes one line for each.
fn pass(f: &mut Fleet, load: &Load, seconds: u32, out: &mut String) {
    for _ in 0..seconds {
        let before = f.served.clone();
        let mut busy = 0;
        for _ in 0..SECOND {
            load.ask(f, RUN);
            f.step();
            busy += f.busy();
        }
        let second = f.now.since(policy::Time(0)).as_millis() / 1000;
        write!(
            out,
            "{second:02}s {:>4.1} |",
            f64::from(busy) / f64::from(SECOND)
        )
        .unwrap();
        for (w, was) in before.iter().enumerate() {
            write!(out, " {:>4.1} ({})", f.served[w] - was, f.waiting(w)).unwrap();
        }
        out.push('\n');
    }
}

#[test]
fn session_flood() {
    // A franchisee's script sends hundreds of requests through one router. The others,
    // with a few callers each elsewhere, keep getting their part within the second.
    // Cause: engines take what comes, so the queue must stand in the routers.
    let mut f = fleet(4);
    let mut out = String::new();
    let calm = Load {
        callers: vec![
            vec![0; 4],
            vec![2, 2, 0, 0],
            vec![0, 0, 6, 0],
            vec![0, 0, 0, 8],
        ],
    };
    pass(&mut f, &calm, 2, &mut out);
    let mut flood = calm;
    flood.callers[0] = vec![300, 0, 0, 0];
    pass(&mut f, &flood, 5, &mut out);
    expect![[r#"
        02s 17.3 |  0.0 (0)  7.2 (0) 10.5 (0) 13.8 (0)
        03s 17.3 |  0.0 (0)  6.8 (0) 11.0 (0) 16.1 (0)
        04s 23.7 | 14.4 (290)  7.9 (0) 11.3 (1) 14.5 (2)
        05s 23.7 | 14.8 (290)  5.8 (0) 10.4 (2) 13.2 (1)
        06s 23.7 | 16.7 (290)  7.0 (0) 10.3 (2) 14.4 (1)
        07s 23.8 | 16.8 (292)  6.8 (0) 10.8 (1) 13.3 (1)
        08s 23.9 | 17.2 (289)  7.2 (1) 10.7 (1) 13.5 (2)
    "#]]
    .assert_eq(&out);
}

#[test]
fn session_skewed() {
    // All callers of one workspace use one router, those of another are spread over all.
    // With a part of each replica for each router, the second would get four times more.
    let mut f = fleet(3);
    let mut out = String::new();
    let load = Load {
        callers: vec![vec![20, 20, 20, 20], vec![0, 80, 0, 0], vec![0, 0, 40, 40]],
    };
    pass(&mut f, &load, 6, &mut out);
    expect![[r#"
        02s 24.0 | 15.6 (70) 11.4 (69) 14.9 (74)
        03s 24.0 | 15.7 (75) 17.3 (72) 14.9 (68)
        04s 24.0 | 16.1 (74) 16.4 (68) 15.2 (73)
        05s 24.0 | 16.0 (72) 15.8 (72) 16.8 (71)
        06s 24.0 | 15.2 (74) 16.0 (71) 16.7 (70)
        07s 24.0 | 16.8 (70) 15.9 (72) 15.8 (72)
    "#]]
    .assert_eq(&out);
}

#[test]
fn session_partition() {
    // Two routers are cut off for five seconds and come back. Both sides go on serving with
    // what they hold, so no slot is used twice; then the counts merge and the workspace that
    // got less is paid back, while nobody gets nothing.
    let mut f = fleet(3);
    let mut out = String::new();
    let load = Load {
        callers: vec![vec![30, 30, 0, 0], vec![0, 0, 30, 30], vec![15, 15, 15, 15]],
    };
    pass(&mut f, &load, 3, &mut out);
    f.partition(BTreeSet::from([2, 3]));
    pass(&mut f, &load, 5, &mut out);
    f.partition(BTreeSet::new());
    pass(&mut f, &load, 5, &mut out);
    expect![[r#"
        02s 24.0 | 13.6 (51) 14.1 (53) 14.6 (51)
        03s 24.0 | 14.8 (50) 15.3 (54) 16.9 (50)
        04s 24.0 | 16.7 (50) 16.8 (52) 15.3 (52)
        05s 24.0 | 12.8 (53) 11.4 (55) 23.9 (46)
        06s 24.0 | 12.4 (54) 11.0 (53) 23.2 (49)
        07s 24.0 | 12.7 (54) 12.4 (53) 23.4 (49)
        08s 24.0 | 11.9 (55) 12.8 (54) 25.3 (45)
        09s 24.1 | 12.0 (53) 11.4 (51) 23.4 (45)
        10s 25.3 | 19.5 (48) 22.9 (47)  8.3 (60)
        11s 24.0 | 18.7 (54) 16.6 (52) 12.0 (50)
        12s 24.0 | 16.0 (53) 15.8 (53) 14.9 (50)
        13s 24.0 | 16.7 (50) 17.1 (53) 17.4 (52)
        14s 24.0 | 15.5 (52) 15.5 (53) 14.6 (50)
    "#]]
    .assert_eq(&out);
}

#[test]
fn session_restart_empty() {
    // The router that lends the slots dies, another takes over from what the rest still
    // hold, and it comes back with empty memory a second later.
    let mut f = fleet(3);
    let mut out = String::new();
    let load = Load {
        callers: vec![vec![20; 4], vec![0, 30, 30, 0], vec![0, 0, 0, 60]],
    };
    pass(&mut f, &load, 3, &mut out);
    let owner = f.owner();
    f.kill(owner);
    f.tell_routers();
    pass(&mut f, &load, 1, &mut out);
    f.boot(owner);
    pass(&mut f, &load, 5, &mut out);
    expect![[r#"
        02s 24.0 | 14.1 (70) 14.2 (54) 12.1 (51)
        03s 24.0 | 17.6 (74) 15.7 (48) 17.6 (52)
        04s 24.0 | 16.2 (71) 16.0 (52) 13.2 (51)
        05s 21.6 | 11.3 (53) 15.3 (52) 18.4 (53)
        06s 24.0 | 16.6 (70) 16.2 (53) 14.4 (51)
        07s 24.0 | 17.3 (74) 15.6 (52) 15.6 (49)
        08s 24.0 | 14.7 (74) 16.2 (52) 15.7 (49)
        09s 24.0 | 16.9 (69) 15.2 (54) 15.9 (52)
        10s 24.0 | 16.4 (75) 15.3 (49) 17.0 (48)
    "#]]
    .assert_eq(&out);
}
