//! The demo's fleet: a platform, endpoints and three routers on loopback.

use {
    super::Control,
    crate::{
        conf::Settings,
        errors::Error,
        router::{
            self,
            RouterHandle, //
        },
    },
    async_std::task,
    kvstore::{
        store::{
            self,
            Base,
            Change,
            Revision, //
        },
        Kv,
    },
    standins::{
        engine,
        plain,
        platform as stand_in, //
    },
    std::{
        net::SocketAddr,
        sync::Arc,
        time::{
            Duration,
            Instant, //
        },
    },
};

const ZONES: [&str; 3] = ["hall-a", "hall-b", "hall-c"];
const ENGINES: usize = 6;
const PLAINS: usize = 3;
/// How long the fleet may take to become ready.
const READY: Duration = Duration::from_secs(10);

/// A running fleet.
pub(crate) struct Stage {
    pub(crate) routers: Vec<RouterHandle>,
    pub(crate) engines: Vec<Arc<engine::Handle>>,
    pub(crate) plains: Vec<plain::Handle>,
    _platform: stand_in::Handle,
}

impl Stage {
    /// Starts everything and waits until every router is ready and knows the others.
    pub(crate) async fn start() -> Result<Stage, Error> {
        let platform = stand_in::start(stand_in::Options::default())
            .await
            .map_err(cannot)?;
        let mut engines = Vec::new();
        for _ in 0..ENGINES {
            let engine = engine::start(engine::Opts::default()).await;
            engines.push(Arc::new(engine.map_err(cannot)?));
        }
        let mut plains = Vec::new();
        for _ in 0..PLAINS {
            plains.push(plain::start(plain::Opts::default()).await.map_err(cannot)?);
        }
        configure(platform.addr).await?;
        let mut routers = Vec::new();
        let mut listed = Vec::new();
        for (i, zone) in ZONES.iter().enumerate() {
            let name = format!("router-{}", i + 1);
            let mut settings = Settings::loopback(
                name.parse().map_err(internal)?,
                zone.parse().map_err(internal)?,
                platform.addr,
            );
            let listeners = settings.bind()?;
            listed.push(router_entry(&settings));
            routers.push(router::start(settings, listeners));
        }
        for (i, e) in engines.iter().enumerate() {
            listed.push(endpoint_entry("drafting-llm", i, e.addr));
        }
        for (i, p) in plains.iter().enumerate() {
            listed.push(endpoint_entry("broker-desk", i, p.addr));
        }
        platform.put_instances(listed);
        let stage = Stage {
            routers,
            engines,
            plains,
            _platform: platform,
        };
        stage.wait_ready().await?;
        Ok(stage)
    }

    async fn wait_ready(&self) -> Result<(), Error> {
        let begin = Instant::now();
        while !self.ready() {
            if begin.elapsed() > READY {
                return Err(Error::Failed(
                    "the demo's fleet did not become ready".to_owned(),
                    "run it on a machine that is less busy".to_owned(),
                ));
            }
            task::sleep(Duration::from_millis(20)).await;
        }
        Ok(())
    }

    fn ready(&self) -> bool {
        self.routers.iter().all(|r| {
            let status = r.router.status();
            let replicas: u32 = status.services.iter().map(|s| s.replicas).sum();
            let members = status.members.iter();
            let live = members.filter(|m| m.state == operators::MemberState::Live);
            status.state == operators::State::Ready
                && replicas as usize == ENGINES + PLAINS
                && live.count() == ZONES.len()
        })
    }

    /// Returns the addresses that callers ask first.
    pub(crate) fn addresses(&self) -> Vec<SocketAddr> {
        let routers = self.routers.iter();
        routers
            .map(|r| r.router.settings.callers.advertise)
            .collect()
    }

    /// Returns the requests that must not be repeated and ran more than once.
    pub(crate) fn doubled(&self) -> Vec<String> {
        let engines = self.engines.iter().map(|e| e.runs());
        let plains = self.plains.iter().map(|p| p.runs());
        let mut seen = std::collections::BTreeMap::<String, u32>::new();
        for runs in engines.chain(plains) {
            for (id, n) in runs {
                *seen.entry(id).or_default() += n;
            }
        }
        seen.into_iter()
            .filter(|(_, n)| *n > 1)
            .map(|(id, n)| format!("request {id} ran {n} times"))
            .collect()
    }

    /// Returns each router's control traffic over `seconds`.
    pub(crate) fn control(&self, seconds: f64) -> Vec<Control> {
        let routers = self.routers.iter();
        routers
            .map(|r| Control {
                router: r.router.me.router.to_string(),
                rate: r.router.status().control as f64 / seconds,
            })
            .collect()
    }

    /// Ends the routers as SIGTERM would.
    pub(crate) async fn end(self) {
        for r in &self.routers {
            r.shut_down().await;
        }
    }
}

async fn configure(platform: SocketAddr) -> Result<(), Error> {
    let kv = Kv::new(kvstore::Options::new(platform, "demo"));
    let change = Change {
        base: Base::default(),
        parts: store::split("fleet", operators::FLEET),
        writer: "demo".to_owned(),
        floor: Revision::NONE,
    };
    store::apply(&kv, change).await.map_err(internal)?;
    Ok(())
}

fn router_entry(s: &Settings) -> stand_in::Instance {
    stand_in::Instance {
        name: s.name.to_string(),
        role: stand_in::Role::Router,
        service: None,
        addr: s.peers.advertise,
        callers: Some(s.callers.advertise),
        zone: s.zone.to_string(),
        state: stand_in::State::Live,
    }
}

fn endpoint_entry(service: &str, i: usize, addr: SocketAddr) -> stand_in::Instance {
    stand_in::Instance {
        name: format!("{service}-{}", i + 1),
        role: stand_in::Role::Endpoint,
        service: Some(service.to_owned()),
        addr,
        callers: None,
        zone: ZONES[i % ZONES.len()].to_owned(),
        state: stand_in::State::Live,
    }
}

fn cannot(e: std::io::Error) -> Error {
    internal(e)
}

fn internal(e: impl std::fmt::Display) -> Error {
    Error::Failed(
        format!("the demo can't start: {e}"),
        "see that the loopback address has free ports".to_owned(),
    )
}
