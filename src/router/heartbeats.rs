//! Heartbeats and membership: which other routers are up.

use {
    super::{
        messages::{
            Answer,
            KnownRouter,
            PeerMessage,
            Question, //
        },
        state::{
            lock,
            Router, //
        },
    },
    async_std::task,
    policy::{
        members::{
            Event,
            LocalStatus,
            Member,
            RouterAddresses,
            State, //
        },
        Peer,
        PeerState,
        Zone, //
    },
    std::{
        sync::{
            atomic::Ordering,
            Arc, //
        },
        time::Duration, //
    },
};

/// How often the membership state machine is advanced.
const TICK_INTERVAL: Duration = Duration::from_millis(125);
/// How often the seed addresses are contacted while no other router is known.
const SEED_INTERVAL: Duration = Duration::from_millis(500);
/// How long a peer may take to answer a hello.
const HELLO_TIMEOUT: Duration = Duration::from_secs(1);

/// Keeps the members up to date for as long as the process runs.
pub(crate) async fn run(router: Arc<Router>) {
    task::spawn(contact_seeds(router.clone()));
    loop {
        tick(&router);
        task::sleep(TICK_INTERVAL).await;
    }
}

fn tick(router: &Arc<Router>) {
    let local_status = local_status(router);
    let mut members = lock(&router.members);
    members.set_local_status(local_status);
    members.tick(router.now());
    drop(members);
    router.follow_members();
}

fn local_status(router: &Router) -> LocalStatus {
    let config = lock(&router.current_config)
        .head
        .revision()
        .map_or(0, |r| r.0);
    let list = lock(&router.listing).listed.revision;
    let load = lock(&router.dispatch).running() as u32;
    LocalStatus {
        leaving: router.is_leaving(),
        no_platform: router.no_platform.load(Ordering::Relaxed),
        config,
        list,
        load,
    }
}

impl Router {
    /// Carries out the events of the membership: sends heartbeats and applies changes.
    pub(crate) fn follow_members(&self) {
        let events = lock(&self.members).take_events();
        for event in events {
            match event {
                Event::SendHeartbeat {
                    to,
                    addr,
                    heartbeat,
                } => {
                    let zone = lock(&self.members).get(&to).map(|m| m.zone.clone());
                    let delay = zone.map_or(Duration::ZERO, |z| self.link_delay(&z));
                    self.links.set_route(&to, addr, delay);
                    self.links.send(&to, PeerMessage::Heartbeat(*heartbeat));
                }
                Event::Changed => self.update_members(),
                Event::Replaced(incarnation) => {
                    log::error!(
                        "router: a later incarnation ({incarnation}) of {} is running; \
                         this one shuts down, give each router its own name",
                        self.me.router
                    );
                    self.leave();
                }
            }
        }
    }

    /// Returns the artificial delay of frames to a zone, which is zero outside measurements.
    fn link_delay(&self, zone: &Zone) -> Duration {
        match *zone == self.settings.zone {
            true => Duration::ZERO,
            false => self.settings.zone_delay,
        }
    }

    pub(crate) fn update_members(&self) {
        // The lock is held so that concurrent changes reach the dispatch in their order.
        // Otherwise it could go on asking a dead owner for slots until the next change.
        let members = lock(&self.members);
        let mut view = members.view();
        view.retain(|m| m.id != self.me.router);
        log::info!("router: {} other routers are up", view.len());
        self.update_links(&view);
        let others: Vec<Peer> = view.iter().map(peer).collect();
        self.dispatch(|d, now| d.set_routers(others, now));
    }

    /// Keeps a link to each router that is up, and to no other.
    ///
    /// A large fleet sends heartbeats to most routers rarely, so the links can't wait for the
    /// first heartbeat. A router without a link to the owner of a pool would drop its reports
    /// and run with its static fraction.
    fn update_links(&self, up: &[Member]) {
        for m in up {
            self.links
                .set_route(&m.id, m.addr, self.link_delay(&m.zone));
        }
        self.links.retain(|id| up.iter().any(|m| m.id == *id));
    }
}

fn peer(m: &Member) -> Peer {
    let state = match m.state {
        _ if m.leaving => PeerState::Leaving,
        State::Suspect => PeerState::Suspect,
        _ => PeerState::Live,
    };
    Peer {
        id: m.id.clone(),
        incarnation: m.incarnation,
        zone: m.zone.clone(),
        state,
    }
}

/// Sends hellos to the seed addresses, less often once other routers are known.
///
/// A router that restarts without state while the platform is down has no list, and would
/// never become ready. It finds its peers by the seed addresses of its settings.
async fn contact_seeds(router: Arc<Router>) {
    if router.settings.seeds.is_empty() {
        return;
    }
    let me = KnownRouter {
        id: router.me.router.clone(),
        addresses: local_addresses(&router),
    };
    loop {
        for addr in &router.settings.seeds {
            let question = Question::Hello(me.clone());
            let reply = router.links.ask(*addr, &question, HELLO_TIMEOUT).await;
            if let Ok(Answer::Hello(known)) = reply {
                router.add_routers(known);
            }
        }
        let pause = match lock(&router.members).view().len() {
            0 | 1 => SEED_INTERVAL,
            _ => SEED_INTERVAL * 20,
        };
        task::sleep(pause).await;
    }
}

pub(crate) fn local_addresses(router: &Router) -> RouterAddresses {
    RouterAddresses {
        addr: router.settings.peers.advertise,
        caller_addr: router.settings.callers.advertise,
        operator_addr: Some(router.settings.operators.advertise),
        zone: router.settings.zone.clone(),
    }
}

impl Router {
    /// Adds routers that a peer reported.
    pub(crate) fn add_routers(&self, known: Vec<KnownRouter>) {
        let now = self.now();
        let mut members = lock(&self.members);
        for k in known {
            if k.id != self.me.router {
                members.seed(k.id, k.addresses, now);
            }
        }
        drop(members);
        self.follow_members();
    }

    /// Returns this router and those that it considers up.
    pub(crate) fn known_routers(&self) -> Vec<KnownRouter> {
        let view = lock(&self.members).view();
        let known = view.into_iter().map(|m| KnownRouter {
            id: m.id,
            addresses: RouterAddresses {
                addr: m.addr,
                caller_addr: m.caller_addr,
                operator_addr: m.operator_addr,
                zone: m.zone,
            },
        });
        known.collect()
    }
}
