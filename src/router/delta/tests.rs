use {
    super::{
        Delta,
        History,
        Step, //
    },
    kvstore::store::{
        Config,
        Part,
        Revision,
        WriteId, //
    },
};

fn config(revision: u64, texts: &[&str]) -> Config {
    let parts = texts.iter().enumerate();
    Config {
        revision: Revision(revision),
        writer: "ada".to_owned(),
        write: WriteId::random(),
        parts: parts
            .map(|(i, t)| Part::new(format!("fleet.{i}"), *t))
            .collect(),
    }
}

fn between(old: &Config, new: &Config) -> Delta {
    let mut history = History::default();
    history.push(old);
    history.push(new);
    history.delta(new, old.revision)
}

#[test]
fn delta_one_part_changed() {
    let old = config(3, &["a", "b", "c", "d"]);
    let new = config(4, &["a", "b", "x", "d"]);
    let delta = between(&old, &new);
    let copy = |first, count| Step::Copy { first, count };
    assert_eq!(delta.steps, [copy(0, 2), Step::New("x".into()), copy(3, 1)]);
    assert_eq!(delta.apply(Some(&old)), Some(new));
}

#[test]
fn delta_part_put_in_between() {
    let old = config(3, &["a", "b", "c"]);
    let new = config(4, &["a", "x", "b", "c"]);
    assert_eq!(between(&old, &new).apply(Some(&old)), Some(new));
}

#[test]
fn delta_base_forgotten() {
    let new = config(9, &["a", "b"]);
    let mut history = History::default();
    history.push(&new);
    let delta = history.delta(&new, Revision(1));
    assert_eq!(delta.base, None);
    assert_eq!(delta.apply(None), Some(new));
}

#[test]
fn delta_onto_another_base() {
    // Guards against a router that uses shares which no operator ever wrote: after a restore of
    // the platform, a peer's delta may start from a configuration with the same revision but
    // another text. Applied here, it would give a mixture of both.
    let old = config(3, &["a", "b", "c"]);
    let other = config(3, &["a", "B", "c"]);
    let new = config(4, &["a", "b", "x"]);
    assert_eq!(between(&old, &new).apply(Some(&other)), None);
}

#[test]
fn delta_wrong_places() {
    let old = config(3, &["a"]);
    let mut delta = between(&old, &config(4, &["a", "b"]));
    delta.steps[0] = Step::Copy {
        first: u32::MAX,
        count: u32::MAX,
    };
    assert_eq!(delta.apply(Some(&old)), None);
}
