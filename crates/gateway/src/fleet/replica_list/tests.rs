//! Encoding of the list of replicas for peers.

use {
    super::UpdateDocument,
    crate::model::{
        Replica,
        State, //
    },
    policy::{
        EntryChange,
        Era,
        Listed,
        Revision,
        Roster,
        Span,
        StartedAt,
        Time, //
    },
    std::sync::Arc,
};

fn replica(n: usize) -> Listed<Arc<Replica>> {
    let value = Replica {
        id: format!("i-{n:012x}").parse().unwrap(),
        started_at: Some(StartedAt(1_700_000_000_000 + n as u64)),
        service: ["drafting", "desk"][n % 2].parse().unwrap(),
        addr: ([10, 100, (n / 250) as u8, (n % 250) as u8], 8700).into(),
        zone: format!("zone-{}", n % 5).parse().unwrap(),
        slots: 16,
        state: State::Ready,
        version: "v1".parse().ok(),
        cold: None,
    };
    Listed {
        id: value.id.clone(),
        key: value.key(),
        value: Arc::new(value),
        draining: false,
    }
}

fn revision(number: u64) -> Revision {
    Revision {
        era: Era(1),
        number,
    }
}

fn roster(replicas: usize) -> Roster<Arc<Replica>> {
    let mut roster = Roster::default();
    roster.set_revision(revision(10), Time(0));
    roster.apply_list((0..replicas).map(replica), Time(0));
    roster
}

fn encode(roster: &Roster<Arc<Replica>>, since: Option<Revision>) -> Vec<u8> {
    let update = roster.update_since(since, Time(0)).unwrap();
    rmp_serde::to_vec(&UpdateDocument::pack(&update, Era(1))).unwrap()
}

#[test]
fn update_round_trip() {
    let mut giver = roster(20);
    let now = Time(0) + Span::secs(1);
    giver.read_failed();
    let id = replica(3).id;
    giver.apply_changes([EntryChange::Gone(id)], revision(11), now);
    let bytes = encode(&giver, None);
    let document: UpdateDocument = rmp_serde::from_slice(&bytes).unwrap();
    let (update, era) = document.unpack(Span::ZERO);
    assert_eq!(era, Era(1));
    let mut taker: Roster<Arc<Replica>> = Roster::default();
    taker.apply_update(update, now);
    assert_eq!(taker.digest(), giver.digest());
    assert_eq!(taker.revision(), Some(revision(11)));
    assert!(taker.known().eq(giver.known()));
}

/// Guards against changes that take more bytes in a longer list.
#[test]
fn update_of_one_replica_is_small() {
    for replicas in [100, 1_000, 10_000] {
        let mut roster = roster(replicas);
        let leaving = Listed {
            draining: true,
            ..replica(3)
        };
        roster.apply_changes([EntryChange::Listed(leaving)], revision(11), Time(0));
        let bytes = encode(&roster, Some(revision(10)));
        assert!(bytes.len() <= 256, "{} for {replicas}", bytes.len());
    }
}

/// Guards against whole lists that a fleet of 1,000 routers can't send within seconds.
#[test]
fn whole_update_is_compact() {
    for replicas in [1_000, 10_000] {
        let bytes = encode(&roster(replicas), None);
        assert!(
            bytes.len() <= 64 * replicas,
            "{} for {replicas}",
            bytes.len()
        );
    }
}

/// Guards against a peer whose document refers to names that it doesn't contain.
#[test]
fn update_with_unknown_names_is_skipped() {
    let update = roster(4).whole_update(Time(0));
    let mut document = UpdateDocument::pack(&update, Era(1));
    document.zones.truncate(2);
    let (update, _) = document.unpack(Span::ZERO);
    assert_eq!(update.changes.len(), 2);
}
