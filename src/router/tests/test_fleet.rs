//! A fleet of routers on loopback, and requests to it.

use {
    crate::{
        conf::Settings,
        router::{
            requests::handle,
            start,
            state::lock,
            RouterHandle, //
        },
    },
    async_std::task,
    callers::{
        Body,
        DisconnectSignal,
        IncomingRequest,
        Piece,
        Request,
        RequestId,
        Response, //
    },
    kvstore::{
        store::{
            self,
            Base,
            Change,
            Revision, //
        },
        Kv,
    },
    policy::Outcome,
    standins::platform as stand_in,
    std::{
        net::SocketAddr,
        time::{
            Duration,
            Instant, //
        },
    },
};

/// Longer than any step takes, unless it hangs.
const TIMEOUT: Duration = Duration::from_secs(60);

pub(crate) struct TestFleet {
    pub(crate) routers: Vec<RouterHandle>,
    _platform: stand_in::Handle,
}

/// An answer as the caller received it.
#[derive(Debug, PartialEq)]
pub(crate) struct CallerAnswer {
    pub(crate) status: u16,
    pub(crate) outcome: Option<Outcome>,
    pub(crate) headers: Vec<(String, String)>,
    pub(crate) body: Vec<u8>,
    /// The body is complete.
    pub(crate) complete: bool,
}

/// Waits until `done` returns true.
pub(crate) async fn until(what: &str, done: impl Fn() -> bool) {
    let begin = Instant::now();
    while !done() {
        assert!(begin.elapsed() < TIMEOUT, "timeout waiting for {what}");
        task::sleep(Duration::from_millis(5)).await;
    }
}

impl TestFleet {
    /// Starts routers with the shipped configuration and one endpoint of a service.
    pub(crate) async fn start(routers: usize, service: &str, endpoint: SocketAddr) -> TestFleet {
        let platform = stand_in::start(stand_in::Options::default()).await.unwrap();
        configure(platform.addr).await;
        let mut list = vec![stand_in::Instance {
            name: "endpoint".to_owned(),
            role: stand_in::Role::Endpoint,
            service: Some(service.to_owned()),
            addr: endpoint,
            callers: None,
            zone: "hall-a".to_owned(),
            state: stand_in::State::Live,
        }];
        let mut started = Vec::new();
        for i in 0..routers {
            let name = format!("router-{i}").parse().unwrap();
            let zone = "hall-a".parse().unwrap();
            let mut settings = Settings::loopback(name, zone, platform.addr);
            let listeners = settings.bind().unwrap();
            list.push(stand_in::Instance {
                name: settings.name.to_string(),
                role: stand_in::Role::Router,
                service: None,
                addr: settings.peers.advertise,
                callers: Some(settings.callers.advertise),
                zone: "hall-a".to_owned(),
                state: stand_in::State::Live,
            });
            started.push(start(settings, listeners));
        }
        platform.put_instances(list);
        let fleet = TestFleet {
            routers: started,
            _platform: platform,
        };
        until("a ready fleet", || fleet.ready(routers)).await;
        fleet
    }

    fn ready(&self, routers: usize) -> bool {
        self.routers.iter().all(|r| {
            let status = r.router.status();
            let replicas: u32 = status.services.iter().map(|s| s.replicas).sum();
            let members = status.members.iter();
            let live = members.filter(|m| m.state == operators::MemberState::Live);
            status.state == operators::State::Ready && replicas == 1 && live.count() == routers
        })
    }

    /// Sends a request to a router and returns its answer.
    pub(crate) async fn ask(&self, router: usize, request: Request) -> CallerAnswer {
        self.ask_with_gone(router, request, DisconnectSignal::new())
            .await
    }

    /// The same, for a caller that may hang up.
    pub(crate) async fn ask_with_gone(
        &self,
        router: usize,
        request: Request,
        gone: DisconnectSignal,
    ) -> CallerAnswer {
        let router = self.routers[router].router.clone();
        let request = Box::new(request);
        let response = handle(
            router,
            IncomingRequest::Request {
                request,
                disconnect: gone,
            },
        )
        .await;
        collect(response).await
    }

    pub(crate) fn ticket(&self, router: usize) -> String {
        let router = &self.routers[router].router;
        let now = router.now();
        let tickets = lock(&router.tickets).issue(1, now);
        tickets[0].to_string()
    }
}

async fn collect(response: Response) -> CallerAnswer {
    let mut answer = CallerAnswer {
        status: response.status,
        outcome: response.outcome,
        headers: response.headers,
        body: Vec::new(),
        complete: false,
    };
    match response.body {
        Body::Complete(bytes) => (answer.body, answer.complete) = (bytes, true),
        Body::Stream(pieces) => {
            while let Ok(piece) = pieces.recv().await {
                match piece {
                    Piece::Data(bytes) => answer.body.extend(bytes),
                    Piece::End => answer.complete = true,
                    Piece::Fail(refused) => answer.outcome = Some(refused.outcome),
                }
            }
        }
    }
    answer
}

async fn configure(platform: SocketAddr) {
    let kv = Kv::new(kvstore::Options::new(platform, "test"));
    let change = Change {
        base: Base::default(),
        parts: store::split("fleet", operators::FLEET),
        writer: "test".to_owned(),
        floor: Revision::NONE,
    };
    store::apply(&kv, change).await.unwrap();
}

/// Returns a request of the workspace `london`.
pub(crate) fn request(service: &str, profile: &str, body: &str) -> Request {
    let target = match service {
        "drafting-llm" => "/v1/chat/completions",
        _ => "/records",
    };
    Request {
        service: service.parse().unwrap(),
        workspace: "london".parse().unwrap(),
        profile: profile.parse().unwrap(),
        deadline: None,
        ticket: None,
        id: RequestId::random(),
        method: "POST".to_owned(),
        target: target.to_owned(),
        headers: Vec::new(),
        body: body.as_bytes().to_vec(),
        peer: ([127, 0, 0, 1], 1).into(),
    }
}
