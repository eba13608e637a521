//! Streams that go on while replicas of several software versions serve.

use {
    crate::{
        caller::{
            get_request,
            Answer,
            Caller, //
        },
        fleet::advertised_addresses,
        harness::{
            entry,
            wait_until,
            TestGateway, //
        },
        replica::{
            chunk,
            ok_answer,
            stream_head,
            Replica,
            SeenRequest,
            Step, //
        },
    },
    gateway::State,
    std::{
        sync::atomic::{
            AtomicUsize,
            Ordering, //
        },
        thread,
        time::{
            Duration,
            Instant, //
        },
    },
};

/// Longer than a replica may be silent before a backup is tried.
const SILENCE: Duration = Duration::from_millis(2_000);
/// Time limit of an answer that is given at once.
const AT_ONCE: Duration = Duration::from_millis(1_500);
/// Plain requests that fill a replica: two and a half for each of its six slots.
const FULL_REQUESTS: usize = 15;
/// Attempts of callers, enough that a random choice among two is all but certain to be seen.
const ATTEMPTS: usize = 12;
/// Longer than a stream may last that has a timeout of five seconds.
const SETTLED: Duration = Duration::from_millis(10_500);
/// Time between two events of a replica that is not silent.
const EVENT_PAUSE: Duration = Duration::from_millis(200);
/// Number of the event after the last one of a stream that is longer than any of these tests runs.
const ENDLESS: u64 = 300;
/// Longer than any of these tests runs.
const HOLD_TIME: Duration = Duration::from_secs(60);

fn path(seen: &SeenRequest) -> &str {
    seen.head.split(' ').nth(1).unwrap()
}

/// Returns how many streams a replica was asked for.
fn streams(replica: &Replica) -> usize {
    let seen = replica.seen();
    let plain = |s: &&SeenRequest| path(s) == "/again/a";
    seen.len() - seen.iter().filter(plain).count()
}

/// Events of a stream, each of which names the version that wrote it.
fn written(version: &str, from: u64, to: u64) -> String {
    let event = |n| format!("id: {n}\ndata: {version}-{n}\n\n");
    (from..=to).map(event).collect()
}

/// A replica that sends the rest of each stream, and answers other requests after a delay.
fn serves(version: &'static str, delay: Duration) -> Replica {
    Replica::start(move |_, seen| match path(seen) {
        "/again/a" => vec![Step::Pause(delay), Step::Send(ok_answer(seen, version))],
        _ => {
            let last: u64 = seen.header("x-last").map_or(0, |n| n.parse().unwrap());
            vec![
                Step::Send(stream_head(seen)),
                Step::Send(chunk(&written(version, last + 1, 6))),
                Step::Send(b"0\r\n\r\n".to_vec()),
            ]
        }
    })
}

/// A replica that sends two events of each stream, and continues with the steps in `then`.
fn begins(version: &'static str, then: &[Step]) -> Replica {
    let then = then.to_vec();
    Replica::start(move |_, seen| match path(seen) {
        "/again/a" => vec![Step::Send(ok_answer(seen, version))],
        _ => {
            let mut steps = vec![
                Step::Send(stream_head(seen)),
                Step::Send(chunk(&written(version, 1, 2))),
            ];
            steps.extend_from_slice(&then);
            steps
        }
    })
}

fn versioned(name: &str, replica: &Replica, version: &str) -> gateway::Replica {
    gateway::Replica {
        version: version.parse().ok(),
        ..entry(name, replica)
    }
}

/// Lists a replica and waits until each gateway uses it.
fn add(gateways: &[&TestGateway], listed: gateway::Replica, replica: &Replica) {
    gateways[0].store.lock().unwrap().replicas.push(listed);
    for gw in gateways {
        let before = replica.seen().len();
        wait_until(|| {
            let callers = (0..2 * FULL_REQUESTS).map(|n| {
                let mut caller = gw.caller();
                caller.send(get_request("/again/a", &format!("probe-{n}"), "").as_bytes());
                caller
            });
            let callers: Vec<Caller> = callers.collect();
            callers.into_iter().for_each(|mut c| drop(c.answer()));
            replica.seen().len() > before
        });
    }
}

/// Lists a replica of v1 and a faster one of v1.1, which each gateway uses from then on.
fn add_versions(gateways: &[&TestGateway]) -> (Replica, Replica) {
    let same = serves("v1", Duration::from_millis(100));
    let other = serves("v1.1", Duration::ZERO);
    add(gateways, versioned("i-3", &other, "v1.1"), &other);
    add(gateways, versioned("i-2", &same, "v1"), &same);
    (same, other)
}

/// Starts a stream and reads its first two events.
fn begin(gw: &TestGateway, id: &str, headers: &str) -> Caller {
    let mut caller = gw.caller();
    let headers = format!("X-Deadline: 15000\r\n{headers}");
    caller.send(get_request("/resume/a", id, &headers).as_bytes());
    caller.read_until("-2\n\n");
    caller
}

/// Takes a stream up again after its second event.
fn take_up(gw: &TestGateway, id: &str, resumes: &str) -> Answer {
    let headers = format!("X-Deadline: 15000\r\nX-Last: 2\r\nX-Resumes: {resumes}\r\n");
    gw.caller().get("/resume/a", id, &headers)
}

fn assert_goes_on(got: &Answer, version: &str) {
    assert_eq!((got.status, got.complete), (200, true), "{got:?}");
    assert!(got.body.ends_with(&written(version, 3, 6)), "{got:?}");
}

fn assert_rejected(got: &Answer) {
    assert_eq!(got.status, 503, "{got:?}");
    assert!(got.header("retry-after").is_some(), "{got:?}");
}

/// A gateway whose stream "first" was begun by v1, and a replica of each version beside it: the one
/// of v1.1 is the faster one.
struct Release {
    gw: TestGateway,
    begun: Replica,
    same: Replica,
    other: Replica,
    caller: Caller,
}

impl Release {
    fn start(then: &[Step]) -> Release {
        let begun = begins("v1", then);
        let gw = TestGateway::start(&[]);
        add(&[&gw], versioned("i-1", &begun, "v1"), &begun);
        let caller = begin(&gw, "first", "");
        let (same, other) = add_versions(&[&gw]);
        Release {
            gw,
            begun,
            same,
            other,
            caller,
        }
    }
}

/// Starts a second gateway beside the first one, with the same store.
fn join(first: &TestGateway) -> TestGateway {
    let seed = first.settings.listen.peers;
    let second = TestGateway::start_with(first.store.clone(), "g2", |settings| {
        settings.listen.peers.set_ip("127.0.0.2".parse().unwrap());
        settings.listen.peers.set_port(seed.port());
        settings.fleet.seeds = vec![seed];
    });
    second.wait_ready();
    for gw in [first, &second] {
        wait_until(|| advertised_addresses(gw).len() == 2);
    }
    second
}

/// Guards against going on at another version after the replica has broken the stream off.
#[test]
fn versions_after_a_break() {
    let mut release = Release::start(&[Step::UntilClosed]);
    release.begun.crash();
    assert_goes_on(&release.caller.answer(), "v1");
    assert_eq!((streams(&release.same), streams(&release.other)), (1, 0));
}

/// Guards against a backup of another version beside a silent replica that has sent events.
#[test]
fn versions_beside_a_silent_replica() {
    let rest = [
        Step::Pause(SILENCE * 2),
        Step::Send(chunk(&written("v1", 3, 6))),
        Step::Send(b"0\r\n\r\n".to_vec()),
    ];
    let mut release = Release::start(&rest);
    assert_goes_on(&release.caller.answer(), "v1");
    assert_eq!(streams(&release.other), 0);
}

/// Guards against forgetting what began a stream when its caller sends another attempt.
#[test]
fn versions_of_later_attempts() {
    let release = Release::start(&[Step::UntilClosed]);
    drop(release.caller);
    for n in 0..ATTEMPTS {
        assert_goes_on(&take_up(&release.gw, &format!("later-{n}"), "first"), "v1");
    }
    assert_eq!(streams(&release.other), 0);
}

/// Guards against forgetting what began a stream when its caller comes to another router.
#[test]
fn versions_at_another_router() {
    let release = Release::start(&[Step::UntilClosed]);
    let second = join(&release.gw);
    add(
        &[&second],
        versioned("i-4", &release.other, "v1.1"),
        &release.other,
    );
    drop(release.caller);
    for n in 0..ATTEMPTS {
        assert_goes_on(&take_up(&second, &format!("later-{n}"), "first"), "v1");
    }
    assert_eq!(streams(&release.other), 0);
}

/// Guards against forgetting what began a stream with the router that it began at, also if it began
/// before there was a second version.
#[test]
fn versions_after_the_first_router_ended() {
    let begun = begins("v1", &[Step::UntilClosed]);
    let mut first = TestGateway::start(&[]);
    let second = join(&first);
    add(&[&first, &second], versioned("i-1", &begun, "v1"), &begun);
    let caller = begin(&first, "first", "");
    let (_same, other) = add_versions(&[&first, &second]);
    drop(caller);
    first.end().join().unwrap();
    for n in 0..ATTEMPTS {
        assert_goes_on(&take_up(&second, &format!("later-{n}"), "first"), "v1");
    }
    assert_eq!(streams(&other), 0);
}

/// Guards against a guess where no router knows what began a stream.
#[test]
fn versions_of_an_unknown_stream() {
    let release = Release::start(&[Step::UntilClosed]);
    let before = streams(&release.same);
    let begun = Instant::now();
    for n in 0..ATTEMPTS {
        assert_rejected(&take_up(&release.gw, &format!("later-{n}"), "nobody"));
    }
    assert!(begun.elapsed() < AT_ONCE * ATTEMPTS as u32);
    assert_eq!(
        (streams(&release.same), streams(&release.other)),
        (before, 0)
    );
}

/// Guards against a guess where a caller doesn't name the attempt that it resumes.
#[test]
fn versions_of_an_unnamed_stream() {
    let release = Release::start(&[Step::UntilClosed]);
    for n in 0..ATTEMPTS {
        let mut caller = release.gw.caller();
        assert_rejected(&caller.get("/resume/a", &format!("later-{n}"), "X-Last: 2\r\n"));
    }
    assert_eq!(streams(&release.other), 0);
}

/// Guards against joining what two versions wrote: a router that has just started lists one version, and
/// doesn't know that another one began the stream. Once it has known one version for longer than any
/// stream lasts, callers that name no attempt are not rejected.
#[test]
fn versions_of_an_unnamed_stream_with_one_version() {
    let replica = serves("v2", Duration::ZERO);
    let gw = TestGateway::start(&[]);
    gw.put_config(br#"{"version":2,"keys":{"k1":"w1"},"timeout":5000}"#.to_vec());
    add(&[&gw], versioned("i-1", &replica, "v2"), &replica);
    let listed = Instant::now();
    let take_up = || gw.caller().get("/resume/a", "later", "X-Last: 2\r\n");
    let before = streams(&replica);
    assert_rejected(&take_up());
    assert_eq!(streams(&replica), before);
    thread::sleep(SETTLED.saturating_sub(listed.elapsed()));
    assert_goes_on(&take_up(), "v2");
}

/// Guards against mixing up streams of two workspaces that use the same id.
#[test]
fn versions_of_two_workspaces() {
    let release = Release::start(&[Step::UntilClosed]);
    drop(release.caller);
    for n in 0..ATTEMPTS {
        let request = get_request(
            "/resume/a",
            &format!("later-{n}"),
            "X-Last: 2\r\nX-Resumes: first\r\n",
        );
        let mut caller = release.gw.caller();
        caller.send(request.replace("X-Key: k1", "X-Key: k2").as_bytes());
        assert_rejected(&caller.answer());
    }
    assert_eq!(streams(&release.other), 0);
}

/// Guards against taking a stream up at the other service of a route that is split.
#[test]
fn versions_of_a_split_route() {
    let services = ["s", "t"].map(|service| {
        let replica = serves(service, Duration::ZERO);
        let listed = gateway::Replica {
            service: service.parse().unwrap(),
            ..versioned(&format!("i-{service}"), &replica, "v1")
        };
        (replica, listed)
    });
    let gw = TestGateway::start(&[]);
    let listed = services.iter().map(|(_, listed)| listed.clone());
    gw.store.lock().unwrap().replicas = listed.collect();
    wait_until(|| {
        let got = (0..ATTEMPTS).map(|n| gw.get("/split/a", &format!("probe-{n}")).status);
        got.filter(|status| *status == 200).count() == ATTEMPTS
    });
    for n in 0..ATTEMPTS {
        let first = gw.get("/split/a", &format!("first-{n}"));
        let service = first.body.split("data: ").nth(1).unwrap()[..1].to_owned();
        let headers = format!("X-Last: 2\r\nX-Resumes: first-{n}\r\n");
        let got = gw.caller().get("/split/a", &format!("later-{n}"), &headers);
        assert_goes_on(&got, &service);
    }
}

/// Guards against rejecting a stream that was taken up again as if it were a new one.
#[test]
fn versions_taken_up_at_a_full_replica() {
    let replica = Replica::start(|_, seen| match (path(seen), seen.header("x-last")) {
        ("/stream/held", _) => vec![Step::Pause(HOLD_TIME)],
        (_, None) => vec![
            Step::Send(stream_head(seen)),
            Step::Send(chunk(&written("v1", 1, 2))),
            Step::UntilClosed,
        ],
        _ => vec![
            Step::Send(stream_head(seen)),
            Step::Send(chunk(&written("v1", 3, 6))),
            Step::Send(b"0\r\n\r\n".to_vec()),
        ],
    });
    let gw = TestGateway::start(&[("i-1", &replica)]);
    drop(begin(&gw, "first", ""));
    let held = (0..FULL_REQUESTS).map(|n| {
        let mut caller = gw.caller();
        caller.send(get_request("/stream/held", &format!("held-{n}"), "").as_bytes());
        caller
    });
    let _held: Vec<Caller> = held.collect();
    wait_until(|| replica.seen().len() == FULL_REQUESTS + 1);
    assert_rejected(&gw.get("/resume/a", "new"));
    assert_goes_on(&take_up(&gw, "later", "first"), "v1");
}

/// Guards against holding a stream until its deadline when no replica of its version is left.
#[test]
fn versions_without_replicas_left() {
    // The replica goes on sending events: a silent one may get a backup of its version while there
    // still is one.
    let rest = (3..ENDLESS).flat_map(|n| {
        let event = chunk(&written("v1", n, n));
        [Step::Pause(EVENT_PAUSE), Step::Send(event)]
    });
    let mut release = Release::start(&rest.collect::<Vec<_>>());
    {
        let mut store = release.gw.store.lock().unwrap();
        let own = |r: &&mut gateway::Replica| r.version == "v1".parse().ok();
        for listed in store.replicas.iter_mut().filter(own) {
            listed.state = State::Draining;
        }
    }
    wait_until(|| {
        let before = release.same.seen().len();
        (0..ATTEMPTS).for_each(|n| drop(release.gw.get("/again/a", &n.to_string())));
        release.same.seen().len() == before
    });
    release.gw.wait_listed();
    release.begun.crash();
    let at = Instant::now();
    let got = release.caller.answer();
    assert!(at.elapsed() < AT_ONCE, "{:?}", at.elapsed());
    let events = got.body.matches("id: ").count() as u64;
    assert!((2..ENDLESS - 1).contains(&events), "{events}");
    assert_eq!((got.complete, got.body), (false, written("v1", 1, events)));
    assert_rejected(&take_up(&release.gw, "later", "first"));
    assert_eq!((streams(&release.same), streams(&release.other)), (0, 0));
}

/// Guards against rejecting a stream whose replicas are full for a moment: its caller would lose what
/// it has.
#[test]
fn versions_taken_up_at_a_replica_that_rejects() {
    let rejections = AtomicUsize::new(0);
    let replica = Replica::start(move |_, seen| match seen.header("x-last") {
        None => vec![
            Step::Send(stream_head(seen)),
            Step::Send(chunk(&written("v1", 1, 2))),
            Step::UntilClosed,
        ],
        Some(_) if rejections.fetch_add(1, Ordering::SeqCst) < 3 => {
            let id = seen.header("x-id").unwrap();
            let head = format!(
                "HTTP/1.1 503 Busy\r\nX-Id: {id}\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
            );
            vec![Step::Send(head.into_bytes())]
        }
        Some(_) => vec![
            Step::Send(stream_head(seen)),
            Step::Send(chunk(&written("v1", 3, 6))),
            Step::Send(b"0\r\n\r\n".to_vec()),
        ],
    });
    let gw = TestGateway::start(&[("i-1", &replica)]);
    drop(begin(&gw, "first", ""));
    assert_goes_on(&take_up(&gw, "later", "first"), "v1");
}

/// Guards against losing a stream that began while there was one version for long, with the router that
/// it began at, when there are two.
#[test]
fn versions_of_a_stream_from_before_the_release() {
    let begun = begins("v1", &[Step::UntilClosed]);
    let mut first = TestGateway::start(&[]);
    first.put_config(br#"{"version":2,"keys":{"k1":"w1"},"timeout":5000}"#.to_vec());
    let second = join(&first);
    add(&[&first, &second], versioned("i-1", &begun, "v1"), &begun);
    thread::sleep(SETTLED);
    let caller = begin(&first, "first", "");
    let (_same, other) = add_versions(&[&first, &second]);
    drop(caller);
    first.end().join().unwrap();
    assert_goes_on(&take_up(&second, "later", "first"), "v1");
    assert_eq!(streams(&other), 0);
}
