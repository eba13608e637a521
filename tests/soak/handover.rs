//! Streams that are taken up at another router after theirs was killed without a word.

use {
    super::{
        history::RequestId,
        http::{
            Conn,
            Message, //
        },
        plan::{
            Offer,
            Plan,
            StreamShape, //
        },
        signal::Signal,
        store::StoreFault,
        wait_until,
        Soak,
        CALM, //
    },
    adapter::testing::{
        CallerRequest,
        Resumed, //
    },
    std::{
        io,
        ops::Range,
        thread,
        time::Duration, //
    },
};

const PLAN: Plan = Plan {
    routers: 4,
    services: &[Offer {
        service: "llm",
        replicas: 6,
        engine: true,
    }],
    split: &[("llm", 1)],
    slots: 8,
    rejects: false,
    callers: 0,
    streams: StreamShape {
        events: 24,
        interval: Duration::from_millis(15),
        breaks: None,
    },
    attempts: 0,
    releases: true,
    crashes: false,
    net: 0,
};
/// The routers' networks; none is that of another test.
const NET_OF_KILL: u64 = 250;
const NET_OF_RELEASE: u64 = 251;
const NET_OUT_OF_STEP: u64 = 252;
const STREAMS: usize = 16;
/// Time after which the other routers take a router that stands still for silent.
const SILENT: Duration = Duration::from_secs(4);
/// Longer than any of these tests runs.
const DEADLINE: Duration = Duration::from_secs(60);
/// The replica that is replaced by one of the second version.
const REPLACED: usize = 5;

/// Sends a request for a stream to a router, and reads this many events.
fn request(
    soak: &Soak,
    id: RequestId,
    resumes: Option<(RequestId, u64)>,
    events: usize,
) -> io::Result<(Conn, Message)> {
    let first = resumes.map(|(first, _)| first.to_string());
    let last = resumes.map_or(0, |(_, last)| last);
    let text = CallerRequest {
        target: "POST /stream/a",
        id: &id.to_string(),
        deadline: DEADLINE,
        shared: &[id.number as u32],
        resumes: first.as_ref().map(|first| Resumed { first, last }),
    };
    let mut conn = Conn::open(soak.routers[id.router].handle().callers)?;
    conn.send(text.encode("a.example").as_bytes())?;
    let answer = conn.read_part(events)?;
    Ok((conn, answer))
}

/// Returns what wrote the last event of an answer.
fn written(answer: &Message) -> String {
    let body = String::from_utf8_lossy(&answer.body);
    let last = body.trim_end().rsplit(' ').next();
    last.unwrap_or_default().to_owned()
}

/// Lists a replica of the second version, and waits until each router has used it.
fn release(soak: &Soak) {
    release_at(soak, 0..PLAN.routers);
}

/// The same for some of the routers.
fn release_at(soak: &Soak, routers: Range<usize>) {
    soak.replicas[REPLACED].end();
    soak.replicas[REPLACED].replace(2);
    soak.replicas[REPLACED].register("ready");
    for router in routers {
        let mut number = 1_000;
        wait_until("a router uses the second version", || {
            // Documents have preferred replicas.
            let used = (0..20).any(|n| {
                let id = RequestId {
                    router,
                    number: number + n,
                };
                request(soak, id, None, 1).is_ok_and(|(_, got)| written(&got) == "llm@v2")
            });
            number += 20;
            used
        });
    }
}

/// Begins streams of a version at the first router, and reads two events of each.
fn begin(soak: &Soak, version: &str) -> Vec<(Conn, RequestId)> {
    let streams = (0..).map(|number| {
        let id = RequestId { router: 0, number };
        let (conn, answer) = request(soak, id, None, 2).unwrap();
        assert_eq!(answer.status, 200);
        (conn, id, written(&answer))
    });
    let begun = streams.filter(|(_, _, software)| software == version);
    begun
        .take(STREAMS)
        .map(|(conn, id, _)| (conn, id))
        .collect()
}

/// Kills the first router, and takes its streams up at the others.
fn take_up(soak: &mut Soak, streams: Vec<(Conn, RequestId)>) {
    soak.routers[0].kill();
    for (conn, first) in streams {
        drop(conn);
        let mut number = 10_000 + first.number * 100;
        wait_until("a stream goes on", || {
            number += 1;
            let id = RequestId {
                router: 1 + first.number as usize % (PLAN.routers - 1),
                number,
            };
            let resumes = Some((first, 2));
            let Ok((_, answer)) = request(soak, id, resumes, usize::MAX) else {
                return false;
            };
            if answer.status == 200 && !answer.body.is_empty() {
                assert_eq!(written(&answer), "llm@v1");
            }
            answer.status == 200 && answer.complete
        });
    }
}

/// Guards against losing what began a stream with a router that is killed while two versions serve.
#[test]
fn handover_during_a_release() {
    let mut soak = Soak::start(&PLAN, NET_OF_KILL);
    release(&soak);
    let streams = begin(&soak, "llm@v1");
    take_up(&mut soak, streams);
}

/// Guards against losing a stream that began while there was one version only, with a router that is
/// killed when there are two.
#[test]
fn handover_of_streams_from_before_a_release() {
    let mut soak = Soak::start(&PLAN, NET_OF_RELEASE);
    thread::sleep(CALM);
    let streams = begin(&soak, "llm@v1");
    for replica in &soak.replicas {
        replica.fall_silent(DEADLINE);
    }
    release(&soak);
    for replica in &soak.replicas {
        replica.fall_silent(Duration::ZERO);
    }
    take_up(&mut soak, streams);
}

/// Guards against a stream of a new version that goes on at an old one, at a router that stood still
/// while the new one joined: it reaches only a router that stood still as well.
#[test]
fn handover_to_routers_that_stood_still() {
    let mut soak = Soak::start(&PLAN, NET_OUT_OF_STEP);
    thread::sleep(CALM);
    let in_step = 0..2;
    let out_of_step = 2..PLAN.routers;
    for router in out_of_step.clone() {
        soak.routers[router].signal(Signal::Stop);
    }
    // The others no longer tell them of streams.
    thread::sleep(SILENT);
    release_at(&soak, in_step);
    let streams = begin(&soak, "llm@v2");
    soak.store.set_fault(Some(StoreFault::Reset));
    soak.routers[0].kill();
    soak.routers[1].signal(Signal::Stop);
    for router in out_of_step.clone() {
        soak.routers[router].signal(Signal::Cont);
    }
    for (n, (conn, first)) in streams.into_iter().enumerate() {
        drop(conn);
        let id = RequestId {
            router: out_of_step.start + n % out_of_step.len(),
            number: 10_000 + first.number,
        };
        let answer = request(&soak, id, Some((first, 2)), usize::MAX);
        if let Ok((_, answer)) = answer {
            assert!(
                answer.status != 200,
                "{} goes on at {}",
                first,
                written(&answer)
            );
        }
    }
}
