//! Entries of replicas that start again.

use {
    super::{
        Replica,
        State, //
    },
    policy::StartedAt,
};

fn entry() -> Replica {
    Replica {
        id: "i-1".parse().unwrap(),
        started_at: None,
        service: "s".parse().unwrap(),
        addr: "10.0.0.1:80".parse().unwrap(),
        zone: "z".parse().unwrap(),
        slots: 4,
        state: State::Ready,
        version: "v1".parse().ok(),
        cold: None,
    }
}

/// Guards against sending a request to another process than the one that was chosen.
#[test]
fn is_same_start_of_restarts() {
    let chosen = entry();
    let draining = Replica {
        state: State::Draining,
        ..entry()
    };
    assert!(chosen.is_same_start(&draining));
    let restarts = [
        Replica {
            started_at: Some(StartedAt(7)),
            ..entry()
        },
        Replica {
            version: "v2".parse().ok(),
            ..entry()
        },
        Replica {
            version: None,
            ..entry()
        },
        Replica {
            service: "t".parse().unwrap(),
            ..entry()
        },
    ];
    for restarted in restarts {
        assert!(!chosen.is_same_start(&restarted), "{restarted:?}");
    }
}
