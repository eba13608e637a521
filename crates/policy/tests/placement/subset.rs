//! The part of a service's replicas that requests are sent to.

use {
    policy::{
        placement::{
            Ranking,
            SubsetSize, //
        },
        ReplicaId,
        Span,
        Time,
        Zone, //
    },
    std::collections::{
        BTreeMap,
        BTreeSet, //
    },
};

const ZONES: usize = 5;
const SLOTS: u32 = 16;

fn id(n: usize) -> ReplicaId {
    format!("i-{n}").parse().unwrap()
}

fn zone(n: usize) -> Zone {
    format!("zone-{}", n % ZONES).parse().unwrap()
}

fn ranking(replicas: usize) -> Ranking {
    let mut ranking = Ranking::default();
    for n in 0..replicas {
        ranking.insert(&id(n), &zone(n));
    }
    ranking
}

fn subset(ranking: &Ranking, size: usize) -> BTreeSet<ReplicaId> {
    let first = ranking.first(size, |_| true, |_| true);
    first.into_iter().cloned().collect()
}

/// Guards against a choice that looks at each replica of a large fleet: the same load needs the same
/// number of them in a fleet of any size.
#[test]
fn subset_does_not_grow_with_the_fleet() {
    for running in [0, 1_000] {
        let mut size = SubsetSize::default();
        size.update(running, SLOTS, Time(0));
        for replicas in [100, 1_000, 10_000, 20_000] {
            let looked_at = subset(&ranking(replicas), size.get()).len();
            assert!(looked_at <= 256, "{looked_at} of {replicas}");
            assert_eq!(looked_at, replicas.min(256));
        }
    }
}

/// Guards against idle replicas in a fleet that needs all of them.
#[test]
fn subset_grows_with_the_load() {
    let mut size = SubsetSize::default();
    size.update(10_000, SLOTS, Time(0));
    assert!(size.get() * SLOTS as usize >= 10_000 * 4, "{}", size.get());
    // All slots of a thousand replicas.
    size.update(16_000, SLOTS, Time(0));
    assert_eq!(subset(&ranking(1_000), size.get()).len(), 1_000);
}

/// Guards against prompts whose preferred replicas change back and forth with the load.
#[test]
fn subset_shrinks_late() {
    let mut size = SubsetSize::default();
    size.update(4_000, SLOTS, Time(0));
    let grown = size.get();
    size.update(0, SLOTS, Time(0) + Span::secs(50));
    assert_eq!(size.get(), grown);
    size.update(4_000, SLOTS, Time(0) + Span::secs(59));
    size.update(0, SLOTS, Time(0) + Span::secs(110));
    assert_eq!(size.get(), grown);
    size.update(0, SLOTS, Time(0) + Span::secs(120));
    assert!(size.get() < grown);
}

/// Guards against a subset of one zone, with which all of it would be lost.
#[test]
fn subset_is_spread_over_zones() {
    let ranking = ranking(10_000);
    let mut counts: BTreeMap<Zone, usize> = BTreeMap::new();
    for id in subset(&ranking, 256) {
        let n: usize = id.as_str()[2..].parse().unwrap();
        *counts.entry(zone(n)).or_default() += 1;
    }
    assert_eq!(counts.len(), ZONES);
    assert!(counts.values().all(|n| (51..=52).contains(n)), "{counts:?}");
}

/// Guards against prompts that lose their cached parts as replicas come and go: each that ends is
/// replaced by the next one, and the others stay.
#[test]
fn subset_replaces_what_ends() {
    let mut ranking = ranking(10_000);
    let before = subset(&ranking, 256);
    let ended: Vec<ReplicaId> = before.iter().take(20).cloned().collect();
    for id in &ended {
        let n: usize = id.as_str()[2..].parse().unwrap();
        ranking.remove(id, &zone(n));
    }
    let after = subset(&ranking, 256);
    assert_eq!(after.len(), 256);
    assert!(before.difference(&after).eq(&ended));
}

/// Guards against requests without a replica while a zone is evacuated or most replicas are leaving.
#[test]
fn subset_skips_what_takes_no_work() {
    let ranking = ranking(1_000);
    let evacuated = zone(0);
    let first = ranking.first(256, |z| *z != evacuated, |_| true);
    assert_eq!(first.len(), 256);
    let ready: BTreeSet<ReplicaId> = (0..30).map(id).collect();
    let first = ranking.first(256, |_| true, |id| ready.contains(id));
    let found: BTreeSet<ReplicaId> = first.into_iter().cloned().collect();
    assert_eq!(found, ready);
}

/// Guards against routers that use different replicas, as they learned of them in another order.
#[test]
fn subset_is_the_same_at_all_routers() {
    let one = ranking(1_000);
    let mut other = Ranking::default();
    for n in (0..1_100).rev() {
        other.insert(&id(n), &zone(n));
    }
    for n in 1_000..1_100 {
        other.remove(&id(n), &zone(n));
    }
    assert_eq!(other.len(), 1_000);
    assert_eq!(subset(&one, 256), subset(&other, 256));
}
