//! Entries of replicas that can be used, and keys of other writers.

use {
    super::store::FakeStore,
    adapter::testing::{
        replica_key,
        ReplicaEntry, //
    },
    serde_json::{
        to_value,
        Value, //
    },
    std::net::SocketAddr,
};

/// Items of a page of the store.
pub(crate) const PAGE_ITEMS: usize = 20;

/// Returns the id of a replica. Ids of numbers up to 999 are in the order of the numbers.
pub(crate) fn id(number: usize) -> String {
    format!("r{number:03}")
}

/// Returns the entry of a replica that can be used.
pub(crate) fn entry(addr: SocketAddr) -> Value {
    let entry = ReplicaEntry {
        service: "desk",
        address: addr.to_string(),
        zone: "hall-a".to_owned(),
        version: "v1",
        slots: 8,
        state: "ready",
        born: 1_700_000_000_000,
        seq: 1,
    };
    to_value(entry).unwrap()
}

/// Returns a key that is the last one on the first page, after the entries of replicas.
pub(crate) fn odd_key(ending: &str) -> String {
    replica_key(&id(PAGE_ITEMS - 2)) + ending
}

/// Writes the entries of `count` replicas of the same address.
pub(crate) fn put_replicas(store: &FakeStore, count: usize) {
    let addr = SocketAddr::from(([10, 0, 0, 9], 8080));
    for number in 0..count {
        store.put(&replica_key(&id(number)), &entry(addr));
    }
}
