//! Replicas that send bytes without end which are no part of an answer.

use {
    crate::{
        harness::TestGateway,
        replica::{
            chunk,
            events,
            ok_answer,
            stream_head,
            Replica,
            SeenRequest,
            Step, //
        },
    },
    std::time::{
        Duration,
        Instant, //
    },
};

/// Pause between two pieces of what has no end.
const PIECE_PAUSE: Duration = Duration::from_millis(20);
/// Pieces, which last longer than the time in which another replica has to be tried.
const PIECES: usize = 1_000;
/// Time within which another replica answers. The deadline of these requests is far later.
const OTHER_REPLICA_TIME: Duration = Duration::from_secs(6);

/// Steps that send a piece again and again.
fn endless(piece: &[u8]) -> Vec<Step> {
    let step = [Step::Send(piece.to_vec()), Step::Pause(PIECE_PAUSE)];
    (0..PIECES).flat_map(|_| step.clone()).collect()
}

/// A replica that answers every request.
fn sound() -> Replica {
    Replica::start(|_, seen| match is_stream(seen) {
        false => vec![Step::Send(ok_answer(seen, "whole"))],
        true => {
            let last: u64 = seen.header("x-last").map_or(0, |n| n.parse().unwrap());
            let start = [stream_head(seen), events(last + 1, 6)].concat();
            vec![Step::Send(start), Step::Send(b"0\r\n\r\n".to_vec())]
        }
    })
}

fn is_stream(seen: &SeenRequest) -> bool {
    seen.head.contains(" /resume/")
}

/// Sends requests until one was sent to the faulty replica, and checks that each is answered.
fn assert_other_answers(faulty: &Replica, path: &str) {
    let sound = sound();
    let gw = TestGateway::start(&[("i-1", faulty), ("i-2", &sound)]);
    let mut n = 0;
    while faulty.seen().is_empty() {
        let asked = Instant::now();
        let got = gw.get(path, &n.to_string());
        assert_eq!((got.status, got.complete), (200, true), "{path}: {got:?}");
        assert!(asked.elapsed() < OTHER_REPLICA_TIME, "{path}");
        assert!(!got.body.contains("comment"), "{path}");
        n += 1;
        assert!(n < 100, "no request was sent to the faulty replica");
    }
}

/// Guards against a request that waits until its deadline for the end of interim answers.
#[test]
fn endless_interim_answers() {
    for path in ["/again/a", "/resume/a"] {
        let faulty = Replica::start(|_, _| endless(b"HTTP/1.1 102 Processing\r\n\r\n"));
        assert_other_answers(&faulty, path);
    }
}

/// Guards against the same for a request that must not be sent again: its caller learns at once that the
/// result is unknown.
#[test]
fn endless_interim_answers_to_a_single_request() {
    let faulty = Replica::start(|_, _| endless(b"HTTP/1.1 102 Processing\r\n\r\n"));
    let gw = TestGateway::start(&[("i-1", &faulty)]);
    let asked = Instant::now();
    assert_eq!(gw.get("/once/a", "1").status, 502);
    assert!(asked.elapsed() < OTHER_REPLICA_TIME);
}

/// Guards against a stream that waits until its deadline at a replica that sends comments alone.
#[test]
fn endless_comments() {
    let faulty = Replica::start(|_, seen| {
        let mut steps = vec![Step::Send(stream_head(seen))];
        steps.extend(endless(&chunk(": comment\n\n")));
        steps
    });
    assert_other_answers(&faulty, "/resume/a");
}

/// Guards against the same for events that the caller has already.
#[test]
fn endless_repeated_events() {
    let faulty = Replica::start(|_, seen| {
        let start = [stream_head(seen), events(1, 2)].concat();
        let mut steps = vec![Step::Send(start)];
        steps.extend(endless(&events(1, 2)));
        steps
    });
    assert_other_answers(&faulty, "/resume/a");
}

/// Guards against a head or a line of a chunked body that is kept in memory without a limit.
#[test]
fn endless_head_or_line() {
    let long = "x".repeat(1_000);
    let head = format!("HTTP/1.1 200 OK\r\nX-Long: {long}");
    for (start, piece) in [(head, long.clone()), (long.clone(), long.clone())] {
        let faulty = Replica::start(move |_, _| {
            let mut steps = vec![Step::Send(start.clone().into_bytes())];
            steps.extend(endless(piece.as_bytes()));
            steps
        });
        assert_other_answers(&faulty, "/again/a");
    }
}
