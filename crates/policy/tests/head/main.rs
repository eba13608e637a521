//! Tests of the configuration head: it never reverts, and fetches from any source that has a
//! higher revision.

mod fuzz;
#[path = "../seeded/mod.rs"]
mod seeded;

use policy::{
    head::{
        watchers,
        Decision,
        FetchOutcome,
        Hash,
        Head,
        Revision,
        Source, //
    },
    members::{
        Member,
        Members,
        MembershipParams,
        RouterAddresses, //
    },
    Incarnation,
    RouterId,
    Span,
    Time, //
};

fn peer(name: &str) -> Source {
    Source::Peer(name.parse().unwrap())
}

fn fetch(n: u64, from: Source) -> Decision {
    Decision::Fetch {
        revision: Revision(n),
        from,
    }
}

#[test]
fn offer_from_a_restored_platform() {
    // Operators restore the platform's store from a backup, and every router reads a revision
    // older than the one in force. Applying it would undo an accepted change.
    let mut head = Head::new(Time(0));
    head.fetched(Revision(100), Hash(1), Time(0));
    let stale = Decision::Stale {
        ours: Revision(100),
        theirs: Revision(90),
    };
    assert_eq!(head.offer(Revision(90), Source::Platform, Time(1)), stale);
    assert_eq!(
        head.fetched(Revision(90), Hash(2), Time(2)),
        FetchOutcome::Old
    );
    let conflict = FetchOutcome::Conflict {
        ours: Hash(1),
        theirs: Hash(2),
    };
    assert_eq!(head.fetched(Revision(100), Hash(2), Time(3)), conflict);
    assert_eq!(head.hash(), Some(Hash(1)));
    assert_eq!(
        head.fetched(Revision(101), Hash(3), Time(4)),
        FetchOutcome::InForce
    );
}

#[test]
fn offer_whose_source_dies() {
    // A peer offers revision 9 and is killed before it can be fetched. Others have revision 8.
    // If the router only waited for 9, it would keep its old revision.
    let mut head = Head::new(Time(0));
    head.fetched(Revision(5), Hash(5), Time(0));
    assert_eq!(
        head.offer(Revision(9), peer("a"), Time(1)),
        fetch(9, peer("a"))
    );
    assert_eq!(
        head.offer(Revision(8), peer("b"), Time(2)),
        Decision::Ignore
    );
    assert_eq!(head.failed(&peer("a"), Time(3)), fetch(8, peer("b")));
    assert_eq!(
        head.fetched(Revision(8), Hash(8), Time(4)),
        FetchOutcome::InForce
    );
    assert_eq!(head.tick(Time(5)), fetch(9, peer("a")));
}

#[test]
fn tick_when_a_fetch_hangs() {
    let mut head = Head::new(Time(0));
    assert_eq!(
        head.offer(Revision(2), peer("a"), Time(0)),
        fetch(2, peer("a"))
    );
    assert_eq!(
        head.offer(Revision(2), Source::Platform, Time(1)),
        Decision::Ignore
    );
    assert_eq!(head.tick(Time(0) + Span::millis(900)), Decision::Ignore);
    assert_eq!(
        head.tick(Time(0) + Span::millis(1100)),
        fetch(2, Source::Platform)
    );
    assert_eq!(head.tick(Time(0) + Span::millis(2200)), fetch(2, peer("a")));
}

#[test]
fn failed_at_the_only_source() {
    let mut head = Head::new(Time(0));
    head.offer(Revision(2), peer("a"), Time(0));
    assert_eq!(head.failed(&peer("a"), Time(1)), Decision::Ignore);
    assert_eq!(head.tick(Time(0) + Span::secs(2)), fetch(2, peer("a")));
}

#[test]
fn ready_after_an_empty_restart() {
    let mut head = Head::new(Time(0));
    assert_eq!(
        head.offer(Revision(0), peer("a"), Time(1)),
        Decision::Ignore
    );
    assert!(!head.ready());
    head.offer(Revision(4), peer("b"), Time(2));
    assert!(!head.ready());
    head.fetched(Revision(4), Hash(4), Time(3));
    assert!(head.ready());
}

#[test]
fn unconfirmed_since_the_last_offer() {
    let mut head = Head::new(Time(0));
    head.fetched(Revision(4), Hash(4), Time(0));
    let cut = Time(0) + Span::secs(10);
    head.offer(Revision(4), peer("a"), cut);
    assert_eq!(head.unconfirmed_since(cut + Span::secs(3)), None);
    assert_eq!(head.unconfirmed_since(cut + Span::secs(4)), Some(cut));
    head.offer(Revision(3), peer("b"), cut + Span::secs(5));
    assert_eq!(head.unconfirmed_since(cut + Span::secs(6)), None);
}

fn fleet_of_eight() -> Vec<Member> {
    let addresses = |port| RouterAddresses {
        addr: ([127, 0, 0, 1], port).into(),
        caller_addr: ([127, 0, 0, 1], port).into(),
        operator_addr: None,
        zone: "hall-a".parse().unwrap(),
    };
    let mut all = Members::new(
        "r0".parse().unwrap(),
        Incarnation(1),
        addresses(7000),
        MembershipParams::default(),
        1,
    );
    for i in 1..8 {
        all.seed(
            format!("r{i}").parse().unwrap(),
            addresses(7000 + i),
            Time(0),
        );
    }
    all.view()
}

#[test]
fn watchers_without_platform() {
    // The watchers lose the platform while the other routers reach it. If watchers were chosen
    // by name only, changes would be accepted and come into force nowhere.
    let mut view = fleet_of_eight();
    let before = watchers(&view, "config", 3);
    let mut lose = |lost: &[RouterId]| {
        let those = view.iter_mut().filter(|m| lost.contains(&m.id));
        those.for_each(|m| m.no_platform = true);
        watchers(&view, "config", 3)
    };
    let next = lose(&before[..1]);
    assert_eq!(next[..2], before[1..]);
    let next = lose(&before);
    assert!(!next.iter().any(|id| before.contains(id)));
    let all: Vec<RouterId> = (0..8).map(|i| format!("r{i}").parse().unwrap()).collect();
    assert_eq!(lose(&all), before);
}

#[test]
fn watchers_replace_one_that_leaves() {
    let mut view = fleet_of_eight();
    let before = watchers(&view, "config", 3);
    assert_eq!(before.len(), 3);
    let watcher = view.iter_mut().find(|m| m.id == before[0]).unwrap();
    watcher.leaving = true;
    let after = watchers(&view, "config", 3);
    assert_eq!(after[..2], before[1..]);
    assert!(!after.contains(&before[0]));
}
