//! Routers on loopback, and requests to them.

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
        Ask,
        Body,
        Gone,
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

/// A bound that only a hang passes.
const BOUND: Duration = Duration::from_secs(60);

pub(crate) struct Stage {
    pub(crate) routers: Vec<RouterHandle>,
    _platform: stand_in::Handle,
}

/// What a caller got.
#[derive(Debug, PartialEq)]
pub(crate) struct Got {
    pub(crate) status: u16,
    pub(crate) outcome: Option<Outcome>,
    pub(crate) headers: Vec<(String, String)>,
    pub(crate) body: Vec<u8>,
    /// A streamed body came to its end.
    pub(crate) whole: bool,
}

/// Waits until `done` says so.
pub(crate) async fn until(what: &str, done: impl Fn() -> bool) {
    let begin = Instant::now();
    while !done() {
        assert!(begin.elapsed() < BOUND, "{what} did not come about");
        task::sleep(Duration::from_millis(5)).await;
    }
}

impl Stage {
    /// Starts routers with the shipped configuration and one endpoint of a service.
    pub(crate) async fn start(routers: usize, service: &str, endpoint: SocketAddr) -> Stage {
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
        let stage = Stage {
            routers: started,
            _platform: platform,
        };
        until("a ready fleet", || stage.ready(routers)).await;
        stage
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

    /// Has a router answer a request.
    pub(crate) async fn ask(&self, router: usize, request: Request) -> Got {
        self.ask_until(router, request, Gone::new()).await
    }

    /// The same, with a caller who may hang up.
    pub(crate) async fn ask_until(&self, router: usize, request: Request, gone: Gone) -> Got {
        let router = self.routers[router].router.clone();
        let request = Box::new(request);
        let response = handle(router, Ask::Request { request, gone }).await;
        got(response).await
    }

    pub(crate) fn ticket(&self, router: usize) -> String {
        let router = &self.routers[router].router;
        let now = router.now();
        let tickets = lock(&router.tickets).issue(1, now);
        tickets[0].to_string()
    }
}

async fn got(response: Response) -> Got {
    let mut got = Got {
        status: response.status,
        outcome: response.outcome,
        headers: response.headers,
        body: Vec::new(),
        whole: false,
    };
    match response.body {
        Body::Whole(bytes) => (got.body, got.whole) = (bytes, true),
        Body::Stream(pieces) => {
            while let Ok(piece) = pieces.recv().await {
                match piece {
                    Piece::Data(bytes) => got.body.extend(bytes),
                    Piece::End => got.whole = true,
                    Piece::Fail(refused) => got.outcome = Some(refused.outcome),
                }
            }
        }
    }
    got
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

/// Makes a request by `london`.
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
