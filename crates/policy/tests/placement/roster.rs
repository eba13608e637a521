//! Which replicas take work.

use policy::{
    placement::ReplicaKey,
    ReplicaId,
    Roster,
    Span,
    Time, //
};

fn at(ms: u64) -> Time {
    Time(0) + Span::millis(ms)
}

fn id(name: &str) -> ReplicaId {
    name.parse().unwrap()
}

fn list(roster: &mut Roster<()>, names: &[&str], ms: u64) -> Vec<ReplicaId> {
    roster.listed(names.iter().map(|n| (id(n), (), false)), at(ms))
}

fn ready(roster: &Roster<()>) -> Vec<&str> {
    roster.ready().map(|(id, _)| id.as_str()).collect()
}

#[test]
fn roster_missing_is_gone() {
    let mut roster = Roster::default();
    list(&mut roster, &["a", "b"], 0);
    assert_eq!(list(&mut roster, &["a"], 500), [id("b")]);
    assert_eq!(ready(&roster), ["a"]);
}

#[test]
fn roster_outage_keeps_entries() {
    // The store was away, and all entries lapsed meanwhile. Its first list is empty, though
    // every replica lives; taken at its word, nothing is served for two seconds.
    let mut roster = Roster::default();
    list(&mut roster, &["a", "b"], 0);
    roster.failed(at(1_000));
    roster.failed(at(5_000));
    assert!(list(&mut roster, &[], 5_400).is_empty());
    assert_eq!(ready(&roster), ["a", "b"]);
    list(&mut roster, &["a"], 6_000);
    assert_eq!(list(&mut roster, &["a"], 7_800), [id("b")]);
    assert_eq!(ready(&roster), ["a"]);
}

#[test]
fn roster_second_outage_starts_anew() {
    let mut roster = Roster::default();
    list(&mut roster, &["a"], 0);
    roster.failed(at(1_000));
    list(&mut roster, &[], 2_000);
    roster.failed(at(3_000));
    assert!(list(&mut roster, &[], 5_000).is_empty());
    assert_eq!(ready(&roster), ["a"]);
}

#[test]
fn roster_draining_is_told_to_peers() {
    // The store turns one router away while it serves the others. A replica that leaves
    // meanwhile would get that router's requests until it ends.
    let mut near = Roster::default();
    list(&mut near, &["a", "b"], 0);
    near.listed([(id("a"), (), true), (id("b"), (), false)], at(400));
    let mut far = Roster::default();
    list(&mut far, &["a", "b"], 0);
    assert_eq!(far.told(&near.left(at(500)), at(500)), [id("a")]);
    assert_eq!(ready(&far), ["b"]);
    assert!(far.told(&near.left(at(600)), at(600)).is_empty());
}

#[test]
fn roster_left_is_forgotten() {
    let mut roster = Roster::default();
    list(&mut roster, &["a"], 0);
    list(&mut roster, &[], 100);
    assert_eq!(roster.left(at(200)), [ReplicaKey::of(&id("a"))]);
    assert!(roster.left(at(7_000)).is_empty());
}

#[test]
fn roster_late_list_does_not_bring_back() {
    // A router's read of the list is under way while a peer tells that a replica leaves. The
    // list was made before, and brought the replica back until the next read, 3 s later.
    let mut roster = Roster::default();
    list(&mut roster, &["a", "b"], 0);
    roster.told(&[ReplicaKey::of(&id("a"))], at(100));
    list(&mut roster, &["a", "b"], 150);
    assert_eq!(ready(&roster), ["b"]);
    // A replica that lapsed and came back is in every later list.
    list(&mut roster, &["a", "b"], 2_600);
    assert_eq!(ready(&roster), ["a", "b"]);
}
