//! The routers that are told of a stream, and those that are asked for it.

use {
    policy::{
        actives::{
            Actives,
            RouterInfo, //
        },
        streams::StreamKey,
        Incarnation,
        RouterId,
        Span,
        Time, //
    },
    std::{
        collections::HashSet,
        net::SocketAddr, //
    },
};

const HEARTBEAT: Span = Span::millis(100);
const KEYS: u64 = 200;

fn addr(n: usize) -> SocketAddr {
    ([10, 0, (n / 256) as u8, (n % 256) as u8], 7603).into()
}

fn info(n: usize, zones: usize) -> RouterInfo {
    RouterInfo {
        incarnation: Incarnation(n as u64),
        peers: addr(n),
        callers: addr(n),
        zone: format!("z{}", n % zones).parse().unwrap(),
        processor: 0.25,
        ready: true,
    }
}

fn name(n: usize) -> RouterId {
    format!("r{n}").parse().unwrap()
}

/// The table of router `own`, which knows `others`.
fn table(own: usize, others: impl Iterator<Item = usize>, zones: usize) -> Actives {
    let mut table = Actives::new(name(own), info(own, zones), 24, HEARTBEAT);
    for n in others.filter(|n| *n != own) {
        table.receive_hello(&name(n), 1, info(n, zones), HEARTBEAT, 0.0, Time(0));
    }
    table
}

fn fleet(size: usize, zones: usize) -> Vec<Actives> {
    (0..size).map(|own| table(own, 0..size, zones)).collect()
}

#[test]
fn stream_holders_in_two_zones() {
    let first = table(0, 0..12, 3);
    for key in 0..KEYS {
        let holders = first.stream_holders(StreamKey(key), Time(0));
        let zones: HashSet<usize> = holders
            .iter()
            .map(|a| (0..12).find(|n| addr(*n) == *a).unwrap() % 3)
            .collect();
        assert_eq!((holders.len(), zones.len()), (2, 2));
        assert!(!holders.contains(&addr(0)));
    }
}

#[test]
fn stream_holders_of_small_fleets() {
    assert!(table(0, 0..1, 3)
        .stream_holders(StreamKey(1), Time(0))
        .is_empty());
    let pair = table(0, 0..2, 3);
    assert_eq!(pair.stream_holders(StreamKey(1), Time(0)), [addr(1)]);
    // All in one zone.
    let same = table(0, 0..5, 1);
    assert_eq!(same.stream_holders(StreamKey(1), Time(0)).len(), 2);
}

/// Guards against asking other routers than those that were told.
#[test]
fn stream_sources_know_the_stream() {
    for size in [3, 8, 60, 300, 370] {
        let fleet = fleet(size, 3);
        for key in 0..KEYS {
            let (first, second) = (key as usize % size, (key as usize * 7 + 1) % size);
            let told = fleet[first].stream_holders(StreamKey(key), Time(0));
            let asked = fleet[second].stream_sources(StreamKey(key), Time(0));
            let knows = told.contains(&addr(second)) || asked.iter().any(|a| told.contains(a));
            assert!(knows || first == second, "{size} routers, stream {key}");
        }
    }
}

/// Guards against losing the streams of a router that was killed together with some others, while a
/// third of the fleet has been replaced.
#[test]
fn stream_sources_after_changes() {
    for size in [9, 60, 370] {
        let killed = size / 9;
        let mut lost = 0;
        for key in 0..KEYS {
            let first = key as usize % killed;
            let told = table(first, 0..size, 3).stream_holders(StreamKey(key), Time(0));
            // The first routers were killed, and others have started.
            let second = killed + key as usize % (size - killed);
            let later = table(second, killed..size + size / 3, 3);
            let asked = later.stream_sources(StreamKey(key), Time(0));
            let alive = told.iter().filter(|a| (0..killed).all(|n| addr(n) != **a));
            let mut alive = alive.peekable();
            let survives = alive.peek().is_some();
            let found = alive.any(|a| asked.contains(a) || *a == addr(second));
            lost += usize::from(survives && !found);
        }
        assert!(
            lost as u64 <= KEYS / 50,
            "{size} routers, {lost} of {KEYS} lost"
        );
    }
}

#[test]
fn is_isolated_without_contact() {
    let alone = Actives::new(name(0), info(0, 1), 24, HEARTBEAT);
    assert!(!alone.is_isolated(Time(0)));
    let pair = table(0, 0..2, 1);
    assert!(!pair.is_isolated(Time(0)));
    assert!(pair.is_isolated(Time(0) + Span::secs(5)));
}
