use {
    super::test_fleet::{
        request,
        CallerAnswer,
        TestFleet, //
    },
    callers::Request,
    policy::Outcome,
    standins::{
        engine,
        plain, //
    },
    std::time::Duration, //
};

fn renewal(service: &str, ticket: &str, body: &str) -> Request {
    Request {
        ticket: Some(ticket.to_owned()),
        ..request(service, "renewal", body)
    }
}

#[async_std::test]
async fn handle_same_ticket() {
    let desk = plain::start(plain::Opts::default()).await.unwrap();
    let fleet = TestFleet::start(2, "broker-desk", desk.addr).await;
    let ticket = fleet.ticket(0);
    let first = fleet.ask(0, renewal("broker-desk", &ticket, "17")).await;
    assert_eq!(first.outcome, Some(Outcome::Answered), "{first:?}");
    for router in [0, 1] {
        let repeated = fleet.ask(router, renewal("broker-desk", &ticket, "17"));
        assert_eq!(repeated.await, first);
    }
    assert_eq!(desk.runs().values().sum::<u32>(), 1);
}

#[async_std::test]
async fn handle_repeated_long_answer() {
    // Guards against a caller that repeats a request and gets the first part of its answer as
    // a complete one: the answer was too long to be recorded, and its beginning was.
    let engine = engine::start(engine::Opts {
        first: Duration::ZERO,
        gap: Duration::from_micros(10),
        ..engine::Opts::default()
    });
    let engine = engine.await.unwrap();
    let fleet = TestFleet::start(1, "drafting-llm", engine.addr).await;
    let ticket = fleet.ticket(0);
    let body = r#"{"stream":true,"max_tokens":4000,"messages":[]}"#;
    let first = fleet.ask(0, renewal("drafting-llm", &ticket, body)).await;
    assert!(
        first.complete && first.body.len() > 256 * 1024,
        "{} bytes",
        first.body.len()
    );
    let repeated = fleet.ask(0, renewal("drafting-llm", &ticket, body)).await;
    assert_eq!(
        (repeated.status, repeated.outcome),
        (409, Some(Outcome::Answered))
    );
    assert!(
        text(&repeated).contains("ticket-used"),
        "{}",
        text(&repeated)
    );
}

#[async_std::test]
async fn handle_other_request_with_ticket() {
    // Guards against a renewal that is answered but never done: a client used one ticket for
    // two renewals and got the answer to the first for the second.
    let desk = plain::start(plain::Opts::default()).await.unwrap();
    let fleet = TestFleet::start(1, "broker-desk", desk.addr).await;
    let ticket = fleet.ticket(0);
    fleet.ask(0, renewal("broker-desk", &ticket, "17")).await;
    let other = fleet.ask(0, renewal("broker-desk", &ticket, "18")).await;
    assert_eq!((other.status, other.outcome), (409, Some(Outcome::NotRun)));
    assert_eq!(desk.runs().values().sum::<u32>(), 1);
}

fn text(answer: &CallerAnswer) -> String {
    String::from_utf8_lossy(&answer.body).into_owned()
}
