//! Requests that need another replica, as theirs is silent or has aborted its answer.

use {
    crate::{
        caller::{
            get_request,
            Answer,
            Caller, //
        },
        harness::{
            entry,
            wait_until,
            TestGateway, //
        },
        replica::{
            answer,
            chunk,
            event,
            events,
            ok_answer,
            stream_head,
            Replica,
            SeenRequest,
            Step, //
        },
    },
    std::time::Duration,
};

/// Requests that fill a replica: two and a half for each of its six slots.
const FULL_REQUESTS: usize = 15;
/// Longer than any of these tests runs.
const HOLD_TIME: Duration = Duration::from_secs(60);
/// Longer than a replica may be silent before a backup is tried.
const SILENCE: Duration = Duration::from_millis(2_000);

fn path(seen: &SeenRequest) -> &str {
    seen.head.split(' ').nth(1).unwrap()
}

/// The events after the last one that the router has, and the end of the stream.
fn remaining_events(seen: &SeenRequest) -> Vec<Step> {
    let last: u64 = seen.header("x-last").map_or(0, |n| n.parse().unwrap());
    vec![
        Step::Send(stream_head(seen)),
        Step::Send(events(last + 1, 6)),
        Step::Send(b"0\r\n\r\n".to_vec()),
    ]
}

/// Sends two events, and continues with the steps in `then`.
fn two_events(seen: &SeenRequest, then: &[Step]) -> Vec<Step> {
    let mut steps = vec![Step::Send(stream_head(seen)), Step::Send(events(1, 2))];
    steps.extend_from_slice(then);
    steps
}

fn rejected(seen: &SeenRequest) -> Vec<Step> {
    let id = seen.header("x-id").unwrap();
    let head =
        format!("HTTP/1.1 503 Busy\r\nX-Id: {id}\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
    vec![Step::Send(head.into_bytes())]
}

/// A replica that holds other streams for long, and runs `script` for those that may be resumed,
/// with the number of these received before.
fn busy_replica(
    script: impl Fn(usize, &SeenRequest) -> Vec<Step> + Send + Sync + 'static,
) -> Replica {
    Replica::start(move |number, seen| match path(seen) {
        "/stream/held" => vec![Step::Pause(HOLD_TIME)],
        _ => script(number - FULL_REQUESTS, seen),
    })
}

/// A gateway whose only replica is full, and the callers that fill it.
fn full_gateway(full: &Replica) -> (TestGateway, Vec<Caller>) {
    let gw = TestGateway::start(&[("i-2", full)]);
    let held = (0..FULL_REQUESTS).map(|n| {
        let mut caller = gw.caller();
        caller.send(get_request("/stream/held", &format!("held-{n}"), "").as_bytes());
        caller
    });
    let held = held.collect();
    wait_until(|| full.seen().len() == FULL_REQUESTS);
    (gw, held)
}

fn add_replica(gw: &TestGateway, name: &str, replica: &Replica) {
    let entry = entry(name, replica);
    gw.store.lock().unwrap().replicas.push(entry);
}

/// Sends a request once the given replica is listed in addition to the full one.
fn send_beside_full(gw: &TestGateway, replica: &Replica, target: &str) -> Answer {
    add_replica(gw, "i-1", replica);
    let mut caller = gw.caller();
    let mut sent = 0;
    loop {
        sent += 1;
        let got = caller.get(target, &format!("asked-{sent}"), "X-Deadline: 15000\r\n");
        // Until the router knows the new replica, all replicas are full.
        if got.status != 503 || !replica.seen().is_empty() {
            return got;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
}

fn assert_complete(got: &Answer) {
    let all: String = (1..=6).map(event).collect();
    assert_eq!((got.status, got.complete), (200, true), "{got:?}");
    assert_eq!(got.body, all);
}

/// Guards against aborting a stream when its replica pauses and all others are full.
#[test]
fn resume_silent_replica_goes_on() {
    let pauses = Replica::start(|_, seen| {
        let then = [
            Step::Pause(SILENCE),
            Step::Send(events(3, 6)),
            Step::Send(b"0\r\n\r\n".to_vec()),
        ];
        two_events(seen, &then)
    });
    let full = busy_replica(|_, seen| rejected(seen));
    let (gw, _held) = full_gateway(&full);
    assert_complete(&send_beside_full(&gw, &pauses, "/resume/a"));
}

/// Guards against an error when an answer is late and has not started yet.
#[test]
fn resume_silent_before_the_first_event() {
    let pauses = Replica::start(|_, seen| {
        let mut steps = vec![Step::Pause(SILENCE)];
        steps.extend(remaining_events(seen));
        steps
    });
    let full = busy_replica(|_, seen| rejected(seen));
    let (gw, _held) = full_gateway(&full);
    assert_complete(&send_beside_full(&gw, &pauses, "/resume/a"));
}

/// Guards against abandoning a silent replica for a backup that then sends nothing either.
#[test]
fn resume_first_goes_on_before_the_other() {
    let pauses = Replica::start(|_, seen| {
        let then = [
            Step::Pause(SILENCE),
            Step::Send(events(3, 6)),
            Step::Send(b"0\r\n\r\n".to_vec()),
        ];
        two_events(seen, &then)
    });
    let silent = Replica::start(|_, seen| vec![Step::Send(stream_head(seen)), Step::UntilClosed]);
    let gw = TestGateway::start(&[("i-1", &pauses)]);
    let mut caller = gw.caller();
    caller.send(get_request("/resume/a", "1", "X-Deadline: 15000\r\n").as_bytes());
    caller.read_until("word-2");
    add_replica(&gw, "i-2", &silent);
    assert_complete(&caller.answer());
    wait_until(|| silent.closed().len() == silent.seen().len());
}

/// Guards against aborting a stream when all replicas are full for a moment.
#[test]
fn resume_waits_for_a_full_replica() {
    let breaks = Replica::start(|_, seen| two_events(seen, &[Step::Close]));
    let full = busy_replica(|number, seen| match number {
        0..3 => rejected(seen),
        _ => remaining_events(seen),
    });
    let (gw, _held) = full_gateway(&full);
    assert_complete(&send_beside_full(&gw, &breaks, "/resume/a"));
}

/// Guards against aborting a stream when no other replica is known for a moment.
#[test]
fn resume_waits_for_a_replica() {
    let breaks = Replica::start(|_, seen| two_events(seen, &[Step::Close]));
    let fine = Replica::start(|_, seen| remaining_events(seen));
    let gw = TestGateway::start(&[("i-1", &breaks)]);
    let mut caller = gw.caller();
    caller.send(get_request("/resume/a", "1", "X-Deadline: 15000\r\n").as_bytes());
    caller.read_until("word-2");
    std::thread::sleep(Duration::from_millis(300));
    add_replica(&gw, "i-2", &fine);
    assert_complete(&caller.answer());
}

/// Guards against aborting a stream when retries of other requests have spent the budget.
#[test]
fn resume_with_the_budget_spent() {
    let replica = || {
        Replica::start(|_, seen| match (path(seen), seen.header("x-last")) {
            ("/resume/a", None) => two_events(seen, &[Step::Close]),
            ("/resume/a", _) => remaining_events(seen),
            _ => vec![Step::Send(answer(
                seen.header("x-id").unwrap(),
                "500 Error",
                "no",
            ))],
        })
    };
    let (a, b) = (replica(), replica());
    let gw = TestGateway::start(&[("i-1", &a), ("i-2", &b)]);
    let mut caller = gw.caller();
    for n in 0..200 {
        assert_eq!(caller.get("/again/a", &n.to_string(), "").status, 500);
    }
    assert_complete(&gw.caller().get("/resume/a", "r", "X-Deadline: 15000\r\n"));
}

/// Guards against an error for a late answer when the other replicas are full.
#[test]
fn again_late_answer_when_others_are_full() {
    let late =
        Replica::start(|_, seen| vec![Step::Pause(SILENCE), Step::Send(ok_answer(seen, "late"))]);
    let full = busy_replica(|_, seen| rejected(seen));
    let (gw, _held) = full_gateway(&full);
    let got = send_beside_full(&gw, &late, "/again/a");
    assert_eq!((got.status, got.body.as_str()), (200, "late"));
}

/// Guards against an error for a late answer when the backup rejects the request.
#[test]
fn again_late_answer_when_the_other_turns_it_away() {
    let late =
        Replica::start(|_, seen| vec![Step::Pause(SILENCE), Step::Send(ok_answer(seen, "late"))]);
    let other = Replica::start(|_, seen| rejected(seen));
    let gw = TestGateway::start(&[("i-1", &late)]);
    let mut caller = gw.caller();
    caller.send(get_request("/again/a", "1", "X-Deadline: 15000\r\n").as_bytes());
    wait_until(|| late.seen().len() == 1);
    add_replica(&gw, "i-2", &other);
    let got = caller.answer();
    assert_eq!((got.status, got.body.as_str()), (200, "late"));
}

/// The faulty behaviour of a replica for a stream, drawn from a seed.
fn faulty_script(rng: &mut fastrand::Rng, seen: &SeenRequest) -> Vec<Step> {
    let last: u64 = seen.header("x-last").map_or(0, |n| n.parse().unwrap());
    if rng.u8(..4) == 0 {
        return rejected(seen);
    }
    // Sometimes repeats an event that the router already has, which replicas may do.
    let mut next = (last + 1).saturating_sub(rng.u64(..2)).max(1);
    let mut steps = Vec::new();
    maybe_pause(rng, &mut steps);
    steps.push(Step::Send(stream_head(seen)));
    while next <= 6 {
        match rng.u8(..8) {
            0 => return end_with(steps, Step::Close),
            1 => return end_with(steps, Step::UntilClosed),
            2 => maybe_pause(rng, &mut steps),
            3 => {
                steps.push(Step::Send(chunk("id: 9\nda")));
                return end_with(steps, Step::Close);
            }
            _ => {
                let to = rng.u64(next..=6);
                steps.push(Step::Send(events(next, to)));
                next = to + 1;
            }
        }
    }
    steps.push(Step::Send(b"0\r\n\r\n".to_vec()));
    steps
}

fn maybe_pause(rng: &mut fastrand::Rng, steps: &mut Vec<Step>) {
    if rng.u8(..4) == 0 {
        steps.push(Step::Pause(Duration::from_millis(rng.u64(1..1_800))));
    }
}

fn end_with(mut steps: Vec<Step>, how: Step) -> Vec<Step> {
    steps.push(how);
    steps
}

/// Guards against lost, duplicated or merged events when replicas pause, abort, repeat events and
/// reject requests while backups are tried.
#[test]
fn resume_any_faults_keep_order() {
    let replicas: Vec<Replica> = (0..4u64)
        .map(|n| {
            Replica::start(move |number, seen| {
                let id: u64 = seen.header("x-id").unwrap().parse().unwrap();
                let mut rng = fastrand::Rng::with_seed(id << 32 | (number as u64) << 8 | n);
                faulty_script(&mut rng, seen)
            })
        })
        .collect();
    let names = ["i-0", "i-1", "i-2", "i-3"];
    let list: Vec<(&str, &Replica)> = names.into_iter().zip(&replicas).collect();
    let gw = TestGateway::start(&list);
    let callers: Vec<Caller> = (0..48u32)
        .map(|id| {
            let mut caller = gw.caller();
            let request = get_request("/resume/a", &id.to_string(), "X-Deadline: 5000\r\n");
            caller.send(request.as_bytes());
            caller
        })
        .collect();
    let mut complete = 0;
    for mut caller in callers {
        let got = caller.answer();
        if got.status != 200 {
            assert!([502, 503, 504].contains(&got.status), "{got:?}");
            continue;
        }
        let all: String = (1..=6).map(event).collect();
        assert!(all.starts_with(&got.body), "{got:?}");
        assert!(!got.complete || got.body == all, "{got:?}");
        complete += u32::from(got.complete);
    }
    println!("{complete} of 48 complete");
    assert!(complete > 0);
}
