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
        02s 16.7 |  0.0 (0)  6.3 (0)  9.8 (1) 13.5 (1)
        03s 17.0 |  0.0 (0)  7.8 (0) 10.9 (0) 13.9 (0)
        04s 23.9 | 19.7 (290)  6.6 (0) 10.4 (1) 10.3 (2)
        05s 23.9 | 17.8 (291)  7.2 (1) 10.8 (0) 12.6 (0)
        06s 23.9 | 17.0 (292)  6.5 (0)  9.5 (0) 14.2 (1)
        07s 23.9 | 17.0 (290)  7.0 (1)  9.5 (0) 13.6 (1)
        08s 23.8 | 14.9 (292)  6.3 (0) 11.4 (1) 13.4 (1)
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
        02s 23.9 | 14.1 (71) 12.5 (73) 13.8 (72)
        03s 24.0 | 16.3 (73) 17.2 (71) 15.4 (71)
        04s 24.0 | 17.1 (73) 14.5 (70) 15.3 (72)
        05s 24.0 | 14.5 (70) 15.9 (73) 16.8 (73)
        06s 24.0 | 17.3 (74) 16.2 (72) 16.8 (70)
        07s 24.0 | 15.6 (71) 15.6 (73) 14.5 (72)
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
        02s 24.0 | 13.8 (53) 13.4 (52) 13.8 (51)
        03s 24.0 | 17.2 (53) 15.9 (50) 15.6 (52)
        04s 24.0 | 14.7 (49) 14.7 (49) 18.6 (55)
        05s 24.0 | 12.2 (54) 14.9 (54) 21.3 (48)
        06s 24.0 | 12.7 (53) 12.0 (56) 23.2 (46)
        07s 24.0 | 11.3 (51) 10.4 (51) 25.1 (54)
        08s 24.0 | 13.0 (55) 14.2 (54) 21.3 (45)
        09s 24.1 | 11.9 (54) 11.2 (52) 25.6 (42)
        10s 24.9 | 18.7 (48) 20.4 (48) 10.0 (60)
        11s 24.0 | 19.6 (52) 18.8 (55)  9.5 (49)
        12s 24.0 | 16.7 (52) 14.3 (52) 17.6 (49)
        13s 24.0 | 16.3 (50) 17.6 (53) 15.2 (51)
        14s 24.0 | 14.3 (54) 16.3 (50) 15.7 (50)
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
        02s 24.0 | 13.9 (70) 15.2 (54) 12.5 (52)
        03s 24.0 | 15.3 (71) 14.8 (54) 15.8 (51)
        04s 24.0 | 18.2 (73) 14.5 (51) 16.7 (51)
        05s 22.6 | 14.9 (55) 15.0 (50) 15.4 (53)
        06s 24.0 | 15.9 (74) 16.0 (50) 16.1 (52)
        07s 24.0 | 16.2 (72) 17.3 (51) 15.8 (51)
        08s 24.0 | 16.4 (75) 15.3 (50) 15.7 (51)
        09s 24.0 | 15.3 (73) 16.6 (50) 15.4 (52)
        10s 24.0 | 14.7 (66) 17.1 (54) 17.4 (54)
    "#]]
    .assert_eq(&out);
}
