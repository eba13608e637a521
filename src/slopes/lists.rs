//! The list of instances: keeping it, passing on a change.

use {
    super::{
        memory::bytes_of,
        series::{
            points,
            Series, //
        },
    },
    crate::router::ChangeLog,
    kvstore::{
        Instance,
        Listed,
        Role,
        State, //
    },
    std::net::SocketAddr,
};

const SIZES: [usize; 5] = [10, 1_000, 3_000, 6_000, 12_000];
const TARGET: f64 = 12_000.0;
/// Changes a second: 230 failures and 900 restarts a day, each gone and come, of which
/// each instance carries up to two replicas.
const CHANGES: f64 = (230.0 + 900.0) * 2.0 * 2.0 / 86_400.0;
/// Bytes of the two HTTP heads of a question to a peer.
const HEADS: f64 = 280.0;

fn series(name: &'static str, cost: &'static str, of: fn(usize) -> f64) -> Series {
    Series {
        name,
        role: "list of instances",
        size: "replicas",
        cost,
        target: TARGET,
        points: points(&SIZES, of),
    }
}

pub(crate) fn memory() -> Vec<Series> {
    vec![series("list-memory", "KB", |n| {
        bytes_of(8, || list(1, n)) / 1e3
    })]
}

pub(crate) fn measure() -> Vec<Series> {
    vec![
        series("list-delta", "bytes/s received for changes", delta),
        series("list-whole", "bytes/s if all were sent", |n| {
            rmp_serde::to_vec(&list(1, n)).map_or(0, |b| b.len()) as f64 * CHANGES
        }),
    ]
}

fn list(revision: u64, n: usize) -> Listed {
    let instances = (0..n).map(|i| Instance {
        name: format!("replica-{i:05}"),
        role: Role::Endpoint,
        service: format!("model-{}", i % 27).parse().ok(),
        addr: SocketAddr::from(([10, 1, (i >> 8) as u8, i as u8], 8000)),
        callers: None,
        zone: format!("zone-{}", i % 9).parse().expect("a valid name"),
        state: State::Live,
    });
    Listed {
        revision,
        instances: instances.collect(),
    }
}

fn delta(n: usize) -> f64 {
    let old = list(1, n);
    let mut new = list(2, n);
    if let Some(i) = new.instances.get_mut(n / 2) {
        i.state = State::Leaving;
    }
    let mut log = ChangeLog::default();
    log.record(&Listed::default(), &old);
    log.record(&old, &new);
    let changes = log.since(old.revision, &new);
    let bytes = rmp_serde::to_vec(&changes).map_or(0, |b| b.len());
    (bytes as f64 + HEADS) * CHANGES
}
