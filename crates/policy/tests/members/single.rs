//! One table, given heartbeats and lists by hand.

use {
    crate::fleet::{
        id,
        intro, //
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
        intro(0),
        MembershipParams::default(),
        1,
    )
}

fn beat(i: usize, incarnation: u64, seq: u64) -> Heartbeat {
    Heartbeat {
        id: id(i),
        incarnation: Incarnation(incarnation),
        seq,
        intro: Some(intro(i)),
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
        addr: intro(i).addr,
        callers: intro(i).callers,
        zone: intro(i).zone,
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

fn one(m: &Members) -> &Member {
    m.get(&id(1)).unwrap()
}

#[test]
fn heard_late_of_a_dead_router() {
    // A router is killed. A copy of its last heartbeat was held up in the network and arrives
    // when all know that it is dead. It would be given work for another two seconds.
    let mut m = table();
    m.receive_heartbeat(beat(1, 1, 7), at(0));
    tick(&mut m, 0, 3000);
    assert_eq!(one(&m).state, State::Dead);
    m.receive_heartbeat(beat(1, 1, 7), at(3000));
    m.receive_heartbeat(beat(1, 1, 6), at(3000));
    assert_eq!(one(&m).state, State::Dead);
    m.receive_heartbeat(beat(1, 1, 8), at(3000));
    assert_eq!(one(&m).state, State::Live);
}

#[test]
fn heard_late_of_a_router_that_others_know_is_dead() {
    // A router is stopped for some seconds, and another is killed meanwhile. When the first
    // goes on it hears of the death before it reads the last heartbeats of the dead one, which
    // have waited in its socket. They are older than what the news rests on.
    let mut m = table();
    m.receive_heartbeat(beat(1, 1, 2), at(0));
    let mut b = beat(2, 1, 50);
    b.updates = vec![GossipUpdate {
        id: id(1),
        incarnation: Incarnation(1),
        seq: 5,
        state: ReportedState::Dead,
    }];
    m.receive_heartbeat(b, at(3000));
    for seq in 3..=5 {
        m.receive_heartbeat(beat(1, 1, seq), at(3100));
        assert_eq!(one(&m).state, State::Dead);
    }
    m.receive_heartbeat(beat(1, 1, 6), at(3200));
    assert_eq!(one(&m).state, State::Live);
}

#[test]
fn heard_late_of_the_start_before() {
    // A router restarts, and a heartbeat of its earlier start arrives after the first one of
    // the new start. The new one's heartbeats must still count, though their numbers are low.
    let mut m = table();
    m.receive_heartbeat(beat(1, 1, 900), at(0));
    m.receive_heartbeat(beat(1, 2, 1), at(10));
    let mut old = beat(1, 1, 901);
    old.leaving = true;
    m.receive_heartbeat(old, at(20));
    assert_eq!(one(&m).incarnation, Incarnation(2));
    assert!(!one(&m).leaving);
    for n in 2..40 {
        m.receive_heartbeat(beat(1, 2, n), at(n * 250));
        tick(&mut m, n * 250, n * 250 + 250);
        assert_eq!(one(&m).state, State::Live);
    }
}

#[test]
fn heard_with_another_load() {
    // Each heartbeat names another load. Were that a change of the view, every router would
    // work out all owners anew for each heartbeat.
    let mut m = table();
    m.receive_heartbeat(beat(1, 1, 1), at(0));
    assert!(m.take_events().contains(&Event::Changed));
    let mut b = beat(1, 1, 2);
    (b.load, b.config, b.list) = (7, 8, 9);
    m.receive_heartbeat(b, at(250));
    assert_eq!((one(&m).load, one(&m).config, one(&m).list), (7, 8, 9));
    assert_eq!(m.take_events(), []);
}

#[test]
fn heard_of_a_later_start_of_this_router() {
    let mut m = table();
    m.receive_heartbeat(beat(0, 1, 5), at(0));
    assert_eq!(m.take_events(), []);
    m.receive_heartbeat(beat(0, 2, 5), at(0));
    assert_eq!(m.take_events(), [Event::Replaced(Incarnation(2))]);
}

#[test]
fn listed_as_leaving_before_it_restarted() {
    // A router leaves and starts again at once. The platform's list lags and still says
    // "leaving" of the start before; the new one must get work.
    let mut m = table();
    m.update_list(vec![listed(1, false)], at(0));
    m.receive_heartbeat(beat(1, 1, 1), at(0));
    m.update_list(vec![listed(1, true)], at(10));
    assert!(one(&m).leaving);
    m.receive_heartbeat(beat(1, 2, 1), at(20));
    assert!(!one(&m).leaving);
    m.update_list(vec![listed(1, true)], at(30));
    assert!(!one(&m).leaving, "the list still lags");
    m.update_list(vec![listed(1, false)], at(40));
    m.update_list(vec![listed(1, true)], at(50));
    assert!(one(&m).leaving, "the platform withdraws the new start");
}

#[test]
fn listed_as_leaving_before_it_is_heard() {
    // A router starts empty while the platform withdraws another, which does not know it yet
    // and beats as ever. The list's word must hold.
    let mut m = table();
    m.update_list(vec![listed(1, true)], at(0));
    m.receive_heartbeat(beat(1, 5, 70), at(10));
    assert!(one(&m).leaving);
}

#[test]
fn heard_late_after_the_goodbye() {
    // A router says goodbye on its connection, and a heartbeat it sent before arrives after
    // that by another one.
    let mut m = table();
    m.receive_heartbeat(beat(1, 1, 1), at(0));
    m.mark_left(&id(1), at(10));
    m.receive_heartbeat(beat(1, 1, 2), at(20));
    assert_eq!(one(&m).state, State::Left);
    m.receive_heartbeat(beat(1, 2, 1), at(30));
    assert_eq!(one(&m).state, State::Live);
}

#[test]
fn listed_without_a_router_that_still_beats() {
    let mut m = table();
    m.update_list(vec![listed(1, false)], at(0));
    m.receive_heartbeat(beat(1, 1, 1), at(0));
    m.update_list(Vec::new(), at(10));
    assert!(one(&m).up());
}

#[test]
fn listed_but_never_heard() {
    let mut m = table();
    m.update_list(vec![listed(1, false)], at(0));
    assert_eq!(m.view().len(), 2);
    tick(&mut m, 0, 3000);
    assert_eq!(one(&m).state, State::Dead);
    assert_eq!(m.view().len(), 1);
}

#[test]
fn update_older_than_what_is_known() {
    // One router has missed heartbeats that arrived here. Its suspicion is stale, and the
    // others are told so.
    let mut m = table();
    m.receive_heartbeat(beat(1, 1, 10), at(0));
    m.take_events();
    let mut b = beat(2, 1, 1);
    b.updates = vec![GossipUpdate {
        id: id(1),
        incarnation: Incarnation(1),
        seq: 8,
        state: ReportedState::Suspect,
    }];
    m.receive_heartbeat(b, at(10));
    assert_eq!(one(&m).state, State::Live);
    m.tick(at(20));
    let told = m.take_events().into_iter().any(|e| match e {
        Event::SendHeartbeat { heartbeat, .. } => heartbeat.updates.iter().any(|r| r.seq == 10),
        _ => false,
    });
    assert!(told);
}
