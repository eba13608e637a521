//! The whole path, with every router a process of its own.

use {
    crate::stage::{
        draft,
        record,
        Fleet,
        Plan,
        Work, //
    },
    async_std::task::block_on,
    callers::Client,
    policy::Outcome, //
};

fn answered(client: &Client, work: &Work) {
    let answer = block_on(client.call(&work.call));
    assert_eq!(answer.outcome, Outcome::Answered, "{:?}", answer.refused);
    assert!(work.is_right(&answer.body));
}

#[test]
fn path_stream_and_plain() {
    let fleet = Fleet::start(Plan::default());
    let client = fleet.client();
    for n in 0..10 {
        answered(&client, &draft("standard", n, 24));
        answered(&client, &draft("renewal", n, 8));
        answered(&client, &record("standard", n));
        answered(&client, &record("claim", n));
    }
    let runs = fleet.runs();
    assert_eq!(runs.len(), 40);
    assert!(runs.values().all(|n| *n == 1), "{runs:?}");
}
