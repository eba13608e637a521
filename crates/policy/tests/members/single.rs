//! Tests of a single table with hand-made heartbeats and lists.

use {
    crate::fleet::{
        addresses,
        id, //
    },
    policy::{
        members::{
            Event,
            GossipUpdate,
            Heartbeat,
            Listed,
            Member,
            Members,
            MembershipParams,
            ReportedState,
            State, //
        },
        Incarnation,
        Span,
        Time, //
    },
};

fn table() -> Members {
    Members::new(
        id(0),
        Incarnation(1),
        addresses(0),
        MembershipParams::default(),
        1,
    )
}

fn heartbeat(i: usize, incarnation: u64, seq: u64) -> Heartbeat {
    Heartbeat {
        id: id(i),
        incarnation: Incarnation(incarnation),
        seq,
        addresses: Some(addresses(i)),
        leaving: false,
        no_platform: false,
        config: 0,
        list: 0,
        load: 0,
        reply_requested: false,
        missing: Vec::new(),
        updates: Vec::new(),
    }
}

fn listed(i: usize, leaving: bool) -> Listed {
    Listed {
        id: id(i),
        addr: addresses(i).addr,
        caller_addr: addresses(i).caller_addr,
        zone: addresses(i).zone,
        leaving,
    }
}

fn at(ms: u64) -> Time {
    Time(0) + Span::millis(ms)
}

fn tick(m: &mut Members, from: u64, to: u64) {
    for ms in (from..to).step_by(50) {
        m.tick(at(ms));
    }
}

fn peer(m: &Members) -> &Member {
    m.get(&id(1)).unwrap()
}

#[test]
fn delayed_heartbeat_of_a_dead_router() {
    // A delayed copy of a killed router's last heartbeat arrives when all know that it is dead.
    // If it counted, the dead router would get work for another two seconds.
    let mut m = table();
    m.receive_heartbeat(heartbeat(1, 1, 7), at(0));
    tick(&mut m, 0, 3000);
    assert_eq!(peer(&m).state, State::Dead);
    m.receive_heartbeat(heartbeat(1, 1, 7), at(3000));
    m.receive_heartbeat(heartbeat(1, 1, 6), at(3000));
    assert_eq!(peer(&m).state, State::Dead);
    m.receive_heartbeat(heartbeat(1, 1, 8), at(3000));
    assert_eq!(peer(&m).state, State::Live);
}

#[test]
fn delayed_heartbeat_after_others_reported_death() {
    // A router is stopped for some seconds while another one is killed. When the first resumes,
    // it learns of the death before it reads the last heartbeats of the dead router from its
    // socket. They are no newer than the evidence for the death and must not count.
    let mut m = table();
    m.receive_heartbeat(heartbeat(1, 1, 2), at(0));
    let mut b = heartbeat(2, 1, 50);
    b.updates = vec![GossipUpdate {
        id: id(1),
        incarnation: Incarnation(1),
        seq: 5,
        reported: ReportedState::Dead,
    }];
    m.receive_heartbeat(b, at(3000));
    for seq in 3..=5 {
        m.receive_heartbeat(heartbeat(1, 1, seq), at(3100));
        assert_eq!(peer(&m).state, State::Dead);
    }
    m.receive_heartbeat(heartbeat(1, 1, 6), at(3200));
    assert_eq!(peer(&m).state, State::Live);
}

#[test]
fn delayed_heartbeat_of_an_earlier_incarnation() {
    // A router restarts, and a heartbeat of its earlier incarnation arrives after the first one
    // of the new incarnation. The later heartbeats must count although their sequence numbers
    // are lower.
    let mut m = table();
    m.receive_heartbeat(heartbeat(1, 1, 900), at(0));
    m.receive_heartbeat(heartbeat(1, 2, 1), at(10));
    let mut old = heartbeat(1, 1, 901);
    old.leaving = true;
    m.receive_heartbeat(old, at(20));
    assert_eq!(peer(&m).incarnation, Incarnation(2));
    assert!(!peer(&m).leaving);
    for n in 2..40 {
        m.receive_heartbeat(heartbeat(1, 2, n), at(n * 250));
        tick(&mut m, n * 250, n * 250 + 250);
        assert_eq!(peer(&m).state, State::Live);
    }
}

#[test]
fn heartbeat_with_another_load() {
    // Each heartbeat carries another load. If that were a change of the view, every router would
    // recompute all owners for each heartbeat.
    let mut m = table();
    m.receive_heartbeat(heartbeat(1, 1, 1), at(0));
    assert!(m.take_events().contains(&Event::Changed));
    let mut b = heartbeat(1, 1, 2);
    (b.load, b.config, b.list) = (7, 8, 9);
    m.receive_heartbeat(b, at(250));
    assert_eq!((peer(&m).load, peer(&m).config, peer(&m).list), (7, 8, 9));
    assert_eq!(m.take_events(), []);
}

#[test]
fn heartbeat_of_a_later_incarnation_of_this_router() {
    let mut m = table();
    m.receive_heartbeat(heartbeat(0, 1, 5), at(0));
    assert_eq!(m.take_events(), []);
    m.receive_heartbeat(heartbeat(0, 2, 5), at(0));
    assert_eq!(m.take_events(), [Event::Replaced(Incarnation(2))]);
}

#[test]
fn listed_as_leaving_before_it_restarted() {
    // A router leaves and restarts at once. The platform's list lags and still shows the earlier
    // incarnation as leaving; the new one must get work.
    let mut m = table();
    m.update_list(vec![listed(1, false)], at(0));
    m.receive_heartbeat(heartbeat(1, 1, 1), at(0));
    m.update_list(vec![listed(1, true)], at(10));
    assert!(peer(&m).leaving);
    m.receive_heartbeat(heartbeat(1, 2, 1), at(20));
    assert!(!peer(&m).leaving);
    m.update_list(vec![listed(1, true)], at(30));
    assert!(!peer(&m).leaving, "the list still lags");
    m.update_list(vec![listed(1, false)], at(40));
    m.update_list(vec![listed(1, true)], at(50));
    assert!(
        peer(&m).leaving,
        "the platform withdraws the new incarnation"
    );
}

#[test]
fn listed_as_leaving_before_first_heartbeat() {
    // A router starts while the platform withdraws another one, which does not know that yet and
    // sends heartbeats as before. The list must take precedence.
    let mut m = table();
    m.update_list(vec![listed(1, true)], at(0));
    m.receive_heartbeat(heartbeat(1, 5, 70), at(10));
    assert!(peer(&m).leaving);
}

#[test]
fn delayed_heartbeat_after_goodbye() {
    // A router says goodbye on its connection, and an earlier heartbeat arrives later on another
    // connection.
    let mut m = table();
    m.receive_heartbeat(heartbeat(1, 1, 1), at(0));
    m.mark_left(&id(1), at(10));
    m.receive_heartbeat(heartbeat(1, 1, 2), at(20));
    assert_eq!(peer(&m).state, State::Left);
    m.receive_heartbeat(heartbeat(1, 2, 1), at(30));
    assert_eq!(peer(&m).state, State::Live);
}

#[test]
fn list_without_a_router_that_sends_heartbeats() {
    let mut m = table();
    m.update_list(vec![listed(1, false)], at(0));
    m.receive_heartbeat(heartbeat(1, 1, 1), at(0));
    m.update_list(Vec::new(), at(10));
    assert!(peer(&m).up());
}

#[test]
fn listed_without_any_heartbeat() {
    let mut m = table();
    m.update_list(vec![listed(1, false)], at(0));
    assert_eq!(m.view().len(), 2);
    tick(&mut m, 0, 3000);
    assert_eq!(peer(&m).state, State::Dead);
    assert_eq!(m.view().len(), 1);
}

#[test]
fn update_older_than_what_is_known() {
    // Another router has missed heartbeats that arrived here. Its suspicion is outdated, and
    // the newer state must be gossiped.
    let mut m = table();
    m.receive_heartbeat(heartbeat(1, 1, 10), at(0));
    m.take_events();
    let mut b = heartbeat(2, 1, 1);
    b.updates = vec![GossipUpdate {
        id: id(1),
        incarnation: Incarnation(1),
        seq: 8,
        reported: ReportedState::Suspect,
    }];
    m.receive_heartbeat(b, at(10));
    assert_eq!(peer(&m).state, State::Live);
    m.tick(at(20));
    let corrected = m.take_events().into_iter().any(|e| match e {
        Event::SendHeartbeat { heartbeat, .. } => heartbeat.updates.iter().any(|r| r.seq == 10),
        _ => false,
    });
    assert!(corrected);
}
