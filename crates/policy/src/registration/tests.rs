//! The state of a router's own entry according to a list.

use super::*;

const LEASE: u64 = 7;

fn state(list: &[(&str, u64)], requested: Span) -> EntryState {
    let names: Vec<RouterId> = list.iter().map(|(name, _)| name.parse().unwrap()).collect();
    let seen = names.iter().zip(list);
    let seen: Vec<EntrySeen<'_>> = seen
        .map(|(name, (_, lease))| EntrySeen {
            name,
            lease: *lease,
        })
        .collect();
    let local = "r1".parse().unwrap();
    entry_state(&local, LEASE, Time(0), &seen, Time(0) + requested)
}

#[test]
fn entry_that_stands() {
    assert_eq!(
        state(&[("r1", 7), ("r2", 8)], Span::secs(9)),
        EntryState::Valid
    );
}

/// Guards against an entry that stays lost because the router keeps renewing a lease that belongs
/// to another one.
#[test]
fn entry_missing_from_a_list() {
    assert_eq!(state(&[("r2", 7)], Span::secs(9)), EntryState::Lost);
    assert_eq!(state(&[], Span::secs(9)), EntryState::Lost);
}

/// Guards against an entry from an older copy of the store, which ends with a lease that no one
/// renews.
#[test]
fn entry_under_an_older_lease() {
    assert_eq!(state(&[("r1", 3)], Span::secs(9)), EntryState::Lost);
}

/// Guards against the entry of a dead router that lives as long as another router renews its lease.
#[test]
fn entry_under_a_shared_lease() {
    assert_eq!(
        state(&[("r1", 7), ("r2", 7)], Span::secs(9)),
        EntryState::Shared
    );
}

/// Guards against an entry that is written repeatedly because the list is older than the last
/// write.
#[test]
fn entry_newer_than_the_list() {
    assert_eq!(state(&[], Span::secs(4)), EntryState::Valid);
}
