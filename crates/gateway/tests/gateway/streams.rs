//! Streams are forwarded completely, with each event once and in order.

use {
    crate::{
        caller::{
            get_request,
            Answer, //
        },
        harness::{
            wait_until,
            TestGateway, //
        },
        replica::{
            chunk,
            event,
            events,
            stream_head,
            Replica,
            SeenRequest,
            Step, //
        },
    },
    std::time::Duration,
};

fn event_range(from: u64, to: u64) -> String {
    (from..=to).map(event).collect()
}

/// A replica that streams events 1 to 6, or continues after the last event that the request names.
fn complete_stream(seen: &SeenRequest) -> Vec<Step> {
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
    let gw = TestGateway::start(&[("i-1", &replica)]);
    let mut caller = gw.caller();
    caller.send(get_request("/stream/a", "1", "").as_bytes());
    // The first event is forwarded although the replica sends nothing more.
    caller.read_until("word-1");
    drop(caller);
    wait_until(|| replica.closed().len() == 1);
}

/// Guards against comments that are lost, or taken for an incomplete event at the end of a stream.
#[test]
fn stream_with_comments() {
    let text = format!(": one\n\n{}\n: two\r\n\r\n: three\n\n", event(1));
    let sent = chunk(&text);
    let replica = Replica::start(move |_, seen| {
        vec![
            Step::Send(stream_head(seen)),
            Step::Send(sent[..9].to_vec()),
            Step::Pause(Duration::from_millis(30)),
            Step::Send(sent[9..].to_vec()),
            Step::Send(b"0\r\n\r\n".to_vec()),
        ]
    });
    let gw = TestGateway::start(&[("i-1", &replica)]);
    for path in ["/stream/a", "/resume/a"] {
        let got = gw.get(path, "1");
        assert_eq!((got.body.as_str(), got.complete), (text.as_str(), true));
    }
}

#[test]
fn stream_complete() {
    let replica = Replica::start(|_, seen| complete_stream(seen));
    let gw = TestGateway::start(&[("i-1", &replica)]);
    let mut caller = gw.caller();
    for n in 0..3 {
        let got = caller.get("/stream/a", &n.to_string(), "");
        assert_eq!((got.status, got.complete), (200, true));
        assert_eq!(got.body, event_range(1, 6));
    }
}

#[test]
fn stream_cut_within_an_event() {
    // A replica stops in the middle of an event, and another one resumes the stream. If bytes were
    // forwarded as they arrive, the caller would get half an event merged with the next one.
    let cut = Replica::start(|_, seen| {
        vec![
            Step::Send(stream_head(seen)),
            Step::Send(events(1, 2)),
            Step::Send(chunk("id: 3\ndata: wo")),
            Step::Pause(Duration::from_millis(900)),
            Step::Close,
        ]
    });
    let fine = Replica::start(|_, seen| complete_stream(seen));
    let got = resume_at(&cut, &fine);
    assert_eq!((got.status, got.complete), (200, true));
    assert_eq!(got.body, event_range(1, 6));
}

/// Requests a stream from the first replica; the second is listed once two events have arrived.
fn resume_at(first: &Replica, second: &Replica) -> Answer {
    let gw = TestGateway::start(&[("i-1", first)]);
    let mut caller = gw.caller();
    caller.send(get_request("/resume/a", "1", "").as_bytes());
    caller.read_until("word-2");
    let entry = crate::harness::entry("i-2", second);
    gw.store.lock().unwrap().replicas.push(entry);
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
    let got = resume_at(&cut, &again);
    assert!(got.complete, "{got:?}");
    assert_eq!(got.body, event_range(1, 6));
}

#[test]
fn stream_with_a_gap_is_cut() {
    // The stream skips an event. Forwarded as it is, text would be missing and nobody would notice.
    let gap = Replica::start(|_, seen| {
        vec![
            Step::Send(stream_head(seen)),
            Step::Send(events(1, 2)),
            Step::Send(events(4, 6)),
            Step::Send(b"0\r\n\r\n".to_vec()),
        ]
    });
    let gw = TestGateway::start(&[("i-1", &gap)]);
    let got = gw.get("/stream/a", "1");
    assert!(!got.complete);
    assert_eq!(got.body, event_range(1, 2));
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
    let gw = TestGateway::start(&[("i-1", &a), ("i-2", &b)]);
    let got = gw.get("/stream/a", "1");
    assert_eq!((got.status, got.complete), (200, false));
    assert_eq!(got.body, event_range(1, 2));
    assert_eq!(a.seen().len() + b.seen().len(), 1);
}

#[test]
fn stream_silent_is_resumed() {
    // A connection was lost on the way between router and replica: the stream stalls for good, and
    // its caller gives up after two seconds.
    let silent = Replica::start(|_, seen| {
        vec![
            Step::Send(stream_head(seen)),
            Step::Send(events(1, 2)),
            Step::UntilClosed,
        ]
    });
    let fine = Replica::start(|_, seen| complete_stream(seen));
    let got = resume_at(&silent, &fine);
    assert_eq!((got.status, got.complete), (200, true));
    assert_eq!(got.body, event_range(1, 6));
    // The silent replica is abandoned, so that it doesn't run along with the other one.
    wait_until(|| silent.closed().len() == 1);
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
    let gw = TestGateway::start(&[("i-1", &replica)]);
    let got = gw.caller().get("/stream/a", "1", "X-Deadline: 300\r\n");
    assert_eq!((got.status, got.complete), (200, false));
    assert_eq!(got.body, event_range(1, 1));
}
