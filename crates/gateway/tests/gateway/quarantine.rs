//! Requests that crash replicas.

use {
    crate::{
        caller::{
            Answer,
            Caller, //
        },
        fleet::{
            start_after,
            start_pair, //
        },
        harness::{
            entry,
            wait_until,
            FakeStore,
            TestGateway, //
        },
        replacements::{
            Replicas,
            RUNNING, //
        },
        replica::{
            ok_answer,
            Replica,
            SeenRequest,
            Step, //
        },
    },
    gateway::State,
    std::{
        collections::BTreeSet,
        net::SocketAddr,
        sync::{
            Arc,
            Mutex, //
        },
        thread,
        time::Duration, //
    },
};

/// Replicas that may crash under a request before it is quarantined.
const QUARANTINED_FROM: usize = 3;
/// Replicas that may crash after that, by the users' limit.
const ALLOWED_AFTER: usize = 3;

/// Time between two closed connections, so that they don't count as simultaneous.
const CLOSE_INTERVAL: Duration = Duration::from_millis(100);

/// Crashes the replica when it starts to run a request with this body; other requests are answered.
fn crash_on(body: &'static str) -> impl Fn(&SeenRequest) -> Vec<Step> + Send + Sync {
    move |seen| match seen.body == body.as_bytes() {
        true => vec![Step::Crash],
        false => vec![Step::Send(ok_answer(seen, "ok"))],
    }
}

fn post(gw: &TestGateway, key: &str, id: usize, body: &str) -> Answer {
    post_to(gw.settings.listen.callers, key, id, body)
}

fn post_to(addr: SocketAddr, key: &str, id: usize, body: &str) -> Answer {
    let mut caller = Caller::open(addr);
    let text = format!(
        "POST /again/a HTTP/1.1\r\nHost: a.example\r\nX-Id: {id}\r\nX-Key: {key}\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    caller.send(text.as_bytes());
    caller.answer()
}

#[test]
fn quarantine_is_shared_by_routers() {
    // One request crashed every engine that started to run it, along with all other requests there.
    // Repeated at any instance, it crashed 16 engines within some 15 s, and a tenth or more of the
    // service's requests failed. An attempt avoided only the replicas of its own request, so each
    // repetition started anew; now routers share what they know of such requests.
    let mut replicas = Replicas::start(crash_on("deadly"));
    let (first, second) = start_pair(&replicas.up[0].1);
    let gateways = [&first, &second];
    let mut answers = Vec::new();
    for n in 0..20 {
        replicas.list_running(&gateways);
        let got = post(gateways[n % 2], "k1", n, "deadly");
        answers.push((got.status, got.header("retry-after").is_some()));
    }
    let crashed = replicas.crashed();
    assert!(
        crashed <= QUARANTINED_FROM + ALLOWED_AFTER,
        "{crashed} crashed: {answers:?}"
    );
    // The request gets a final answer with a retry delay; others are served.
    assert_eq!(answers.last(), Some(&(503, true)));
    for gw in gateways {
        assert_eq!(post(gw, "k1", 50, "harmless").status, 200);
    }
}

#[test]
fn quarantine_known_to_new_router() {
    // A router has seen three replicas crash under a request, and has written so into its entry in
    // the store. Another router that starts reads the entry before it knows any router, and sends
    // the request to no replica.
    let mut replicas = Replicas::start(crash_on("deadly"));
    let first = TestGateway::start(&[("i-1", &replicas.up[0].1)]);
    let entry = |store: &FakeStore| store.registered.get("g1").cloned();
    wait_until(|| entry(&first.store.lock().unwrap()).is_some());
    let before = entry(&first.store.lock().unwrap());
    let mut n = 0;
    while post(&first, "k1", n, "deadly").status != 503 {
        replicas.list_running(&[&first]);
        n += 1;
    }
    wait_until(|| entry(&first.store.lock().unwrap()) != before);
    replicas.list_running(&[&first]);
    let crashed = replicas.crashed();
    let second = start_after(&first);
    assert_eq!(post(&second, "k1", 91, "deadly").status, 503);
    assert_eq!(replicas.crashed(), crashed);
}

#[test]
fn quarantine_ignores_broken_connections() {
    // Each replica closes the connection once on the same request, and all serve it after that.
    // Counted as crashes, this would quarantine the request for ten minutes.
    let closed: Arc<Mutex<BTreeSet<usize>>> = Arc::default();
    let replicas: Vec<Replica> = (0..RUNNING)
        .map(|index| {
            let closed = closed.clone();
            Replica::start(move |_, seen| {
                let mut closed = closed.lock().unwrap();
                if seen.body != b"unlucky" || closed.len() == RUNNING {
                    return vec![Step::Send(ok_answer(seen, "ok"))];
                }
                closed.insert(index);
                vec![Step::Pause(CLOSE_INTERVAL), Step::Close]
            })
        })
        .collect();
    let named: Vec<String> = (0..RUNNING).map(|n| format!("i-{n}")).collect();
    let pairs: Vec<_> = named.iter().map(String::as_str).zip(&replicas).collect();
    let gw = TestGateway::start(&pairs);
    let statuses: Vec<u16> = (0..12)
        .map(|n| post(&gw, "k1", n, "unlucky").status)
        .collect();
    assert!(!statuses.contains(&503), "{statuses:?}");
    assert_eq!(statuses.last(), Some(&200), "{statuses:?}");
}

/// Lists a single replica, which holds the request without an answer but answers others, and waits
/// until the instance knows it.
fn list_only(gw: &TestGateway, id: &str) -> Replica {
    let replica = Replica::start(|_, seen| match seen.body == b"late" {
        true => vec![Step::UntilClosed],
        false => vec![Step::Send(ok_answer(seen, "ok"))],
    });
    gw.store.lock().unwrap().replicas = vec![entry(id, &replica)];
    wait_until(|| {
        gw.get("/again/other", "o");
        !replica.seen().is_empty()
    });
    replica
}

#[test]
fn quarantine_ignores_leaving_replicas() {
    // Replicas are replaced one after the other. Each one is listed as leaving and ends with the
    // same request unfinished. Counted as crashes, this would quarantine the request for ten
    // minutes.
    let gw = TestGateway::start(&[]);
    for n in 0..4 {
        let replica = list_only(&gw, &format!("i-{n}"));
        let addr = gw.settings.listen.callers;
        let caller = thread::spawn(move || post_to(addr, "k1", n, "late").status);
        wait_until(|| replica.seen().iter().any(|seen| seen.body == b"late"));
        gw.store.lock().unwrap().replicas[0].state = State::Draining;
        wait_until(|| gw.get("/again/other", "o").status == 503);
        replica.crash();
        // The replica ended with the request, and no other is running.
        assert_eq!(caller.join().unwrap(), 502);
    }
    let last = Replica::start(|_, seen| vec![Step::Send(ok_answer(seen, "ok"))]);
    gw.store.lock().unwrap().replicas = vec![entry("i-last", &last)];
    wait_until(|| gw.get("/again/other", "o").status == 200);
    assert_eq!(post(&gw, "k1", 9, "late").status, 200);
}
