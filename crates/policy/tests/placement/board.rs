//! The load of replicas over the fleet.

use {
    policy::{
        placement::{
            Board,
            Load,
            ReplicaKey, //
        },
        RouterId,
        Span,
        Time, //
    },
    std::collections::BTreeMap,
    xxhash_rust::xxh3::xxh3_64, //
};

/// How long a peer's report is valid.
const REPORT_VALIDITY: Span = Span::millis(700);

/// Draws a number below `below` for a step.
fn draw(step: u64, what: &str, below: u64) -> u64 {
    xxh3_64(format!("{step} {what}").as_bytes()) % below
}

fn load(n: u64) -> Load {
    Load {
        running: n as u32,
        unread: n * 100,
        memory: n * 120,
    }
}

/// Guards against sums that drift from what the peers reported, so that replicas seem ever fuller.
#[test]
fn board_sum_of_reports() {
    let names: Vec<RouterId> = (0..6).map(|i| format!("r-{i}").parse().unwrap()).collect();
    let mut board = Board::default();
    let mut reports: BTreeMap<RouterId, (Time, Vec<(ReplicaKey, Load)>)> = BTreeMap::new();
    let mut now = Time(0);
    for step in 0..4_000 {
        now += Span::millis(draw(step, "pause", 60));
        let from = &names[draw(step, "from", 6) as usize];
        // One peer at a time is silent for a while.
        if *from != names[(now.0 / 2_000_000) as usize % 6] {
            let loads: Vec<_> = (0..8)
                .filter(|key| draw(step, &format!("has {key}"), 3) > 0)
                .map(|key| (ReplicaKey(key), load(1 + draw(step, "load", 40))))
                .collect();
            board.set_peer(from, &loads, now);
            reports.insert(from.clone(), (now, loads));
        }
        if draw(step, "forget", 5) == 0 {
            board.forget(now);
        }
        for key in (0..8).map(ReplicaKey) {
            let valid = reports
                .values()
                .filter(|(at, _)| now.since(*at) < REPORT_VALIDITY);
            let loads = valid.flat_map(|(_, loads)| loads).filter(|l| l.0 == key);
            let running: u32 = loads.map(|l| l.1.running).sum();
            assert_eq!(board.load(key, now), load(u64::from(running)), "{step}");
        }
        let all = (0..8).map(|key| board.load(ReplicaKey(key), now).running);
        assert_eq!(board.view(now).running, all.sum(), "{step}");
    }
}

/// Guards against loads that expire before the next report.
#[test]
fn board_reports_of_a_large_fleet() {
    let mut board = Board::default();
    let (peer, key) = ("r-1".parse().unwrap(), ReplicaKey(1));
    board.set_peer(&peer, &[(key, load(20))], Time(0));
    let before_next = Time(0) + Span::millis(1_400);
    assert_eq!(board.load(key, before_next).running, 0);
    board.set_report_interval(Span::millis(1_500));
    assert_eq!(board.load(key, before_next).running, 20);
    assert_eq!(board.load(key, Time(0) + Span::secs(4)).running, 0);
}
