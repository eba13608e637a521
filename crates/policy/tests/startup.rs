//! Fleets that start at once, and what they read from the store.

use {
    policy::{
        reads_store_at_start,
        Span,
        StartView, //
    },
    std::collections::BTreeSet, //
};

/// Routers whose addresses the settings of all routers name.
const SEEDS: usize = 3;
/// Time that a whole list takes to be sent, and how many a router sends at a time.
const TRANSFER: Span = Span::millis(600);
const TRANSFERS: usize = 4;
const STEP: Span = Span::millis(50);

/// The start of a fleet.
#[derive(Debug, Default)]
struct Start {
    /// Reads of the whole list from the store.
    reads: usize,
    /// When all routers had the list.
    done: Span,
}

/// Starts routers at once, of which those before `down` never answer. If `reached`, the others know
/// each other all the same.
fn start(routers: usize, down: usize, reached: bool) -> Start {
    let mut rng = fastrand::Rng::with_seed(5);
    let rolls: Vec<f64> = (0..routers).map(|_| rng.f64()).collect();
    let mut holders: BTreeSet<usize> = BTreeSet::new();
    let mut transfers: Vec<(Span, usize, usize)> = Vec::new();
    let mut start = Start::default();
    let mut now = Span::ZERO;
    while holders.len() < routers - down {
        now = now + STEP;
        assert!(
            now < Span::secs(30),
            "{} routers have the list",
            holders.len()
        );
        let (done, running) = transfers.into_iter().partition(|(end, _, _)| *end <= now);
        let done: Vec<(Span, usize, usize)> = done;
        transfers = running;
        holders.extend(done.into_iter().map(|(_, _, to)| to));
        for (router, roll) in rolls.iter().enumerate().skip(down) {
            let waits = transfers.iter().any(|(_, _, to)| *to == router);
            if holders.contains(&router) || waits {
                continue;
            }
            let view = StartView {
                waited: now,
                seed: router < SEEDS,
                contacts: if reached { routers - 1 } else { SEEDS },
                peers: if reached { routers - down - 1 } else { 0 },
                offered: reached && !holders.is_empty(),
            };
            if reads_store_at_start(view, *roll) {
                start.reads += 1;
                holders.insert(router);
                continue;
            }
            // It hears of some router that has the list, if any answers.
            let known: Vec<usize> = holders.iter().copied().collect();
            let Some(from) = rng.choice(&known).copied().filter(|_| view.peers > 0) else {
                continue;
            };
            if transfers.iter().filter(|(_, f, _)| *f == from).count() < TRANSFERS {
                transfers.push((now + TRANSFER, from, router));
            }
        }
    }
    start.done = now;
    start
}

/// Guards against a start whose calls to the store grow with the product of routers and replicas.
#[test]
fn start_of_a_fleet_reads_the_list_a_few_times() {
    for routers in [8, 30, 300, 985, 2_000] {
        let Start { reads, done } = start(routers, 0, true);
        assert!(reads <= SEEDS, "{reads} reads by {routers} routers");
        assert!(done <= Span::secs(6), "{routers} routers took {done}");
    }
}

/// Guards against a fleet that waits for routers which are down.
#[test]
fn start_with_some_seeds_down() {
    for routers in [8, 300, 985] {
        let Start { reads, done } = start(routers, 2, true);
        assert!(reads <= SEEDS, "{reads} reads by {routers} routers");
        assert!(done <= Span::secs(6), "{routers} routers took {done}");
    }
}

/// Guards against routers without peers that wait for long, or that all read at the same moment.
#[test]
fn start_with_all_seeds_down() {
    let Start { done, .. } = start(300, SEEDS, false);
    assert!(done <= Span::secs(4), "{done}");
    let at_once = (0..300).filter(|n| {
        let view = StartView {
            waited: Span::millis(1_300),
            seed: false,
            contacts: SEEDS,
            peers: 0,
            offered: false,
        };
        reads_store_at_start(view, f64::from(*n) / 300.0)
    });
    assert!(at_once.count() < 60);
}

/// Guards against a fleet that serves nothing for seconds after all of it lost power, as the routers wait
/// for documents that no peer has.
#[test]
fn start_of_routers_that_all_lack_the_list() {
    for routers in [8, 88, 300, 985] {
        let Start { reads, done } = start(routers, SEEDS, true);
        assert!(done <= Span::secs(6), "{routers} routers took {done}");
        // Those that decide within one step, and the first step in which others have the list.
        assert!(reads <= 40, "{reads} reads by {routers} routers");
    }
    let Start { done, .. } = start(8, SEEDS, true);
    assert!(done <= Span::secs(1), "8 routers took {done}");
}
