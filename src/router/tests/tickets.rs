use {
    super::stage::{
        request,
        Got,
        Stage, //
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
    let stage = Stage::start(2, "broker-desk", desk.addr).await;
    let ticket = stage.ticket(0);
    let first = stage.ask(0, renewal("broker-desk", &ticket, "17")).await;
    assert_eq!(first.outcome, Some(Outcome::Answered), "{first:?}");
    for router in [0, 1] {
        let again = stage.ask(router, renewal("broker-desk", &ticket, "17"));
        assert_eq!(again.await, first);
    }
    assert_eq!(desk.runs().values().sum::<u32>(), 1);
}

#[async_std::test]
async fn handle_long_answer_again() {
    // A franchisee asks again for the answer to a renewal and gets the first half of it,
    // as a whole answer. It was too long to be recorded, and what had been gathered of it
    // until then was.
    let engine = engine::start(engine::Opts {
        first: Duration::ZERO,
        gap: Duration::from_micros(10),
        ..engine::Opts::default()
    });
    let engine = engine.await.unwrap();
    let stage = Stage::start(1, "drafting-llm", engine.addr).await;
    let ticket = stage.ticket(0);
    let body = r#"{"stream":true,"max_tokens":4000,"messages":[]}"#;
    let first = stage.ask(0, renewal("drafting-llm", &ticket, body)).await;
    assert!(
        first.whole && first.body.len() > 256 * 1024,
        "{} bytes",
        first.body.len()
    );
    let again = stage.ask(0, renewal("drafting-llm", &ticket, body)).await;
    assert_eq!(
        (again.status, again.outcome),
        (409, Some(Outcome::Answered))
    );
    assert!(text(&again).contains("ticket-used"), "{}", text(&again));
}

#[async_std::test]
async fn handle_other_request_with_ticket() {
    // A producer shows as lapsed though its renewal was answered. A client took the same
    // ticket for two renewals, and was given the answer to the first for the second.
    let desk = plain::start(plain::Opts::default()).await.unwrap();
    let stage = Stage::start(1, "broker-desk", desk.addr).await;
    let ticket = stage.ticket(0);
    stage.ask(0, renewal("broker-desk", &ticket, "17")).await;
    let other = stage.ask(0, renewal("broker-desk", &ticket, "18")).await;
    assert_eq!((other.status, other.outcome), (409, Some(Outcome::NotRun)));
    assert_eq!(desk.runs().values().sum::<u32>(), 1);
}

fn text(got: &Got) -> String {
    String::from_utf8_lossy(&got.body).into_owned()
}
