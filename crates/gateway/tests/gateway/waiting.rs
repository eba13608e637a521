//! Requests that wait until an engine has room.

use {
    crate::{
        caller::{
            get_request,
            Caller, //
        },
        harness::{
            wait_until,
            FakeStore,
            TestGateway, //
        },
        replica::{
            ok_answer,
            Replica,
            Step, //
        },
    },
    std::{
        sync::{
            Arc,
            Mutex, //
        },
        thread,
        time::{
            Duration,
            Instant, //
        },
    },
};

/// Target with which a request waits for longer than a test may take.
const LONG_TARGET: u64 = 240_000;
/// Time in which a request certainly arrives on a machine that isn't busy. On a busy one, a test
/// may pass without a wait.
const ARRIVAL_TIME: Duration = Duration::from_millis(300);

/// A gateway whose only engine has one slot, and holds requests with an id that begins with `hold`
/// until their callers disconnect.
struct FullEngine {
    gw: TestGateway,
    replica: Replica,
    holder: Caller,
}

impl FullEngine {
    /// Fills the engine, where streams have one target and other requests another one.
    fn start(stream_target: u64, target: u64) -> FullEngine {
        let replica = Replica::start(|_, seen| match seen.header("x-id") {
            Some(id) if id.starts_with("hold") => vec![Step::UntilClosed],
            _ => vec![Step::Send(ok_answer(seen, "done"))],
        });
        let config = format!(
            r#"{{"version":1,"keys":{{"k1":"w1"}},"timeout":60000,"engine-slots":1,
                "stream-target":{stream_target},"target":{target}}}"#
        );
        let store = FakeStore {
            config: config.into_bytes(),
            ..FakeStore::with_replica(&replica)
        };
        let gw = TestGateway::start_with(Arc::new(Mutex::new(store)), "g1", |_| {});
        gw.wait_ready();
        let holder = send(&gw, "hold");
        wait_until(|| replica.seen().len() == 1);
        FullEngine {
            gw,
            replica,
            holder,
        }
    }

    /// Returns the ids of the requests that the engine received.
    fn seen(&self) -> Vec<String> {
        let seen = self.replica.seen();
        let ids = seen.iter().map(|r| r.header("x-id").unwrap().to_owned());
        ids.collect()
    }
}

fn send(gw: &TestGateway, id: &str) -> Caller {
    let mut caller = gw.caller();
    caller.send(get_request("/again/x", id, "X-Prompt: a,b\r\n").as_bytes());
    caller
}

/// Guards against rejections while an engine gets room within the time that a request may wait.
#[test]
fn waiting_is_served_once_there_is_room() {
    let engine = FullEngine::start(LONG_TARGET, LONG_TARGET);
    let mut waiting = send(&engine.gw, "waits");
    thread::sleep(ARRIVAL_TIME);
    assert_eq!(engine.seen(), ["hold"]);
    drop(engine.holder);
    assert_eq!(waiting.answer().status, 200);
}

/// Guards against requests that are held until their deadline, or rejected without advice.
#[test]
fn waiting_is_rejected_at_its_limit() {
    let engine = FullEngine::start(800, 800);
    let sent = Instant::now();
    let answer = send(&engine.gw, "waits").answer();
    // A quarter of the target is 200 ms.
    assert!(sent.elapsed() >= Duration::from_millis(200));
    assert_eq!(answer.status, 503);
    assert!(answer.header("retry-after").is_some());
    assert_eq!(engine.seen(), ["hold"]);
}

/// Guards against work for callers that are gone, and against their places staying taken.
#[test]
fn waiting_ends_with_its_caller() {
    let engine = FullEngine::start(LONG_TARGET, LONG_TARGET);
    let leaves = send(&engine.gw, "leaves");
    thread::sleep(ARRIVAL_TIME);
    drop(leaves);
    let mut stays = send(&engine.gw, "stays");
    thread::sleep(ARRIVAL_TIME);
    drop(engine.holder);
    assert_eq!(stays.answer().status, 200);
    let seen = engine.replica.seen();
    assert!(seen.iter().all(|r| r.header("x-id") != Some("leaves")));
}

/// Guards against a shutdown that takes as long as requests may wait.
#[test]
fn waiting_is_rejected_by_a_shutdown() {
    let mut engine = FullEngine::start(LONG_TARGET, LONG_TARGET);
    let mut waiting = send(&engine.gw, "waits");
    thread::sleep(ARRIVAL_TIME);
    let ended = engine.gw.end();
    assert_eq!(waiting.answer().status, 503);
    drop(engine.holder);
    ended.join().unwrap();
}

/// Guards against waits in services whose shortest target leaves no time for them. A request that
/// waited would exceed the time limit for a hang.
#[test]
fn waiting_not_with_a_short_target() {
    let engine = FullEngine::start(599, LONG_TARGET);
    assert_eq!(send(&engine.gw, "short").answer().status, 503);
    assert_eq!(engine.seen(), ["hold"]);
}
