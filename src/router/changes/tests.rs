use {
    super::{
        ChangeLog,
        Changes, //
    },
    kvstore::{
        Instance,
        Listed,
        Role,
        State, //
    },
};

fn instance(name: &str, state: State) -> Instance {
    Instance {
        name: name.to_owned(),
        role: Role::Endpoint,
        service: "desk".parse().ok(),
        addr: ([127, 0, 0, 1], 9).into(),
        callers: None,
        zone: "hall-a".parse().unwrap(),
        state,
    }
}

fn listed(revision: u64, names: &[&str]) -> Listed {
    let instances = names.iter().map(|n| instance(n, State::Live));
    Listed {
        revision,
        instances: instances.collect(),
    }
}

fn since(have: u64, lists: &[Listed]) -> Changes {
    let mut log = ChangeLog::default();
    let empty = Listed::default();
    let mut last = &empty;
    for l in lists {
        log.record(last, l);
        last = l;
    }
    log.since(have, last)
}

#[test]
fn since_one_left_one_came() {
    let lists = [
        listed(1, &["a", "b"]),
        listed(2, &["a", "b", "c"]),
        listed(3, &["a", "c"]),
    ];
    let changes = since(1, &lists);
    assert_eq!(changes.present.len(), 1);
    assert_eq!(changes.gone, ["b"]);
    assert_eq!(changes.apply(&lists[0]), Some(lists[2].clone()));
}

#[test]
fn since_state_changed() {
    let mut leaving = listed(2, &["a", "b"]);
    leaving.instances[1].state = State::Leaving;
    let lists = [listed(1, &["a", "b"]), leaving.clone()];
    let changes = since(1, &lists);
    assert_eq!(changes.present.len(), 1);
    assert_eq!(changes.apply(&lists[0]), Some(leaving));
}

#[test]
fn since_unknown_revision() {
    let lists = [listed(5, &["a"]), listed(6, &["a", "b"])];
    let changes = since(2, &lists);
    assert_eq!(changes.base, None);
    assert_eq!(changes.apply(&listed(2, &["z"])), Some(lists[1].clone()));
}

#[test]
fn since_renumbered_list() {
    // Guards against removed endpoints getting requests forever: a restored platform numbers
    // its list from a lower revision, so the changes recorded before are invalid.
    let lists = [listed(8, &["a", "b"]), listed(9, &["a"]), listed(2, &["c"])];
    let changes = since(1, &lists);
    assert_eq!(changes.base, None);
    assert_eq!(changes.apply(&listed(1, &["b"])), Some(lists[2].clone()));
}

#[test]
fn apply_same_revision_other_list() {
    // Guards against a removed endpoint getting requests. A router is disconnected while the
    // platform restarts the numbering of its list. When the new list has reached the router's
    // revision, changes since that revision must not be applied to the old list.
    let lists = [listed(1, &["a"]), listed(2, &["a", "b"]), listed(3, &["a"])];
    let changes = since(2, &lists);
    assert_eq!(changes.clone().apply(&lists[1]), Some(lists[2].clone()));
    assert_eq!(changes.apply(&listed(2, &["z"])), None);
}

#[test]
fn apply_to_another_list() {
    let lists = [listed(1, &["a"]), listed(2, &["a", "b"])];
    assert_eq!(since(1, &lists).apply(&listed(7, &["a"])), None);
}
