//! Lists of replicas that routers bring up to date by what changed.

use policy::{
    placement::ReplicaKey,
    EntryChange,
    Era,
    Listed,
    ReplicaId,
    Revision,
    Roster,
    Span,
    Time, //
};

/// Sizes of a list, up to twice the largest known fleet.
const SIZES: [usize; 4] = [100, 1_000, 10_000, 20_000];

fn at(ms: u64) -> Time {
    Time(0) + Span::millis(ms)
}

fn revision(number: u64) -> Revision {
    Revision {
        era: Era(1),
        number,
    }
}

fn id(n: usize) -> ReplicaId {
    format!("i-{n}").parse().unwrap()
}

fn listed(n: usize, draining: bool) -> EntryChange<u32> {
    let id = id(n);
    EntryChange::Listed(Listed {
        key: ReplicaKey::of(&id),
        id,
        value: 0,
        draining,
    })
}

fn gone(n: usize) -> EntryChange<u32> {
    EntryChange::Gone(id(n))
}

/// Returns a router that has read the whole list from the store.
fn reader(replicas: usize) -> Roster<u32> {
    let mut roster = Roster::default();
    roster.set_revision(revision(10), at(0));
    roster.apply_list((0..replicas).map(|n| (id(n), 0, false)), at(0));
    roster
}

/// Brings a router up to date with another one. Returns the number of entries that this took.
fn update(taker: &mut Roster<u32>, giver: &Roster<u32>, ms: u64) -> usize {
    let update = giver.update_since(taker.revision(), at(ms)).unwrap();
    let entries = update.changes.len();
    taker.apply_update(update, at(ms));
    entries
}

/// Returns a router that got its list from another one.
fn follower(giver: &Roster<u32>) -> Roster<u32> {
    let mut roster = Roster::default();
    update(&mut roster, giver, 1);
    assert_eq!(roster.digest(), giver.digest());
    roster
}

fn ready(roster: &Roster<u32>) -> usize {
    roster.ready().count()
}

/// Guards against lists that are sent as a whole for each change, which grows with the product of
/// replicas and routers.
#[test]
fn update_does_not_grow_with_the_list() {
    for replicas in SIZES {
        let mut giver = reader(replicas);
        let mut taker = follower(&giver);
        taker.take_changes();
        giver.apply_changes([listed(7, true), gone(8)], revision(12), at(500));
        assert!(taker.peer_list(Span::millis(10), giver.digest(), at(510)));
        assert_eq!(update(&mut taker, &giver, 520), 2);
        assert_eq!(taker.take_changes().len(), 2);
        assert_eq!(taker.digest(), giver.digest());
        assert_eq!(ready(&taker), replicas - 2);
        assert!(!taker.peer_list(Span::millis(10), giver.digest(), at(700)));
    }
}

/// Guards against changes that only the router that read them passes on: the others reach some
/// routers before it does.
#[test]
fn update_from_a_follower() {
    let mut first = reader(100);
    let mut second = follower(&first);
    let mut third = follower(&first);
    first.apply_changes([gone(3)], revision(11), at(500));
    update(&mut second, &first, 510);
    assert_eq!(update(&mut third, &second, 700), 1);
    assert_eq!(third.digest(), first.digest());
    assert_eq!(third.revision(), Some(revision(11)));
}

/// Guards against a router that was cut off for so long that its peers no longer know what it lacks.
#[test]
fn update_after_many_changes() {
    let mut giver = reader(100);
    let mut taker = follower(&giver);
    for n in 0..5_000 {
        let draining = n / 100 % 2 == 0;
        giver.apply_changes(
            [listed(n % 100, draining)],
            revision(11 + n as u64),
            at(500),
        );
    }
    assert_eq!(update(&mut taker, &giver, 700), 100);
    assert_eq!(taker.digest(), giver.digest());
}

/// Guards against a list that stays wrong as an update was based on another list than the peer's.
#[test]
fn update_of_a_list_that_differs() {
    let mut giver = reader(100);
    let mut taker = reader(90);
    giver.apply_changes([listed(7, true)], revision(11), at(500));
    update(&mut taker, &giver, 510);
    assert_eq!(taker.revision(), None);
    giver.apply_changes([], revision(11), at(700));
    assert!(taker.peer_list(Span::millis(10), giver.digest(), at(710)));
    update(&mut taker, &giver, 720);
    assert_eq!(taker.digest(), giver.digest());
    assert_eq!(ready(&taker), 99);
}

/// Guards against a router that takes an older list for a newer one.
#[test]
fn update_of_a_peer_that_is_behind() {
    let mut ahead = reader(100);
    let behind = follower(&ahead);
    ahead.apply_changes([gone(3)], revision(11), at(500));
    assert!(behind.update_since(ahead.revision(), at(600)).is_none());
}

/// Guards against followers that drop replicas whose entries lapsed during an outage of the store,
/// of which only the routers that read it know, or that keep those which have ended.
#[test]
fn update_after_an_outage() {
    let mut giver = reader(100);
    let mut taker = follower(&giver);
    giver.read_failed();
    giver.read_failed();
    let lapsed = (0..50).map(gone);
    let departed = giver.apply_changes(lapsed, revision(60), at(5_000));
    assert!(departed.is_empty());
    assert_eq!(update(&mut taker, &giver, 5_010), 50);
    assert_eq!(taker.digest(), giver.digest());
    assert_eq!((ready(&giver), ready(&taker)), (100, 100));
    // All but one of them are back within the time.
    let back = (1..50).map(|n| listed(n, false));
    giver.apply_changes(back, revision(110), at(6_500));
    update(&mut taker, &giver, 6_510);
    assert_eq!(taker.digest(), giver.digest());
    for roster in [&mut giver, &mut taker] {
        assert!(roster.remove_lapsed(at(7_200)).is_empty());
        assert_eq!(roster.remove_lapsed(at(7_400)), [id(0)]);
        assert_eq!(ready(roster), 99);
    }
}

/// Guards against replicas that lapse as the store is down once more before they could reappear.
#[test]
fn update_in_a_second_outage() {
    let mut giver = reader(10);
    giver.read_failed();
    giver.apply_changes([gone(1)], revision(11), at(1_000));
    giver.read_failed();
    assert!(giver.remove_lapsed(at(4_000)).is_empty());
    giver.apply_changes([], revision(12), at(5_000));
    assert!(giver.remove_lapsed(at(7_200)).is_empty());
    assert_eq!(giver.remove_lapsed(at(7_300)), [id(1)]);
}

/// Guards against a replica that gets no requests for good after a peer mistakenly reported that it
/// departed: no list is applied while nothing changes.
#[test]
fn update_reverts_mistaken_departure() {
    let mut reader = reader(10);
    let mut other = follower(&reader);
    let key = ReplicaKey::of(&id(3));
    for roster in [&mut reader, &mut other] {
        roster.apply_departures(&[key], at(500));
        assert_eq!(ready(roster), 9);
    }
    // A list that may be older than the report doesn't revert it.
    reader.apply_changes([], revision(10), at(1_000));
    assert!(!other.peer_list(Span::millis(10), reader.digest(), at(1_010)));
    assert_eq!((ready(&reader), ready(&other)), (9, 9));
    reader.apply_changes([], revision(10), at(3_000));
    assert!(!other.peer_list(Span::millis(10), reader.digest(), at(3_010)));
    assert_eq!((ready(&reader), ready(&other)), (10, 10));
}

/// Guards against a restart under the same id that is taken for the earlier start.
#[test]
fn update_of_a_restart() {
    let mut giver = reader(10);
    let mut taker = follower(&giver);
    giver.apply_changes([listed(3, true)], revision(11), at(500));
    update(&mut taker, &giver, 510);
    let restarted = EntryChange::Listed(Listed {
        id: id(3),
        key: ReplicaKey(7),
        value: 1,
        draining: false,
    });
    giver.apply_changes([restarted], revision(12), at(1_000));
    assert_eq!(update(&mut taker, &giver, 1_010), 1);
    assert!(taker.takes_work(&id(3)));
    assert_eq!(taker.id_of(ReplicaKey(7)), Some(&id(3)));
    assert_eq!(taker.id_of(ReplicaKey::of(&id(3))), None);
}

/// Guards against a follower that keeps what the store lost when it came back from an older copy.
#[test]
fn update_after_the_store_returned() {
    let mut giver = reader(10);
    let mut taker = follower(&giver);
    giver.apply_changes([listed(11, false)], revision(20), at(100));
    update(&mut taker, &giver, 110);
    let older = Revision {
        era: Era(2),
        number: 5,
    };
    giver.set_revision(older, at(1_000));
    giver.apply_list((0..10).map(|n| (id(n), 0, false)), at(1_000));
    assert_eq!(ready(&giver), 11, "it may reappear");
    assert!(taker.accepts_list_of(Era(2), at(1_010)));
    update(&mut taker, &giver, 1_010);
    assert_eq!(taker.digest(), giver.digest());
    assert_eq!(ready(&taker), 11);
    assert_eq!(taker.remove_lapsed(at(4_000)), [id(11)]);
}

/// Guards against a digest that depends on the way in which a list came about.
#[test]
fn digest_depends_on_the_list_only() {
    let mut one = reader(100);
    one.apply_changes([gone(3), listed(101, false)], revision(11), at(100));
    one.apply_changes([listed(3, false), gone(101)], revision(13), at(200));
    assert_eq!(one.digest(), reader(100).digest());
    one.announce_leaving(ReplicaKey::of(&id(5)), at(300));
    assert_eq!(one.digest(), reader(100).digest());
}
