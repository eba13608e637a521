use {
    super::{
        Group,
        Subset,
        SubsetState, //
    },
    crate::{
        model::Replica,
        State, //
    },
    policy::{
        placement::{
            Board,
            Load, //
        },
        Time, //
    },
    std::{
        collections::BTreeSet,
        net::SocketAddr,
        sync::Arc, //
    },
};

const SLOTS: u32 = 16;
/// Enough replicas for requests that take half of their slots.
const REPLICAS: usize = 1_024;

fn replica(number: usize, slots: u32) -> Arc<Replica> {
    Arc::new(Replica {
        id: format!("i-{number}").parse().unwrap(),
        started_at: None,
        service: "desk".parse().unwrap(),
        addr: SocketAddr::from(([10, 0, 0, 9], 8080)),
        zone: "hall-a".parse().unwrap(),
        slots,
        state: State::Ready,
        version: None,
        cold: None,
    })
}

/// Returns the size of a group's subset if all replicas are half full and the last has these slots.
fn size_with(last: u32) -> usize {
    let mut group = Group::default();
    let mut board = Board::default();
    let mut members = Vec::new();
    for number in 0..REPLICAS {
        let slots = if number + 1 == REPLICAS { last } else { SLOTS };
        let replica = replica(number, slots);
        group.insert(&replica);
        let running = SLOTS / 2;
        board.start(
            replica.key(),
            Load {
                running,
                ..Load::default()
            },
        );
        members.push((replica.key(), replica));
    }
    let subset = Subset {
        members: Arc::new(members),
        complete: true,
    };
    let state = SubsetState {
        generation: 0,
        size: REPLICAS,
        evacuated: BTreeSet::new(),
    };
    group.subsets.insert(1, (state, subset));
    group.size(&board, Time(0))
}

/// Guards against a subset that is too small, or has every replica, by the slots of one of them.
#[test]
fn size_with_odd_slots() {
    let usual = size_with(SLOTS);
    assert_eq!(usual, 2 * REPLICAS);
    for odd in [1, 2, 1_000, 65_535] {
        assert_eq!(size_with(odd), usual, "{odd} slots");
    }
}
