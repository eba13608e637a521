//! Streams: each event once, in order, whole.

use {
    crate::{
        caller::{
            get,
            Got, //
        },
        replica::{
            chunk,
            event,
            events,
            stream_head,
            Replica,
            Seen,
            Step, //
        },
        stage::{
            wait,
            Stage, //
        },
    },
    std::time::Duration,
};

fn all(from: u64, to: u64) -> String {
    (from..=to).map(event).collect()
}

/// A replica that streams events 1 to 6, or goes on behind the last that is named.
fn whole(seen: &Seen) -> Vec<Step> {
    let last: u64 = seen.header("x-last").map_or(0, |n| n.parse().unwrap());
    vec![
        Step::Send(stream_head(seen)),
        Step::Send(events(last + 1, 6)),
        Step::Send(b"0\r\n\r\n".to_vec()),
    ]
}

#[test]
fn stream_passed_as_it_comes() {
    let replica = Replica::start(|_, seen| {
        let mut steps = vec![Step::Send(stream_head(seen)), Step::Send(events(1, 1))];
        steps.push(Step::UntilClosed);
        steps
    });
    let stage = Stage::start(&[("i-1", &replica)]);
    let mut caller = stage.caller();
    caller.send(get("/stream/a", "1", "").as_bytes());
    // The replica says no more, and still the first event is here.
    caller.until("word-1");
    drop(caller);
    wait(|| replica.closed().len() == 1);
}

#[test]
fn stream_whole() {
    let replica = Replica::start(|_, seen| whole(seen));
    let stage = Stage::start(&[("i-1", &replica)]);
    let mut caller = stage.caller();
    for n in 0..3 {
        let got = caller.get("/stream/a", &n.to_string(), "");
        assert_eq!((got.status, got.whole), (200, true));
        assert_eq!(got.body, all(1, 6));
    }
}

#[test]
fn stream_cut_within_an_event() {
    // A replica stops in the middle of an event, and another goes on. Joined as they came,
    // a clause would have half of one sentence and half of the next.
    let cut = Replica::start(|_, seen| {
        vec![
            Step::Send(stream_head(seen)),
            Step::Send(events(1, 2)),
            Step::Send(chunk("id: 3\ndata: wo")),
            Step::Pause(Duration::from_millis(900)),
            Step::Close,
        ]
    });
    let fine = Replica::start(|_, seen| whole(seen));
    let got = goes_on(&cut, &fine);
    assert_eq!((got.status, got.whole), (200, true));
    assert_eq!(got.body, all(1, 6));
}

/// Asks for a stream of the first replica; the second joins once two events have come.
fn goes_on(first: &Replica, second: &Replica) -> Got {
    let stage = Stage::start(&[("i-1", first)]);
    let mut caller = stage.caller();
    caller.send(get("/resume/a", "1", "").as_bytes());
    caller.until("word-2");
    let entry = crate::stage::entry("i-2", second);
    stage.world.lock().unwrap().replicas.push(entry);
    caller.answer()
}

#[test]
fn stream_resumed_with_an_overlap() {
    let cut = Replica::start(|_, seen| {
        vec![
            Step::Send(stream_head(seen)),
            Step::Send(events(1, 4)),
            Step::Pause(Duration::from_millis(900)),
            Step::Close,
        ]
    });
    let again = Replica::start(|_, seen| {
        vec![
            Step::Send(stream_head(seen)),
            Step::Send(events(3, 6)),
            Step::Send(b"0\r\n\r\n".to_vec()),
        ]
    });
    let got = goes_on(&cut, &again);
    assert!(got.whole, "{got:?}");
    assert_eq!(got.body, all(1, 6));
}

#[test]
fn stream_with_a_gap_is_cut() {
    // The second replica goes on behind an event that the caller does not have. A clause
    // would be missing from the text, and nobody could tell.
    let gap = Replica::start(|_, seen| {
        vec![
            Step::Send(stream_head(seen)),
            Step::Send(events(1, 2)),
            Step::Send(events(4, 6)),
            Step::Send(b"0\r\n\r\n".to_vec()),
        ]
    });
    let stage = Stage::start(&[("i-1", &gap)]);
    let got = stage.get("/stream/a", "1");
    assert!(!got.whole);
    assert_eq!(got.body, all(1, 2));
}

#[test]
fn stream_that_may_not_resume_is_cut() {
    let cut = || {
        Replica::start(|_, seen| {
            vec![
                Step::Send(stream_head(seen)),
                Step::Send(events(1, 2)),
                Step::Close,
            ]
        })
    };
    let (a, b) = (cut(), cut());
    let stage = Stage::start(&[("i-1", &a), ("i-2", &b)]);
    let got = stage.get("/stream/a", "1");
    assert_eq!((got.status, got.whole), (200, false));
    assert_eq!(got.body, all(1, 2));
    assert_eq!(a.seen().len() + b.seen().len(), 1);
}

#[test]
fn stream_silent_is_resumed() {
    // Something between router and replica lost track of the connection: the stream stalls
    // for good, and its caller gives up after two seconds.
    let silent = Replica::start(|_, seen| {
        vec![
            Step::Send(stream_head(seen)),
            Step::Send(events(1, 2)),
            Step::UntilClosed,
        ]
    });
    let fine = Replica::start(|_, seen| whole(seen));
    let got = goes_on(&silent, &fine);
    assert_eq!((got.status, got.whole), (200, true));
    assert_eq!(got.body, all(1, 6));
    // The silent one is left, so that it does not go on beside the other.
    wait(|| silent.closed().len() == 1);
}

#[test]
fn stream_timeout_ends_it() {
    let replica = Replica::start(|_, seen| {
        vec![
            Step::Send(stream_head(seen)),
            Step::Send(events(1, 1)),
            Step::Pause(Duration::from_millis(600)),
            Step::Send(events(2, 2)),
            Step::UntilClosed,
        ]
    });
    let stage = Stage::start(&[("i-1", &replica)]);
    let got = stage.caller().get("/stream/a", "1", "X-Deadline: 300\r\n");
    assert_eq!((got.status, got.whole), (200, false));
    assert_eq!(got.body, all(1, 1));
}
