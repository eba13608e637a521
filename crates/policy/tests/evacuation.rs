//! Which zones a router considers evacuated, whatever reports arrive in whatever order.

use policy::{
    Era,
    EvacuationOrders,
    Evacuations,
    Revision,
    Span,
    Time,
    Zone,
    ZoneChange, //
};

fn zone(name: &str) -> Zone {
    name.parse().unwrap()
}

fn at(era: u64, number: u64) -> Revision {
    Revision {
        era: Era(era),
        number,
    }
}

fn orders(revision: Revision, zones: &[&str]) -> EvacuationOrders {
    EvacuationOrders {
        revision,
        zones: zones.iter().copied().map(zone).collect(),
    }
}

fn change(name: &str, evacuated: bool) -> ZoneChange {
    ZoneChange {
        zone: zone(name),
        evacuated,
    }
}

/// Returns a table that knows of an order for zone `a`.
fn with_order() -> Evacuations {
    let mut table = Evacuations::default();
    table.apply(orders(at(1, 10), &["a"]), Time(0));
    table
}

/// Guards against requests to a zone that was evacuated again, since the end of its first
/// evacuation arrives last.
#[test]
fn apply_end_of_an_earlier_order() {
    let mut table = with_order();
    table.apply_changes(&[change("a", false)], at(1, 12), Time(0));
    assert!(!table.covers(&zone("a"), Time(0)));
    table.apply_changes(&[change("a", true)], at(1, 14), Time(0));
    let update = table.apply(orders(at(1, 12), &[]), Time(0));
    assert!(update.ended.is_empty());
    assert!(table.covers(&zone("a"), Time(0)));
}

/// Guards against a router that starts and considers no zone evacuated before anyone told it.
#[test]
fn apply_first_orders() {
    let mut table = Evacuations::default();
    assert!(!table.is_known());
    let update = table.apply(orders(at(1, 3), &["a", "b"]), Time(0));
    assert_eq!(update.begun, [zone("a"), zone("b")]);
    assert!(table.is_known());
    let mut none = Evacuations::default();
    none.apply(orders(at(1, 3), &[]), Time(0));
    assert!(none.is_known());
}

/// Guards against changes in one answer that are applied as if each stood alone.
#[test]
fn apply_changes_of_one_answer_in_order() {
    let mut table = with_order();
    let changes = [change("a", false), change("a", true), change("b", true)];
    let update = table.apply_changes(&changes, at(1, 15), Time(0));
    assert_eq!(update.begun, [zone("b")]);
    assert!(update.ended.is_empty());
    let update = table.apply_changes(&[change("b", false)], at(1, 16), Time(0));
    assert_eq!(update.ended, [zone("b")]);
}

/// Guards against a watch that lags behind what a peer reported and undoes it.
#[test]
fn apply_changes_older_than_a_peers_report() {
    let mut table = Evacuations::default();
    table.apply(orders(at(1, 20), &["a"]), Time(0));
    table.apply_changes(&[change("a", false)], at(1, 18), Time(0));
    assert!(table.covers(&zone("a"), Time(0)));
}

/// Guards against requests to an evacuated zone because the store came back from a copy that was
/// made before the order.
#[test]
fn apply_orders_of_a_restored_store() {
    let mut table = with_order();
    let second = Time(0) + Span::secs(1);
    let update = table.apply(orders(at(2, 4), &[]), second);
    assert!(update.ended.is_empty());
    assert!(table.covers(&zone("a"), second));
    // The operator writes the order again.
    table.apply_changes(&[change("a", true)], at(2, 9), second + Span::secs(1));
    let later = second + Span::secs(60);
    assert!(table.covers(&zone("a"), later));
    table.apply_changes(&[change("a", false)], at(2, 11), later);
    assert!(!table.covers(&zone("a"), later));
}

/// Guards against avoiding a zone for good because the store came back without its order.
#[test]
fn forget_order_that_is_not_written_again() {
    let mut table = with_order();
    table.apply(orders(at(2, 4), &[]), Time(0));
    assert!(table.forget(Time(0) + Span::secs(5)).ended.is_empty());
    let update = table.forget(Time(0) + Span::secs(7));
    assert_eq!(update.ended, [zone("a")]);
    assert!(!table.covers(&zone("a"), Time(0) + Span::secs(7)));
}

/// Guards against a report of an earlier era that ends an evacuation of the current one.
#[test]
fn apply_orders_of_an_earlier_era() {
    let mut table = Evacuations::default();
    table.apply(orders(at(2, 4), &["a"]), Time(0));
    table.apply(orders(at(1, 900), &[]), Time(0));
    assert!(table.covers(&zone("a"), Time(0)));
}

/// Guards against a router that was cut off and obeys an order that has long ended.
#[test]
fn needs_reading_without_confirmation() {
    let mut table = with_order();
    assert!(!table.needs_reading(Time(0) + Span::secs(9)));
    assert!(table.needs_reading(Time(0) + Span::secs(10)));
    table.apply(orders(at(1, 11), &["a"]), Time(0) + Span::secs(10));
    assert!(!table.needs_reading(Time(0) + Span::secs(11)));
    // Without an order there is nothing to obey.
    table.apply(orders(at(1, 12), &[]), Time(0) + Span::secs(11));
    assert!(!table.needs_reading(Time(0) + Span::secs(60)));
}

/// Guards against a rule that spares the last zone: an order holds for all zones at once, and for a
/// zone that nothing is known of.
#[test]
fn covers_all_zones_and_unknown_ones() {
    let mut table = Evacuations::default();
    table.apply(orders(at(1, 5), &["a", "b", "nowhere"]), Time(0));
    for name in ["a", "b", "nowhere"] {
        assert!(table.covers(&zone(name), Time(0)), "{name}");
    }
    assert!(!table.covers(&zone("c"), Time(0)));
}
