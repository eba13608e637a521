//! What a list shows of a router's own entry.

use super::*;

const LEASE: u64 = 7;

fn state(list: &[(&str, u64)], asked: Span) -> EntryState {
    let names: Vec<RouterId> = list.iter().map(|(name, _)| name.parse().unwrap()).collect();
    let seen = names.iter().zip(list);
    let seen: Vec<EntrySeen<'_>> = seen
        .map(|(name, (_, lease))| EntrySeen {
            name,
            lease: *lease,
        })
        .collect();
    let own = "r1".parse().unwrap();
    entry_state(&own, LEASE, Time(0), &seen, Time(0) + asked)
}

#[test]
fn entry_that_stands() {
    assert_eq!(
        state(&[("r1", 7), ("r2", 8)], Span::secs(9)),
        EntryState::Stands
    );
}

/// Guards against an entry that is lost for good, as the router goes on renewing a lease that is
/// another's.
#[test]
fn entry_missing_from_a_list() {
    assert_eq!(state(&[("r2", 7)], Span::secs(9)), EntryState::Lost);
    assert_eq!(state(&[], Span::secs(9)), EntryState::Lost);
}

/// Guards against an entry of an older copy, which ends with a lease that nobody renews.
#[test]
fn entry_under_an_older_lease() {
    assert_eq!(state(&[("r1", 3)], Span::secs(9)), EntryState::Lost);
}

/// Guards against the entry of a dead router that stands for as long as another one renews its lease.
#[test]
fn entry_under_a_shared_lease() {
    assert_eq!(
        state(&[("r1", 7), ("r2", 7)], Span::secs(9)),
        EntryState::Shared
    );
}

/// Guards against entries that are written again and again, as a list is older than the last of them.
#[test]
fn entry_newer_than_the_list() {
    assert_eq!(state(&[], Span::secs(4)), EntryState::Stands);
}
