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

/// Sends the usage updates of one ledger to the other.
fn send_updates(from: &mut Ledger, to: &mut Ledger, ids: (Writer, Writer), relay: bool) {
    let n = from.usage_updates(0, ids.1, relay).unwrap();
    to.merge(ids.0, n, Some(DEBT));
}

#[test]
fn merge_in_any_order() {
    // Messages between routers may be reordered or duplicated. A count must not revert to that
    // of an older message.
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
    // A router restarts without any state after another one has died. It needs the counts and
    // the catch-up of the dead router, or all workspaces would look new to it.
    let (mut a, mut b) = ledgers();
    a.set_backlogged(Key(1), true);
    a.charge(Key(1), 5_000);
    a.activate(Key(2), 100, |_| 0);
    send_updates(&mut a, &mut b, (A, B), false);
    let c = Writer(3);
    let mut fresh = Ledger::new(c);
    fresh.set_peers(&BTreeMap::from([(B, true)]));
    b.set_peers(&BTreeMap::from([(c, true)]));
    send_updates(&mut b, &mut fresh, (B, c), true);
    assert_eq!(fresh.virtual_time(Key(1)), 5_000);
    assert_eq!(fresh.virtual_time(Key(2)), 4_900);
}

#[test]
fn tick_forgets_idle() {
    // A workspace is idle for a quarter of an hour. When it returns, one router has removed it
    // and the owner has not. It must not be served exclusively until it has caught up.
    let (mut a, mut owner) = ledgers();
    let start = Time(0) + MINUTE;
    a.tick(start);
    a.charge(Key(1), 50_000);
    send_updates(&mut a, &mut owner, (A, B), false);
    a.tick(start + Span(15 * MINUTE.0));
    assert_eq!(a.virtual_time(Key(1)), 0);
    owner.set_backlogged(Key(2), true);
    owner.charge(Key(2), 90_000);
    a.set_backlogged(Key(1), true);
    send_updates(&mut a, &mut owner, (A, B), false);
    assert_eq!(owner.virtual_time(Key(1)), 90_000 - DEBT);
}
