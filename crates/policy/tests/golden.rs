//! Golden tests of complete sessions: what a fleet of four routers does in each second.
//!
//! Each line gives the time, the slots in use of 24, and for each workspace the service received
//! in the last second and, in brackets, its queued requests.

mod fleet;

use {
    expect_test::expect,
    fleet::{
        rules,
        ClosedLoopLoad,
        Fleet, //
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

/// Runs a load for some seconds, and writes one line for each.
fn run_seconds(f: &mut Fleet, load: &ClosedLoopLoad, seconds: u32, out: &mut String) {
    for _ in 0..seconds {
        let before = f.served.clone();
        let mut busy = 0;
        for _ in 0..SECOND {
            load.submit_missing(f, RUN);
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
    // One workspace floods one router with hundreds of requests. The others, with a few callers
    // at other routers, keep their share within the second. Engines admit every request, so the
    // requests must queue in the routers.
    let mut f = fleet(4);
    let mut out = String::new();
    let light_load = ClosedLoopLoad {
        callers: vec![
            vec![0; 4],
            vec![2, 2, 0, 0],
            vec![0, 0, 6, 0],
            vec![0, 0, 0, 8],
        ],
    };
    run_seconds(&mut f, &light_load, 2, &mut out);
    let mut flood = light_load;
    flood.callers[0] = vec![300, 0, 0, 0];
    run_seconds(&mut f, &flood, 5, &mut out);
    expect![[r#"
        02s 17.3 |  0.0 (0)  7.2 (0) 10.5 (0) 13.8 (0)
        03s 17.3 |  0.0 (0)  6.8 (0) 11.0 (0) 16.1 (0)
        04s 23.7 | 12.9 (290)  8.2 (1) 10.7 (0) 14.4 (1)
        05s 23.9 | 17.2 (290)  6.1 (0)  9.5 (0) 14.6 (1)
        06s 23.8 | 16.9 (292)  6.5 (0) 11.5 (1) 12.5 (1)
        07s 23.8 | 16.4 (291)  7.2 (1) 10.3 (0) 14.7 (2)
        08s 23.9 | 16.3 (291)  6.6 (0) 11.2 (0) 13.4 (0)
    "#]]
    .assert_eq(&out);
}

#[test]
fn session_skewed() {
    // All callers of one workspace use one router, those of another are spread over all. With a
    // static share of each replica per router, the second would get four times as much service.
    let mut f = fleet(3);
    let mut out = String::new();
    let load = ClosedLoopLoad {
        callers: vec![vec![20, 20, 20, 20], vec![0, 80, 0, 0], vec![0, 0, 40, 40]],
    };
    run_seconds(&mut f, &load, 6, &mut out);
    expect![[r#"
        02s 24.0 | 14.7 (71) 12.2 (72) 13.2 (72)
        03s 24.0 | 17.2 (71) 16.3 (73) 15.9 (72)
        04s 24.0 | 14.9 (69) 16.2 (72) 16.7 (74)
        05s 24.0 | 16.1 (75) 16.9 (71) 15.4 (68)
        06s 24.0 | 16.1 (72) 14.4 (71) 17.3 (73)
        07s 24.0 | 16.7 (74) 15.8 (72) 14.1 (70)
    "#]]
    .assert_eq(&out);
}

#[test]
fn session_partition() {
    // Two routers are partitioned from the others for five seconds. Both sides keep serving with
    // the slots that they hold, so no slot is used twice. Then the usage counts merge, and the
    // workspace that got less catches up while no other is starved.
    let mut f = fleet(3);
    let mut out = String::new();
    let load = ClosedLoopLoad {
        callers: vec![vec![30, 30, 0, 0], vec![0, 0, 30, 30], vec![15, 15, 15, 15]],
    };
    run_seconds(&mut f, &load, 3, &mut out);
    f.partition(BTreeSet::from([2, 3]));
    run_seconds(&mut f, &load, 5, &mut out);
    f.partition(BTreeSet::new());
    run_seconds(&mut f, &load, 5, &mut out);
    expect![[r#"
        02s 24.0 | 13.7 (52) 14.1 (52) 13.9 (52)
        03s 24.0 | 15.6 (52) 16.3 (53) 16.5 (49)
        04s 24.0 | 15.3 (52) 14.5 (51) 16.3 (53)
        05s 24.0 | 15.1 (56) 12.0 (54) 22.8 (46)
        06s 24.0 | 10.4 (55) 12.2 (53) 24.1 (47)
        07s 24.0 | 12.5 (56) 11.3 (55) 22.6 (44)
        08s 24.0 | 11.6 (55) 13.0 (57) 25.4 (44)
        09s 24.1 | 13.1 (54) 12.4 (53) 23.5 (43)
        10s 25.2 | 18.9 (49) 20.3 (47)  9.8 (60)
        11s 24.0 | 18.0 (50) 19.7 (57) 10.7 (49)
        12s 24.0 | 17.0 (53) 14.1 (53) 17.1 (50)
        13s 24.0 | 15.6 (53) 17.1 (53) 15.6 (50)
        14s 24.0 | 16.1 (53) 16.5 (54) 15.3 (49)
    "#]]
    .assert_eq(&out);
}

#[test]
fn session_restart_empty() {
    // The owner of the slots crashes, another router takes over from what the rest still hold,
    // and the first one restarts without any state a second later.
    let mut f = fleet(3);
    let mut out = String::new();
    let load = ClosedLoopLoad {
        callers: vec![vec![20; 4], vec![0, 30, 30, 0], vec![0, 0, 0, 60]],
    };
    run_seconds(&mut f, &load, 3, &mut out);
    let owner = f.owner();
    f.kill(owner);
    f.announce_routers();
    run_seconds(&mut f, &load, 1, &mut out);
    f.restart(owner);
    run_seconds(&mut f, &load, 5, &mut out);
    expect![[r#"
        02s 24.0 | 14.7 (70) 14.7 (53) 11.8 (52)
        03s 24.0 | 16.9 (73) 13.7 (51) 17.4 (52)
        04s 24.0 | 14.3 (70) 17.1 (49) 16.0 (54)
        05s 21.7 | 13.9 (51) 15.3 (55) 14.5 (53)
        06s 24.0 | 16.3 (69) 16.4 (51) 16.7 (53)
        07s 24.0 | 16.7 (74) 14.7 (50) 14.9 (51)
        08s 24.0 | 15.0 (70) 16.7 (54) 15.6 (52)
        09s 24.0 | 17.3 (73) 16.1 (52) 16.0 (51)
        10s 24.0 | 13.5 (71) 16.6 (53) 15.3 (52)
    "#]]
    .assert_eq(&out);
}
