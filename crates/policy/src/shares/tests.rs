use {
    super::{
        Key,
        Ledger,
        Writer, //
    },
    crate::{
        Span,
        Time, //
    },
    std::collections::BTreeMap,
};

const A: Writer = Writer(1);
const B: Writer = Writer(2);
const MINUTE: Span = Span::secs(60);
const DEBT: i64 = 1_000;

fn ledgers() -> (Ledger, Ledger) {
    let (mut a, mut b) = (Ledger::new(A), Ledger::new(B));
    a.set_peers(&BTreeMap::from([(B, true)]));
    b.set_peers(&BTreeMap::from([(A, true)]));
    (a, b)
}

/// Tells one ledger what the other owes it.
fn tell(from: &mut Ledger, to: &mut Ledger, ids: (Writer, Writer), relay: bool) {
    let n = from.usage_updates(0, ids.1, relay).unwrap();
    to.merge(ids.0, n, Some(DEBT));
}

#[test]
fn merge_in_any_order() {
    // Messages between routers overtake each other and come twice. A count must not fall
    // back to what an older message says.
    let (mut a, mut b) = ledgers();
    a.charge(Key(7), 100);
    let first = a.usage_updates(0, B, false).unwrap();
    a.charge(Key(7), -40);
    let second = a.usage_updates(0, B, false).unwrap();
    for n in [second.clone(), first, second] {
        b.merge(A, n, None);
    }
    assert_eq!(b.virtual_time(Key(7)), 60);
}

#[test]
fn usage_updates_relay_all() {
    // A router comes back empty after another one has died. It needs the counts of the dead,
    // and what they lifted, or its workspaces would all look new.
    let (mut a, mut b) = ledgers();
    a.set_backlogged(Key(1), true);
    a.charge(Key(1), 5_000);
    a.activate(Key(2), 100, |_| 0);
    tell(&mut a, &mut b, (A, B), false);
    let c = Writer(3);
    let mut fresh = Ledger::new(c);
    fresh.set_peers(&BTreeMap::from([(B, true)]));
    b.set_peers(&BTreeMap::from([(c, true)]));
    tell(&mut b, &mut fresh, (B, c), true);
    assert_eq!(fresh.virtual_time(Key(1)), 5_000);
    assert_eq!(fresh.virtual_time(Key(2)), 4_900);
}

#[test]
fn tick_forgets_idle() {
    // A workspace idles for a quarter of an hour; one router has forgotten it when it comes
    // back, the owner has not. It must not be served alone until it has caught up.
    let (mut a, mut owner) = ledgers();
    let start = Time(0) + MINUTE;
    a.tick(start);
    a.charge(Key(1), 50_000);
    tell(&mut a, &mut owner, (A, B), false);
    a.tick(start + Span(15 * MINUTE.0));
    assert_eq!(a.virtual_time(Key(1)), 0);
    owner.set_backlogged(Key(2), true);
    owner.charge(Key(2), 90_000);
    a.set_backlogged(Key(1), true);
    tell(&mut a, &mut owner, (A, B), false);
    assert_eq!(owner.virtual_time(Key(1)), 90_000 - DEBT);
}
