//! Decisions of one router: queueing, rejection, start and retry of requests.

use {
    policy::{
        Action,
        Completion,
        Dispatch,
        Incarnation,
        Job,
        JobId,
        Mode,
        Peer,
        PeerState,
        Refusal,
        Replica,
        ReplicaId,
        Rules,
        ServiceRules,
        Share,
        Slots,
        Span,
        Time,
        Unit,
        Units,
        WorkspaceShare, //
    },
    std::{
        collections::BTreeMap,
        sync::Arc, //
    },
};

const SERVICE: &str = "drafting-llm";

fn rules(mode: Mode, start: u32) -> Rules {
    Rules {
        mode,
        services: vec![ServiceRules {
            service: SERVICE.parse().unwrap(),
            unit: Unit::Requests,
            window: Units(0.0),
            credit: Units(1.0),
            queue: 4,
            start: Slots(start),
            shares: Default::default(),
        }],
    }
}

fn peer(id: &str) -> Peer {
    Peer {
        id: id.parse().unwrap(),
        incarnation: Incarnation(1),
        zone: "hall-a".parse().unwrap(),
        state: PeerState::Live,
    }
}

fn replica(id: &str, zone: &str) -> Replica {
    Replica {
        id: id.parse().unwrap(),
        service: SERVICE.parse().unwrap(),
        zone: zone.parse().unwrap(),
        leaving: false,
    }
}

fn router(mode: Mode, start: u32, replicas: &[(&str, &str)]) -> Dispatch {
    let mut d = Dispatch::new(peer("r1"), 1);
    d.configure(rules(mode, start), Time(0));
    let list = replicas.iter().map(|r| replica(r.0, r.1)).collect();
    d.set_replicas(&SERVICE.parse().unwrap(), list, Time(0));
    d
}

fn job(workspace: &str, now: Time) -> Job {
    Job {
        service: SERVICE.parse().unwrap(),
        workspace: workspace.parse().unwrap(),
        arrived: now,
        deadline: now + Span::secs(10),
        urgency: 0,
        hint: Units(1.0),
        share: Share::ONE,
        expected_run: Span::ZERO,
        prefix: None,
    }
}

fn started(d: &mut Dispatch) -> Vec<(JobId, ReplicaId)> {
    d.take_actions()
        .into_iter()
        .filter_map(|a| match a {
            Action::Start { job, replica } => Some((job, replica)),
            _ => None,
        })
        .collect()
}

fn rejected(d: &mut Dispatch) -> Vec<(JobId, Refusal, Span)> {
    d.take_actions()
        .into_iter()
        .filter_map(|a| match a {
            Action::Reject {
                job,
                reason,
                retry_after,
            } => Some((job, reason, retry_after)),
            _ => None,
        })
        .collect()
}

const DONE: Completion = Completion {
    units: Units(1.0),
    first_byte: None,
    token_gap: None,
    ok: true,
    refund: false,
};

#[test]
fn submit_starts_in_own_zone() {
    let mut d = router(Mode::Alone, 1, &[("b", "hall-b"), ("a", "hall-a")]);
    d.submit(job("w1", Time(0)), Time(0));
    d.submit(job("w1", Time(0)), Time(0));
    let at: Vec<String> = started(&mut d).iter().map(|s| s.1.to_string()).collect();
    assert_eq!(at, ["a", "b"]);
}

#[test]
fn submit_queue_full() {
    let mut d = router(Mode::Alone, 1, &[("a", "hall-a")]);
    for _ in 0..5 {
        d.submit(job("flood", Time(0)), Time(0));
    }
    assert_eq!(started(&mut d).len(), 1);
    let id = d.submit(job("flood", Time(0)), Time(0));
    let rejected = rejected(&mut d);
    assert_eq!((rejected[0].0, rejected[0].1), (id, Refusal::QueueFull));
    assert!(rejected[0].2 > Span::ZERO);
}

#[test]
fn submit_no_endpoint() {
    let mut d = router(Mode::Alone, 1, &[]);
    d.submit(job("w1", Time(0)), Time(0));
    assert_eq!(rejected(&mut d)[0].1, Refusal::NoEndpoint);
}

#[test]
fn submit_late() {
    // The queue ahead would take longer than the deadline allows. The request is rejected at once,
    // with the delay after which it would fit.
    let mut d = router(Mode::Alone, 1, &[("a", "hall-a")]);
    let mut now = Time(0);
    for _ in 0..5 {
        d.submit(job("w1", now), now);
    }
    let mut running = started(&mut d)[0].0;
    // One request leaves per second, so the fourth in line waits about four seconds.
    for _ in 0..2 {
        now += Span::secs(1);
        d.tick(now);
        d.finish(running, DONE, now);
        running = started(&mut d)[0].0;
    }
    let short = Job {
        deadline: now + Span::secs(12),
        expected_run: Span::secs(11),
        ..job("w1", now)
    };
    let id = d.submit(short, now);
    let rejected = rejected(&mut d);
    assert_eq!((rejected[0].0, rejected[0].1), (id, Refusal::Late));
    assert!(rejected[0].2 >= Span::millis(50) && rejected[0].2 <= Span::secs(4));
}

#[test]
fn tick_rejects_expired() {
    let mut d = router(Mode::Alone, 1, &[("a", "hall-a")]);
    d.submit(job("w1", Time(0)), Time(0));
    let id = d.submit(job("w1", Time(0)), Time(0));
    d.take_actions();
    d.tick(Time(0) + Span::secs(10));
    let rejected = rejected(&mut d);
    assert_eq!((rejected[0].0, rejected[0].1), (id, Refusal::Expired));
}

#[test]
fn finish_serves_least() {
    let mut d = router(Mode::Alone, 1, &[("a", "hall-a")]);
    let mut ids = BTreeMap::new();
    for w in ["flood", "flood", "flood", "small"] {
        let id = d.submit(job(w, Time(0)), Time(0));
        ids.insert(id, w);
    }
    let first = started(&mut d)[0].0;
    d.finish(first, DONE, Time(1));
    let second = started(&mut d)[0].0;
    assert_eq!(ids[&second], "small");
}

#[test]
fn static_serves_in_order() {
    let mut d = router(Mode::Static, 1, &[("a", "hall-a")]);
    let mut ids = BTreeMap::new();
    for (at, w) in ["flood", "flood", "small"].into_iter().enumerate() {
        let now = Time(at as u64);
        let id = d.submit(job(w, now), now);
        ids.insert(id, w);
    }
    let first = started(&mut d)[0].0;
    d.finish(first, DONE, Time(9));
    let second = started(&mut d)[0].0;
    assert_eq!(ids[&second], "flood");
}

#[test]
fn static_splits_limit() {
    let mut d = router(Mode::Static, 5, &[("a", "hall-a"), ("b", "hall-a")]);
    d.set_routers(vec![peer("r2"), peer("r3")], Time(0));
    let dump = d.dump();
    let allowed: Vec<u32> = dump.services[0]
        .replicas
        .iter()
        .map(|r| r.allowed.0)
        .collect();
    assert_eq!(allowed, [2, 2]);
}

#[test]
fn withdraw_stops_starts() {
    let mut d = router(Mode::Alone, 2, &[("a", "hall-a"), ("b", "hall-b")]);
    let a: ReplicaId = "a".parse().unwrap();
    d.withdraw(&a, Time(0));
    for _ in 0..4 {
        d.submit(job("w1", Time(0)), Time(0));
    }
    let started = started(&mut d);
    assert_eq!(started.len(), 2);
    assert!(started.iter().all(|s| s.1 != a));
}

#[test]
fn requeue_goes_elsewhere() {
    let mut d = router(Mode::Alone, 2, &[("a", "hall-a"), ("b", "hall-b")]);
    let id = d.submit(job("w1", Time(0)), Time(0));
    let first = started(&mut d)[0].1.clone();
    d.requeue(id, &first, Time(1));
    let again = started(&mut d);
    assert_eq!(again[0].0, id);
    assert_ne!(again[0].1, first);
}

#[test]
fn requeue_service_gone() {
    // Guards against a request without end: its replica failed it after the service was removed
    // from the configuration, so it was queued where nothing starts or rejects it any more.
    let mut d = router(Mode::Alone, 1, &[("a", "hall-a")]);
    let id = d.submit(job("w1", Time(0)), Time(0));
    let at = started(&mut d)[0].1.clone();
    d.configure(Rules::default(), Time(1));
    d.requeue(id, &at, Time(2));
    let rejected = rejected(&mut d);
    assert_eq!((rejected[0].0, rejected[0].1), (id, Refusal::NoEndpoint));
    assert_eq!(d.running(), 0);
}

#[test]
fn requeue_while_leaving() {
    // Guards against a caller that waits until its deadline: its request was queued for a retry at
    // a router that shuts down, and from that queue nothing starts any more.
    let mut d = router(Mode::Alone, 1, &[("a", "hall-a"), ("b", "hall-a")]);
    let id = d.submit(job("w1", Time(0)), Time(0));
    d.submit(job("w1", Time(0)), Time(0));
    let at = started(&mut d)[0].1.clone();
    d.leave(Time(1));
    d.requeue(id, &at, Time(2));
    let rejected = rejected(&mut d);
    assert_eq!((rejected[0].0, rejected[0].1), (id, Refusal::Leaving));
}

#[test]
fn leave_rejects_queued() {
    let mut d = router(Mode::Alone, 1, &[("a", "hall-a")]);
    let runs = d.submit(job("w1", Time(0)), Time(0));
    let queued = d.submit(job("w1", Time(0)), Time(0));
    d.take_actions();
    d.leave(Time(1));
    let rejected = rejected(&mut d);
    assert_eq!(rejected.len(), 1);
    assert_eq!((rejected[0].0, rejected[0].1), (queued, Refusal::Leaving));
    d.finish(runs, DONE, Time(2));
    assert_eq!(d.dump().running, 0);
}

#[test]
fn submit_queue_full_of_one_workspace() {
    // Guards against a workspace's own queue limit being ignored in favour of the service's.
    let mut d = router(Mode::Alone, 1, &[("a", "hall-a")]);
    let mut rules = rules(Mode::Alone, 1);
    rules.services[0].shares = Arc::new(vec![WorkspaceShare {
        workspace: "short".parse().unwrap(),
        share: Share::ONE,
        queue: Some(1),
    }]);
    d.configure(rules, Time(0));
    for workspace in ["short", "long"] {
        for _ in 0..4 {
            d.submit(job(workspace, Time(0)), Time(0));
        }
    }
    let rejected = rejected(&mut d);
    assert_eq!(rejected.len(), 2, "{rejected:?}");
    assert!(rejected.iter().all(|r| r.1 == Refusal::QueueFull));
}
