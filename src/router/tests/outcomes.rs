use {
    super::test_fleet::{
        request,
        until,
        TestFleet, //
    },
    crate::router::state::lock,
    futures_lite::future::zip,
    policy::{
        Outcome,
        Rules, //
    },
    standins::{
        plain,
        Fault, //
    },
    std::time::Duration, //
};

#[async_std::test]
async fn handle_rejected_after_lost_attempt() {
    // Guards against "not run" for a request that an endpoint ran: the first answer was lost,
    // operators removed the service meanwhile, and the second attempt was rejected. Only that
    // attempt did not run.
    let work = Duration::from_millis(300);
    let desk = plain::start(plain::Opts {
        work,
        ..plain::Opts::default()
    });
    let desk = desk.await.unwrap();
    let fleet = TestFleet::start(1, "broker-desk", desk.addr).await;
    desk.faults.order(Fault::ResetUnanswered, 1);
    let pending = fleet.ask(0, request("broker-desk", "lookup", "17"));
    let left = async {
        until("a run", || !desk.runs().is_empty()).await;
        let router = &fleet.routers[0].router;
        router.dispatch(|d, now| d.configure(Rules::default(), now));
    };
    let (answer, ()) = zip(pending, left).await;
    assert_eq!(answer.outcome, Some(Outcome::MayHaveRun), "{answer:?}");
}

#[async_std::test]
async fn handle_not_admitted_after_lost_attempt() {
    // The same, if the first answer is lost and the endpoint rejects all later attempts.
    let desk = plain::start(plain::Opts::default()).await.unwrap();
    let fleet = TestFleet::start(1, "broker-desk", desk.addr).await;
    desk.faults.order(Fault::ResetUnanswered, 1);
    desk.faults.order(Fault::Refuse, 10);
    let answer = fleet.ask(0, request("broker-desk", "lookup", "17")).await;
    assert_eq!(desk.runs().len(), 1);
    assert_eq!(answer.outcome, Some(Outcome::MayHaveRun), "{answer:?}");
}

#[async_std::test]
async fn handle_deadlines_too_short() {
    // Guards against idle endpoints that get no requests: deadlines of one workspace that no
    // endpoint could meet must not count as failures of the endpoint.
    let work = Duration::from_millis(100);
    let desk = plain::start(plain::Opts {
        work,
        ..plain::Opts::default()
    });
    let desk = desk.await.unwrap();
    let fleet = TestFleet::start(1, "broker-desk", desk.addr).await;
    fleet.ask(0, request("broker-desk", "lookup", "17")).await;
    for _ in 0..8 {
        let mut hasty = request("broker-desk", "batch", "17");
        hasty.deadline = Some(Duration::from_millis(20));
        fleet.ask(0, hasty).await;
    }
    assert!(desk.runs().len() > 2, "{} ran", desk.runs().len());
    let router = &fleet.routers[0].router;
    let dispatch = format!("{:?}", lock(&router.dispatch));
    assert!(
        dispatch.contains("Health { failures: 0,"),
        "the endpoint counts as failed"
    );
}

#[async_std::test]
async fn start_without_others() {
    // Guards against a fleet of one router that leaves its endpoints half idle: without a change
    // to the list of routers it never knew that there are no others, so it owned no pool and
    // adjusted no limits.
    let desk = plain::start(plain::Opts::default()).await.unwrap();
    let fleet = TestFleet::start(1, "broker-desk", desk.addr).await;
    let router = &fleet.routers[0].router;
    until("an owner", || {
        let dump = lock(&router.dispatch).dump();
        let mut services = dump.services.iter();
        services.all(|s| s.owner.as_ref() == Some(&router.me.router))
    })
    .await;
}
