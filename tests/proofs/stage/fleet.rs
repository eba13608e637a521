//! A fleet: the platform, endpoints and routers.

use {
    super::{
        router::Router,
        slots::Slot,
        wait::wait_for, //
    },
    async_std::task::block_on,
    callers::{
        Client,
        ClientSettings, //
    },
    kvstore::{
        store::{
            self,
            Applied,
            ApplyError,
            Base,
            Change,
            Revision, //
        },
        Kv,
    },
    operators::{
        MemberState,
        State as RouterState, //
    },
    standins::{
        engine, plain,
        platform::{
            self as stand_in,
            Instance,
            Role,
            State, //
        },
    },
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        time::Duration, //
    },
};

const ZONES: [&str; 3] = ["hall-a", "hall-b", "hall-c"];

/// What a fleet consists of.
#[derive(Debug, Clone)]
pub(crate) struct Plan {
    pub(crate) routers: usize,
    pub(crate) engines: usize,
    pub(crate) plains: usize,
    /// How late the platform's list is.
    pub(crate) lag: Duration,
    /// How long a request takes at a plain service.
    pub(crate) work: Duration,
    /// Time between an engine's tokens.
    pub(crate) gap: Duration,
}

impl Default for Plan {
    fn default() -> Plan {
        Plan {
            routers: 3,
            engines: 2,
            plains: 2,
            lag: Duration::ZERO,
            work: Duration::ZERO,
            gap: Duration::from_millis(5),
        }
    }
}

/// A running fleet; its processes end with it.
#[derive(Debug)]
pub(crate) struct Fleet {
    pub(crate) platform: stand_in::Handle,
    pub(crate) engines: Vec<engine::Handle>,
    pub(crate) plains: Vec<plain::Handle>,
    pub(crate) routers: Vec<Router>,
    slot: Slot,
}

impl Fleet {
    /// Starts everything and waits until every router is ready and knows the others.
    pub(crate) fn start(plan: Plan) -> Fleet {
        let fleet = Fleet::prepare(plan);
        fleet.configure(operators::FLEET);
        let mut fleet = fleet;
        for r in &mut fleet.routers {
            r.start();
        }
        fleet.wait_ready();
        fleet
    }

    /// Starts the stand-ins, and prepares routers without starting them.
    pub(crate) fn prepare(plan: Plan) -> Fleet {
        let slot = Slot::take();
        let options = stand_in::Options {
            lag: plan.lag,
            ..stand_in::Options::default()
        };
        let platform = block_on(stand_in::start(options)).unwrap();
        let engines = (0..plan.engines).map(|_| {
            let opts = engine::Opts {
                gap: plan.gap,
                ..engine::Opts::default()
            };
            block_on(engine::start(opts)).unwrap()
        });
        let plains = (0..plan.plains).map(|_| {
            let opts = plain::Opts {
                work: plan.work,
                ..plain::Opts::default()
            };
            block_on(plain::start(opts)).unwrap()
        });
        let routers = (0..plan.routers).map(|n| Router::new(&slot, n, platform.addr));
        let fleet = Fleet {
            engines: engines.collect(),
            plains: plains.collect(),
            routers: routers.collect(),
            platform,
            slot,
        };
        fleet.list_all();
        fleet
    }

    /// Lists the routers and all endpoints.
    pub(crate) fn list_all(&self) {
        let engines: Vec<_> = self.engines.iter().map(|e| e.addr).collect();
        let plains: Vec<_> = self.plains.iter().map(|p| p.addr).collect();
        self.list_at(&engines, &plains);
    }

    /// Lists the routers, and endpoints at these addresses.
    pub(crate) fn list_at(&self, engines: &[SocketAddr], plains: &[SocketAddr]) {
        let routers = self.routers.iter().map(Router::entry);
        let engines = engines.iter().enumerate();
        let engines = engines.map(|(i, a)| endpoint("drafting-llm", i, *a));
        let plains = plains.iter().enumerate();
        let plains = plains.map(|(i, a)| endpoint("broker-desk", i, *a));
        let list = routers.chain(engines).chain(plains).collect();
        self.platform.put_instances(list);
    }

    /// Writes a first configuration.
    pub(crate) fn configure(&self, text: &str) {
        self.change(text, Revision::NONE).unwrap();
    }

    /// Writes a configuration where `base` is the revision in force.
    pub(crate) fn change(&self, text: &str, base: Revision) -> Result<Applied, ApplyError> {
        let kv = Kv::new(kvstore::Options::new(self.platform.addr, "proofs"));
        let change = Change {
            base: Base::from(base),
            parts: store::split("fleet", text),
            writer: "proofs".to_owned(),
            floor: Revision::NONE,
        };
        block_on(store::apply(&kv, change))
    }

    /// Waits until a revision is in force on every router named, and returns how long.
    pub(crate) fn wait_force(&self, routers: &[usize], revision: Revision) -> Duration {
        let (_, took) = wait_for("a revision is in force", || {
            let mut all = routers.iter().map(|n| self.routers[*n].status());
            let there = all.all(|s| s.is_some_and(|s| s.revision >= revision.0));
            there.then_some(())
        });
        took
    }

    /// Lets each router's settings name the others, for when the list can't be had.
    pub(crate) fn name_seeds(&self) {
        let ways: Vec<SocketAddr> = self.routers.iter().map(|r| r.way.addr).collect();
        for (n, r) in self.routers.iter().enumerate() {
            let others = ways.iter().filter(|w| **w != r.way.addr);
            let others: Vec<SocketAddr> = others.copied().collect();
            r.write_settings(self.slot.address(n, 1), self.platform.addr, &others);
        }
    }

    /// Parts some routers from all others, both ways.
    pub(crate) fn part(&self, some: &[usize]) {
        for (i, a) in self.routers.iter().enumerate() {
            for (j, b) in self.routers.iter().enumerate() {
                if some.contains(&i) != some.contains(&j) {
                    b.way.block(&a.name);
                }
            }
        }
    }

    /// Ends every fault of the ways between routers.
    pub(crate) fn rejoin(&self) {
        for r in &self.routers {
            r.way.heal();
        }
    }

    /// Waits until every router is ready and knows all endpoints and routers.
    pub(crate) fn wait_ready(&self) {
        for r in &self.routers {
            wait_for("every router is ready", || {
                self.is_ready(r, self.routers.len()).then_some(())
            });
        }
    }

    /// Tells whether a router is ready and sees this many live routers.
    pub(crate) fn is_ready(&self, router: &Router, live: usize) -> bool {
        let Some(status) = router.status() else {
            return false;
        };
        let replicas: u32 = status.services.iter().map(|s| s.replicas).sum();
        let members = status.members.iter();
        let up = members.filter(|m| m.state == MemberState::Live).count();
        status.state == RouterState::Ready
            && replicas as usize == self.engines.len() + self.plains.len()
            && up == live
    }

    /// Returns where callers may ask.
    pub(crate) fn callers(&self) -> Vec<SocketAddr> {
        self.routers.iter().map(|r| r.callers).collect()
    }

    /// Returns a client that knows every router.
    pub(crate) fn client(&self) -> Client {
        Client::new(ClientSettings::new(self.callers()))
    }

    /// Returns how often each request id ran, over all endpoints.
    pub(crate) fn runs(&self) -> BTreeMap<String, u32> {
        let engines = self.engines.iter().map(engine::Handle::runs);
        let plains = self.plains.iter().map(plain::Handle::runs);
        let mut all = BTreeMap::new();
        for (id, n) in engines.chain(plains).flatten() {
            *all.entry(id).or_default() += n;
        }
        all
    }

    /// Returns how often the request of a ticket ran.
    pub(crate) fn runs_of(&self, ticket: &str) -> u32 {
        let id = ticket.replace('/', ".");
        self.runs().get(&id).copied().unwrap_or_default()
    }
}

fn endpoint(service: &str, i: usize, addr: SocketAddr) -> Instance {
    Instance {
        name: format!("{service}-{}", i + 1),
        role: Role::Endpoint,
        service: Some(service.to_owned()),
        addr,
        callers: None,
        zone: ZONES[i % ZONES.len()].to_owned(),
        state: State::Live,
    }
}
