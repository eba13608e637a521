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
        02s 17.3 |  0.0 (0)  6.7 (0) 10.1 (0) 13.6 (0)
        03s 17.3 |  0.0 (0)  7.6 (0) 11.6 (0) 15.6 (0)
        04s 23.7 | 12.4 (290)  7.8 (2) 11.0 (1) 15.3 (1)
        05s 23.9 | 17.6 (292)  5.6 (0) 10.6 (0) 13.7 (1)
        06s 23.9 | 16.5 (291)  7.7 (0)  9.8 (0) 14.6 (1)
        07s 23.9 | 15.0 (291)  6.4 (1) 11.1 (1) 14.0 (1)
        08s 23.9 | 18.0 (291)  7.1 (1)  9.9 (1) 13.4 (0)
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
        02s 23.9 | 15.4 (73) 12.1 (69) 13.6 (73)
        03s 23.9 | 15.6 (72) 16.5 (73) 15.8 (71)
        04s 24.0 | 16.4 (76) 15.8 (71) 15.3 (68)
        05s 24.0 | 16.7 (73) 15.7 (71) 16.9 (71)
        06s 24.0 | 13.6 (66) 16.1 (71) 16.6 (77)
        07s 24.0 | 17.1 (69) 16.3 (72) 17.0 (75)
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
        02s 24.0 | 12.4 (50) 14.6 (55) 15.1 (50)
        03s 24.0 | 16.6 (52) 15.6 (52) 15.1 (50)
        04s 24.0 | 15.8 (53) 15.7 (55) 15.4 (48)
        05s 24.0 | 12.8 (53) 10.8 (53) 26.1 (49)
        06s 24.0 | 11.6 (53) 11.6 (54) 22.8 (49)
        07s 24.0 | 12.8 (55) 13.0 (56) 23.9 (45)
        08s 24.0 | 11.9 (54) 11.7 (55) 24.3 (47)
        09s 24.1 | 12.8 (54) 12.3 (53) 23.7 (43)
        10s 24.6 | 19.9 (48) 20.6 (47)  8.5 (60)
        11s 24.0 | 17.2 (50) 18.5 (49) 13.0 (56)
        12s 24.0 | 15.8 (53) 15.6 (54) 15.7 (48)
        13s 24.0 | 16.5 (53) 16.0 (55) 16.0 (46)
        14s 24.0 | 14.6 (49) 14.9 (49) 17.3 (57)
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
    pass(&mut f, &load, 1, &mut out);
    f.boot(owner);
    pass(&mut f, &load, 5, &mut out);
    expect![[r#"
        02s 23.9 | 15.3 (72) 14.2 (50) 13.0 (53)
        03s 24.0 | 14.6 (68) 16.3 (54) 15.4 (54)
        04s 24.0 | 17.6 (75) 14.4 (51) 16.2 (49)
        05s 22.5 | 12.7 (53) 16.4 (51) 16.3 (52)
        06s 23.9 | 15.8 (69) 16.1 (55) 15.2 (52)
        07s 24.0 | 17.5 (71) 15.2 (53) 14.9 (51)
        08s 24.0 | 15.9 (71) 16.7 (52) 16.1 (52)
        09s 24.0 | 17.2 (74) 15.5 (49) 15.7 (51)
        10s 24.0 | 14.1 (71) 16.6 (54) 16.6 (51)
    "#]]
    .assert_eq(&out);
}
