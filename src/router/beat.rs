//! Heartbeats: who the other routers are.

use {
    super::{
        messages::{
            Answer,
            Item,
            Known,
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

/// How often the members are looked after.
const TICK: Duration = Duration::from_millis(125);
/// How often the addresses that the settings name are asked while nobody else is known.
const SEEDING: Duration = Duration::from_millis(500);
/// How long a peer may take to answer a greeting.
const HELLO: Duration = Duration::from_secs(1);

/// Keeps the members up to date for as long as the process runs.
pub(crate) async fn run(router: Arc<Router>) {
    task::spawn(greet(router.clone()));
    loop {
        tick(&router);
        task::sleep(TICK).await;
    }
}

fn tick(router: &Arc<Router>) {
    let own = own(router);
    let mut members = lock(&router.members);
    members.set_local_status(own);
    members.tick(router.now());
    drop(members);
    router.follow_members();
}

fn own(router: &Router) -> LocalStatus {
    let config = lock(&router.force).head.revision().map_or(0, |r| r.0);
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
    /// Sends what the members want sent, and passes on what changed.
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
                    let delay = zone.map_or(Duration::ZERO, |z| self.way(&z));
                    self.links.set_route(&to, addr, delay);
                    self.links.send(&to, Item::Beat(*heartbeat));
                }
                Event::Changed => self.members_changed(),
                Event::Replaced(incarnation) => {
                    log::error!(
                        "router: a later start ({incarnation}) of {} is about; \
                         this one hands back its work, give each router its own name",
                        self.me.router
                    );
                    self.leave();
                }
            }
        }
    }

    /// Time that each frame to a zone is held back. It is zero outside measurements.
    fn way(&self, zone: &Zone) -> Duration {
        match *zone == self.settings.zone {
            true => Duration::ZERO,
            false => self.settings.zone_delay,
        }
    }

    pub(crate) fn members_changed(&self) {
        // Two changes that are followed at once must reach the dispatch in their order: it
        // would otherwise go on asking a dead owner for slots until the next change.
        let members = lock(&self.members);
        let mut view = members.view();
        view.retain(|m| m.id != self.me.router);
        log::info!("router: {} other routers are up", view.len());
        self.keep_links(&view);
        let others: Vec<Peer> = view.iter().map(peer).collect();
        self.dispatch(|d, now| d.set_routers(others, now));
    }

    /// Keeps a way to each router that is up, and to no other.
    ///
    /// In a large fleet most routers are beaten seldom. One without a way to the owner of
    /// a pool would have its reports thrown away, and run with its static fraction.
    fn keep_links(&self, up: &[Member]) {
        for m in up {
            self.links.set_route(&m.id, m.addr, self.way(&m.zone));
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

/// Greets the addresses that the settings name until another router is known.
///
/// A router that restarts empty while the platform is down has no list. It would show as
/// a router that never becomes ready; the addresses in its settings lead it to its peers.
async fn greet(router: Arc<Router>) {
    if router.settings.seeds.is_empty() {
        return;
    }
    let me = Known {
        id: router.me.router.clone(),
        intro: intro(&router),
    };
    loop {
        for addr in &router.settings.seeds {
            let question = Question::Hello(me.clone());
            let asked = router.links.ask(*addr, &question, HELLO).await;
            if let Ok(Answer::Hello(known)) = asked {
                router.meet(known);
            }
        }
        let pause = match lock(&router.members).view().len() {
            0 | 1 => SEEDING,
            _ => SEEDING * 20,
        };
        task::sleep(pause).await;
    }
}

pub(crate) fn intro(router: &Router) -> RouterAddresses {
    RouterAddresses {
        addr: router.settings.peers.advertise,
        caller_addr: router.settings.callers.advertise,
        operator_addr: Some(router.settings.operators.advertise),
        zone: router.settings.zone.clone(),
    }
}

impl Router {
    /// Takes over routers that another one named.
    pub(crate) fn meet(&self, known: Vec<Known>) {
        let now = self.now();
        let mut members = lock(&self.members);
        for k in known {
            if k.id != self.me.router {
                members.seed(k.id, k.intro, now);
            }
        }
        drop(members);
        self.follow_members();
    }

    /// Returns this router and those it knows to be up.
    pub(crate) fn known(&self) -> Vec<Known> {
        let view = lock(&self.members).view();
        let known = view.into_iter().map(|m| Known {
            id: m.id,
            intro: RouterAddresses {
                addr: m.addr,
                caller_addr: m.caller_addr,
                operator_addr: m.operator_addr,
                zone: m.zone,
            },
        });
        known.collect()
    }
}
