//! The whole answer to its own request, and refusals that are true.

use {
    crate::stage::{
        ask_again,
        draft,
        record,
        send,
        spawn_send,
        tickets,
        wait_for,
        Fleet,
        Plan,
        Reply,
        Work, //
    },
    async_std::task::{
        self,
        block_on, //
    },
    callers::{
        Client,
        ClientSettings, //
    },
    policy::Outcome,
    standins::{
        relay::Relay,
        Fault,
        Faults, //
    },
    std::time::Duration,
};

/// Every way in which an endpoint can spoil one answer.
const SPOILT: [Fault; 14] = [
    Fault::ResetUnread,
    Fault::ResetUnanswered,
    Fault::ResetAfterHead,
    Fault::Cut { after: 0 },
    Fault::Cut { after: 5 },
    Fault::Silent,
    Fault::SilentAfter { after: 5 },
    Fault::Ignored,
    Fault::WrongId,
    Fault::NoId,
    Fault::Twice,
    Fault::Delay { ms: 200 },
    Fault::Refuse,
    Fault::Fail,
];

/// Good requests that earn more than one retry.
const EARN: u32 = 12;

fn one_each() -> Plan {
    Plan {
        engines: 1,
        plains: 1,
        ..Plan::default()
    }
}

fn faults(fleet: &Fleet) -> impl Iterator<Item = &Faults> {
    let engines = fleet.engines.iter().map(|e| &e.faults);
    engines.chain(fleet.plains.iter().map(|p| &p.faults))
}

/// Sends a request that may not be repeated, and returns its ticket too.
fn send_once(fleet: &Fleet, work: &Work) -> (String, Reply) {
    let router = fleet.routers[0].callers;
    let ticket = block_on(tickets(router, work.call.service.as_str(), 1));
    let ticket = ticket.expect("it answers").remove(0);
    let reply = block_on(send(router, work, Some(&ticket)));
    (ticket, reply.expect("it answers"))
}

/// Guards against answers that are truncated, delayed forever or delivered to another request after
/// a connection fault.
#[test]
fn answer_spoilt_once() {
    let fleet = Fleet::start(Plan::default());
    for (n, fault) in SPOILT.into_iter().enumerate() {
        let n = n as u32;
        for mut work in [draft("standard", n, 20), record("standard", n)] {
            work.call.deadline = Some(Duration::from_secs(6));
            // Good ones first, as retries are a fraction of them.
            for _ in 0..EARN {
                answered(&fleet, &work);
            }
            faults(&fleet).for_each(|f| f.order(fault, 1));
            let reply = block_on(send(fleet.routers[0].callers, &work, None));
            faults(&fleet).for_each(Faults::clear);
            let reply = reply.unwrap_or_else(|loss| panic!("{fault:?}: {loss:?}"));
            // A failure that the endpoint itself reports is its answer.
            let failed = fault == Fault::Fail && reply.outcome == Outcome::Failed;
            let whole = reply.outcome == Outcome::Answered && work.is_right(&reply.body);
            assert!(whole || failed, "{fault:?}: {reply:?}");
        }
    }
}

fn answered(fleet: &Fleet, work: &Work) {
    let reply = block_on(send(fleet.routers[0].callers, work, None)).unwrap();
    assert_eq!(reply.outcome, Outcome::Answered, "{:?}", reply.why);
    assert!(work.is_right(&reply.body));
}

/// Guards against a connection that is used again while an answer on it is still outstanding.
#[test]
fn answer_crossed_under_load() {
    let fleet = Fleet::start(Plan::default());
    for f in faults(&fleet) {
        for _ in 0..30 {
            for fault in [
                Fault::Twice,
                Fault::WrongId,
                Fault::Delay { ms: 30 },
                Fault::Cut { after: 4 },
            ] {
                f.order(fault, 1);
                f.pass();
            }
        }
    }
    let client = fleet.client();
    let calls = (0..300u32).map(|n| {
        let client = client.clone();
        task::spawn(async move {
            let work = match n % 3 {
                0 => draft("standard", n, 12),
                1 => draft("renewal", n, 12),
                _ => record("standard", n),
            };
            let answer = client.call(&work.call).await;
            (work, answer)
        })
    });
    let calls: Vec<_> = calls.collect();
    let mut answered = 0;
    for (work, answer) in calls.into_iter().map(block_on) {
        if answer.outcome == Outcome::Answered {
            assert!(work.is_right(&answer.body), "{answer:?}");
            answered += 1;
        }
    }
    println!("{answered} of 300 answered among crossed and cut answers");
}

/// Guards against a failed call that is reported as not run although it had begun.
#[test]
fn refusal_not_run() {
    let fleet = Fleet::start(one_each());
    let mut told = Vec::new();
    for (n, fault) in SPOILT.into_iter().enumerate() {
        for mut work in [draft("renewal", n as u32, 20), record("claim", n as u32)] {
            work.call.deadline = Some(Duration::from_secs(2));
            faults(&fleet).for_each(|f| f.order(fault, 8));
            let (ticket, reply) = send_once(&fleet, &work);
            faults(&fleet).for_each(Faults::clear);
            let runs = fleet.runs_of(&ticket);
            let story = format!("{fault:?} {} ran {runs}: {reply:?}", work.call.service);
            assert!(runs <= 1, "{story}");
            match reply.outcome {
                Outcome::Answered => assert!(runs == 1 && work.is_right(&reply.body), "{story}"),
                Outcome::NotRun => assert_eq!(runs, 0, "{story}"),
                Outcome::MayHaveRun => {}
                Outcome::Failed => assert_eq!(fault, Fault::Fail, "{story}"),
            }
            told.push((fault, reply.outcome, runs));
        }
    }
    // What is surely not run is also said to be so: only a refusal says it here.
    let sure = |f, o: Outcome| told.iter().any(|t| t.0 == f && t.1 == o);
    assert!(sure(Fault::Refuse, Outcome::NotRun), "{told:?}");
    assert!(
        sure(Fault::ResetUnanswered, Outcome::MayHaveRun),
        "{told:?}"
    );
}

/// Guards against a refused connection that counts as a request which may have run.
#[test]
fn refusal_connect_refused() {
    let mut fleet = Fleet::start(one_each());
    fleet.plains.clear();
    let work = record("claim", 1);
    let (ticket, reply) = send_once(&fleet, &work);
    assert_eq!(reply.outcome, Outcome::NotRun, "{:?}", reply.why);
    // The ticket was given back: it is good for a later try.
    let again = ask_again(fleet.routers[0].callers, &work, &ticket);
    assert_eq!(again.outcome, Outcome::NotRun, "{:?}", again.why);
}

/// Guards against a caller that waits forever, or repeats a write, on a connection that went
/// silent.
#[test]
fn silent_callers_side() {
    let fleet = Fleet::start(Plan::default());
    let ways: Vec<Relay> = fleet.callers().into_iter().map(way).collect();
    let mut settings = ClientSettings::new(vec![ways[0].addr]);
    settings.idle_timeout = Duration::from_secs(2);
    let client = Client::new(settings);
    let work = record("claim", 1);
    // The way to router 1 swallows the answer of a renewal, which the client asks for again.
    let router = fleet.routers[0].callers;
    let ticket = block_on(tickets(router, "broker-desk", 1))
        .unwrap()
        .remove(0);
    faults(&fleet).for_each(|f| f.order(Fault::Delay { ms: 300 }, 1));
    let first = spawn_send(ways[0].addr, &work, Some(&ticket));
    wait_for("it runs", || (fleet.runs_of(&ticket) == 1).then_some(()));
    ways[0].silence();
    let reply = ask_again(ways[0].addr, &work, &ticket);
    assert_eq!(reply.outcome, Outcome::Answered, "{:?}", reply.why);
    assert!(work.is_right(&reply.body));
    assert_eq!(fleet.runs_of(&ticket), 1);
    block_on(first.cancel());
    // A client that keeps connections finds out, and opens new ones.
    let work = draft("standard", 1, 10);
    assert_eq!(block_on(client.call(&work.call)).outcome, Outcome::Answered);
    ways.iter().for_each(Relay::silence);
    let answer = block_on(client.call(&work.call));
    assert_eq!(answer.outcome, Outcome::Answered, "{:?}", answer.refused);
}

fn way(to: std::net::SocketAddr) -> Relay {
    block_on(Relay::start(to)).unwrap()
}

/// Guards against requests that hang on kept connections to endpoints which went silent.
#[test]
fn silent_endpoints_side() {
    let fleet = Fleet::prepare(one_each());
    let mut fleet = fleet;
    let engine = way(fleet.engines[0].addr);
    let plain = way(fleet.plains[0].addr);
    fleet.list_at(&[engine.addr], &[plain.addr]);
    fleet.configure(operators::FLEET);
    fleet
        .routers
        .iter_mut()
        .for_each(crate::stage::Router::start);
    fleet.wait_ready();
    let client = fleet.client();
    for n in 0..3 {
        for work in [draft("standard", n, 10), record("standard", n)] {
            let answer = block_on(client.call(&work.call));
            assert_eq!(answer.outcome, Outcome::Answered, "{:?}", answer.refused);
            assert!(work.is_right(&answer.body));
        }
        engine.silence();
        plain.silence();
    }
    // What may not be repeated ends as open, and never runs again.
    let work = record("claim", 9);
    let (ticket, reply) = send_once(&fleet, &work);
    assert_ne!(reply.outcome, Outcome::NotRun, "{:?}", reply.why);
    assert!(fleet.runs_of(&ticket) <= 1);
}

/// Guards against routers that consider each other dead when the connections between them go
/// silent.
#[test]
fn silent_between_routers() {
    let fleet = Fleet::start(Plan::default());
    let client = fleet.client();
    for n in 0..3 {
        fleet.routers.iter().for_each(|r| r.way.silence());
        let work = record("claim", n);
        let router = fleet.routers[0].callers;
        let ticket = block_on(tickets(router, "broker-desk", 1))
            .unwrap()
            .remove(0);
        let reply = ask_again(fleet.routers[1].callers, &work, &ticket);
        assert_ne!(reply.outcome, Outcome::NotRun, "{:?}", reply.why);
        let answer = block_on(client.call(&draft("standard", n, 10).call));
        assert_eq!(answer.outcome, Outcome::Answered, "{:?}", answer.refused);
        fleet.wait_ready();
        assert!(fleet.runs_of(&ticket) <= 1);
    }
}

/// Guards against a slow plain service whose silence is mistaken for a lost connection.
#[test]
fn silent_while_it_works() {
    let fleet = Fleet::start(Plan {
        work: Duration::from_secs(4),
        ..one_each()
    });
    answered(&fleet, &record("standard", 1));
    let work = record("claim", 1);
    let (ticket, reply) = send_once(&fleet, &work);
    assert_eq!(reply.outcome, Outcome::Answered, "{:?}", reply.why);
    assert!(work.is_right(&reply.body));
    assert_eq!(fleet.runs_of(&ticket), 1);
}

/// Guards against a slot that stays taken after its caller has disconnected between two tokens.
#[test]
fn hang_up_between_tokens() {
    let fleet = Fleet::start(Plan {
        gap: Duration::from_secs(600),
        ..one_each()
    });
    let mut work = draft("standard", 1, 3);
    work.call.deadline = Some(Duration::from_secs(3_600));
    let router = &fleet.routers[0];
    let running = || {
        let status = router.status()?;
        Some(status.services.iter().map(|s| s.running).sum::<u32>())
    };
    let call = spawn_send(router.callers, &work, None);
    wait_for("it has its first token", || {
        (fleet.engines[0].load().running > 0).then_some(())
    });
    assert_eq!(running(), Some(1));
    block_on(call.cancel());
    wait_for("its slot is free", || (running()? == 0).then_some(()));
}
