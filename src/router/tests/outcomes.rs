use {
    super::stage::{
        request,
        until,
        Stage, //
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
async fn handle_refused_after_lost_try() {
    // An importer's lookup is answered "not run", though an endpoint ran it. The answer
    // was lost, operators took the service away meanwhile, and the second try was refused:
    // that one did not run.
    let work = Duration::from_millis(300);
    let desk = plain::start(plain::Opts {
        work,
        ..plain::Opts::default()
    });
    let desk = desk.await.unwrap();
    let stage = Stage::start(1, "broker-desk", desk.addr).await;
    desk.faults.order(Fault::ResetUnanswered, 1);
    let asked = stage.ask(0, request("broker-desk", "lookup", "17"));
    let left = async {
        until("a run", || !desk.runs().is_empty()).await;
        let router = &stage.routers[0].router;
        router.dispatch(|d, now| d.configure(Rules::default(), now));
    };
    let (got, ()) = zip(asked, left).await;
    assert_eq!(got.outcome, Some(Outcome::MayHaveRun), "{got:?}");
}

#[async_std::test]
async fn handle_not_admitted_after_lost_try() {
    // The same, where the endpoint lost the first answer and took none of the later tries.
    let desk = plain::start(plain::Opts::default()).await.unwrap();
    let stage = Stage::start(1, "broker-desk", desk.addr).await;
    desk.faults.order(Fault::ResetUnanswered, 1);
    desk.faults.order(Fault::Refuse, 10);
    let got = stage.ask(0, request("broker-desk", "lookup", "17")).await;
    assert_eq!(desk.runs().len(), 1);
    assert_eq!(got.outcome, Some(Outcome::MayHaveRun), "{got:?}");
}

#[async_std::test]
async fn handle_deadlines_too_short() {
    // All workspaces wait though the endpoints are idle. One workspace sends requests
    // whose deadlines nothing could meet, and each counted as a failure of its endpoint.
    let work = Duration::from_millis(100);
    let desk = plain::start(plain::Opts {
        work,
        ..plain::Opts::default()
    });
    let desk = desk.await.unwrap();
    let stage = Stage::start(1, "broker-desk", desk.addr).await;
    stage.ask(0, request("broker-desk", "lookup", "17")).await;
    for _ in 0..8 {
        let mut hasty = request("broker-desk", "batch", "17");
        hasty.deadline = Some(Duration::from_millis(20));
        stage.ask(0, hasty).await;
    }
    assert!(desk.runs().len() > 2, "{} ran", desk.runs().len());
    let router = &stage.routers[0].router;
    let dispatch = format!("{:?}", lock(&router.dispatch));
    assert!(dispatch.contains("fails: 0"), "the endpoint is let alone");
}

#[async_std::test]
async fn start_without_others() {
    // A fleet of one router leaves its endpoints half idle, whatever waits. Its list of
    // routers never changed, so it was never told that there are no others, owned no
    // pool, and learnt no limits.
    let desk = plain::start(plain::Opts::default()).await.unwrap();
    let stage = Stage::start(1, "broker-desk", desk.addr).await;
    let router = &stage.routers[0].router;
    until("an owner", || {
        let dump = lock(&router.dispatch).dump();
        let mut services = dump.services.iter();
        services.all(|s| s.owner.as_ref() == Some(&router.me.router))
    })
    .await;
}
