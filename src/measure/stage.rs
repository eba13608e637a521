//! A measured fleet: routers as processes, the platform and the endpoints in this one.

use {
    super::{
        engines::Engines,
        process::{
            free_ports,
            RouterProcess, //
        },
        setup::{
            router_name,
            zone,
            Setup,
            CAPACITY,
            MODEL,
            PLAIN, //
        },
    },
    crate::errors::Error,
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
    operators::{
        MemberState,
        State,
        Status, //
    },
    standins::{
        engine,
        plain,
        platform as stand_in, //
    },
    std::{
        env, fs,
        net::SocketAddr,
        path::PathBuf,
        process,
        time::{
            Duration,
            Instant, //
        },
    },
};

/// How long the fleet may take to become ready.
const READY: Duration = Duration::from_secs(30);
const LOOK: Duration = Duration::from_millis(100);

/// A running fleet.
#[derive(Debug)]
pub(crate) struct Stage {
    pub(crate) routers: Vec<RouterProcess>,
    pub(crate) engines: Engines,
    pub(crate) plains: Vec<plain::Handle>,
    pub(crate) platform: stand_in::Handle,
    setup: Setup,
    folder: Folder,
}

/// A folder for settings and logs, removed in the end.
#[derive(Debug)]
struct Folder(PathBuf);

impl Stage {
    /// Starts everything and waits until every router knows all the others.
    pub(crate) async fn start(setup: &Setup) -> Result<Stage, Error> {
        let platform = stand_in::start(stand_in::Options::default())
            .await
            .map_err(cannot)?;
        configure(platform.addr, setup).await?;
        let mut stage = Stage {
            routers: Vec::new(),
            engines: Engines::default(),
            plains: Vec::new(),
            platform,
            setup: setup.clone(),
            folder: Folder::make()?,
        };
        for _ in 0..setup.replicas {
            stage.add_engine().await?;
        }
        for i in 0..setup.plains {
            let plain = plain::start(plain::Opts::default()).await.map_err(cannot)?;
            stage.list(endpoint(PLAIN, i, plain.addr));
            stage.plains.push(plain);
        }
        stage.start_routers()?;
        stage.wait_ready().await?;
        Ok(stage)
    }

    /// Starts one more replica of the model, and lists it.
    pub(crate) async fn add_engine(&mut self) -> Result<(), Error> {
        let engine = engine::start(engine::Opts {
            capacity: CAPACITY,
            first: self.setup.first,
            gap: self.setup.gap,
            ..engine::Opts::default()
        });
        let engine = engine.await.map_err(cannot)?;
        let i = self.engines.len();
        self.list(endpoint(MODEL, i, engine.addr));
        self.engines.push(engine);
        Ok(())
    }

    /// Removes one replica of the model in the same way as the platform.
    pub(crate) fn leave_engine(&self, i: usize) {
        let name = format!("{MODEL}-{}", i + 1);
        self.platform.set_state(&name, stand_in::State::Leaving);
        self.engines.leave(i);
    }

    /// Returns where callers reach the routers.
    pub(crate) fn callers(&self) -> Vec<SocketAddr> {
        self.routers.iter().map(|r| r.ports.callers).collect()
    }

    /// Returns where operators reach the routers.
    pub(crate) fn operators(&self) -> Vec<SocketAddr> {
        self.routers.iter().map(|r| r.ports.operators).collect()
    }

    /// Returns what the routers wrote to their logs.
    pub(crate) fn logs(&self) -> Vec<String> {
        let logs = self.routers.iter().map(RouterProcess::log);
        let lines = logs.flat_map(|l| l.lines().map(str::to_owned).collect::<Vec<_>>());
        lines.collect()
    }

    fn start_routers(&mut self) -> Result<(), Error> {
        for (i, ports) in free_ports(self.setup.routers)?.into_iter().enumerate() {
            let settings = self.setup.settings(i, ports, self.platform.addr);
            let name = router_name(i);
            let router = RouterProcess::start(&self.folder.0, &name, &settings, ports)?;
            self.list(stand_in::Instance {
                name,
                role: stand_in::Role::Router,
                service: None,
                addr: ports.peers,
                callers: Some(ports.callers),
                zone: zone(i).to_owned(),
                state: stand_in::State::Live,
            });
            self.routers.push(router);
        }
        Ok(())
    }

    fn list(&self, instance: stand_in::Instance) {
        self.platform.put_instances(vec![instance]);
    }

    async fn wait_ready(&self) -> Result<(), Error> {
        let begin = Instant::now();
        let mut ready = 0;
        while ready < self.routers.len() {
            if begin.elapsed() > READY {
                return Err(not_ready(ready, &self.logs()));
            }
            task::sleep(LOOK).await;
            ready = 0;
            for router in &self.routers {
                let status = router.status().await;
                ready += usize::from(status.is_ok_and(|s| self.is_ready(&s)));
            }
        }
        Ok(())
    }

    fn is_ready(&self, status: &Status) -> bool {
        let replicas: u32 = status.services.iter().map(|s| s.replicas).sum();
        let members = status.members.iter();
        let live = members.filter(|m| m.state == MemberState::Live);
        status.state == State::Ready
            && replicas as usize == self.engines.len() + self.plains.len()
            && live.count() == self.routers.len()
    }
}

impl Folder {
    fn make() -> Result<Folder, Error> {
        let stamp = fastrand::u32(..);
        let name = format!("chervilwind-measure-{}-{stamp:08x}", process::id());
        let path = env::temp_dir().join(name);
        fs::create_dir(&path).map_err(|e| Error::Io("a folder for settings", e))?;
        Ok(Folder(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

async fn configure(platform: SocketAddr, setup: &Setup) -> Result<(), Error> {
    let kv = Kv::new(kvstore::Options::new(platform, "measure"));
    let change = Change {
        base: Base::default(),
        parts: store::split("fleet", &setup.document()),
        writer: "measure".to_owned(),
        floor: Revision::NONE,
    };
    store::apply(&kv, change).await?;
    Ok(())
}

fn endpoint(service: &str, i: usize, addr: SocketAddr) -> stand_in::Instance {
    stand_in::Instance {
        name: format!("{service}-{}", i + 1),
        role: stand_in::Role::Endpoint,
        service: Some(service.to_owned()),
        addr,
        callers: None,
        zone: zone(i).to_owned(),
        state: stand_in::State::Live,
    }
}

fn cannot(e: std::io::Error) -> Error {
    Error::Io("a stand-in can't start", e)
}

fn not_ready(ready: usize, logs: &[String]) -> Error {
    let log = logs.first().map_or("nothing", String::as_str);
    Error::Failed(
        format!("only {ready} routers became ready; their log says: {log}"),
        "run it on a machine that is less busy".to_owned(),
    )
}
