//! The platform's lagging list of instances, and what replicas say of themselves.

use {
    super::{
        changes::Changes,
        messages::{
            Answer,
            Item,
            Question, //
        },
        state::{
            lock,
            Router, //
        },
    },
    async_std::task,
    kvstore::{
        Instance,
        Instances,
        Listed,
        Role,
        State, //
    },
    policy::{
        head::{
            watchers,
            WATCHER_COUNT, //
        },
        members::{
            self,
            Member, //
        },
        Replica,
        ReplicaId,
        RouterId,
        ServiceId,
        Span, //
    },
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        sync::{
            atomic::Ordering,
            Arc, //
        },
        time::Duration, //
    },
};

/// How often a watcher of the list polls it.
const POLL: Duration = Duration::from_secs(1);
/// How long a peer may take to answer.
const ASK: Duration = Duration::from_secs(2);
/// How long all who read the list may be behind this router before it takes their list.
const ANEW: Span = Span::secs(3);
/// How long a replica's own word that it leaves stands against a list that lags.
const WITHDRAWN: Span = Span::secs(30);
/// How long before that ends the others are told again.
const WITHDRAWN_AGAIN: Span = Span::secs(20);

/// When a list replaces the one at hand.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Taken {
    Always,
    IfLater,
}

/// A fetch under way. Its end, also by a panic, lets the next one begin.
struct Fetching(Arc<Router>);

impl Drop for Fetching {
    fn drop(&mut self) {
        self.0.fetching.store(false, Ordering::Release);
    }
}

/// Polls the list while this router is one of its watchers.
pub(crate) async fn run(router: Arc<Router>) {
    let mut instances = Instances::new(router.platform_options());
    loop {
        if router.watches("list") {
            let polled = instances.poll().await;
            router.no_platform.store(polled.is_err(), Ordering::Relaxed);
            match polled {
                // A platform that was restarted lists nothing until the instances have come
                // back. It would show as requests that find no endpoint, all of them. The
                // routers themselves are listed, so that an empty list can't be true.
                Ok(Some(listed)) if listed.instances.is_empty() => {
                    log::warn!("platform: its list is empty; the last one stays");
                }
                Ok(Some(listed)) => router.take_list(listed, Taken::Always),
                Ok(None) => {}
                Err(e) => log::debug!("platform: the list can't be read: {e}"),
            }
        }
        router.believe_list_again();
        task::sleep(POLL).await;
    }
}

impl Router {
    /// Tells whether this router is one of those that watch a key on the platform.
    pub(crate) fn watches(&self, key: &str) -> bool {
        let view = lock(&self.members).view();
        watchers(&view, key, WATCHER_COUNT).contains(&self.me.router)
    }

    /// Learns from a heartbeat which list a peer has.
    pub(crate) fn list_head(self: &Arc<Router>, from: &RouterId, revision: u64) {
        let listing = lock(&self.listing);
        let (ours, above) = (listing.listed.revision, listing.above);
        drop(listing);
        if revision == ours && above.is_none() {
            return;
        }
        // A watcher that restarts empty while the platform is down has no list but its
        // peers'. It would show as a router that knows of no endpoint.
        let reads = self.watches("list") && !self.no_platform.load(Ordering::Relaxed);
        let anew = self.numbered_anew(from, ours);
        if reads || revision == ours || (revision < ours && !anew) {
            return;
        }
        let Some(addr) = self.links.addr(from) else {
            return;
        };
        // One question at a time: a heartbeat comes four times a second from each peer.
        if self.fetching.swap(true, Ordering::AcqRel) {
            return;
        }
        let fetching = Fetching(self.clone());
        task::spawn(async move {
            let router = &fetching.0;
            if let Some(listed) = router.fetch_list(addr, ours).await {
                let taken = if anew { Taken::Always } else { Taken::IfLater };
                router.take_list(listed, taken);
            }
        });
    }

    /// Asks a peer for its list: for what changed, or for all where that does not fit.
    async fn fetch_list(&self, addr: SocketAddr, ours: u64) -> Option<Listed> {
        for have in [ours, 0] {
            let asked = self.links.ask(addr, &Question::List(have), ASK).await;
            let Ok(Answer::List(Some(changes))) = asked else {
                return None;
            };
            let known = lock(&self.listing).listed.clone();
            if let Some(listed) = changes.apply(&known) {
                return Some(listed);
            }
        }
        None
    }

    /// Tells whether `from` reads a list that the platform has begun to number anew.
    ///
    /// Its revisions are then below those that this router has, and would never be taken: an
    /// endpoint that leaves goes on getting work from most routers. A reader that is only
    /// behind has caught up after a poll or two.
    fn numbered_anew(&self, from: &RouterId, ours: u64) -> bool {
        let view = lock(&self.members).view();
        let ids = watchers(&view, "list", WATCHER_COUNT);
        let reads = |m: &&Member| ids.contains(&m.id) && m.id != self.me.router && !m.no_platform;
        let readers: Vec<&Member> = view.iter().filter(reads).collect();
        let above = readers.iter().all(|m| m.list > 0 && m.list < ours);
        let now = self.now();
        let mut listing = lock(&self.listing);
        if readers.is_empty() || !above {
            listing.above = None;
            return false;
        }
        let since = *listing.above.get_or_insert(now);
        now.since(since) > ANEW && readers.iter().any(|m| m.id == *from)
    }

    /// Returns what a peer lacks of the list, if it has another.
    pub(crate) fn list_beyond(&self, have: u64) -> Option<Changes> {
        let listing = lock(&self.listing);
        let other = listing.listed.revision != have;
        other.then(|| listing.log.since(have, &listing.listed))
    }

    /// Takes a list: the platform's always, a peer's if it is later than the one at hand,
    /// or numbered anew.
    ///
    /// The answer of a peer can be overtaken by the platform's own. The older list would
    /// stay, as the next poll finds nothing new, and show as work for an endpoint that left.
    pub(super) fn take_list(&self, listed: Listed, taken: Taken) {
        let routers = listed.instances.iter().filter_map(router_of).collect();
        let now = self.now();
        let listed = Arc::new(listed);
        let mut listing = lock(&self.listing);
        let old = listing.listed.clone();
        if taken == Taken::IfLater && listed.revision <= old.revision {
            return;
        }
        listing.log.record(&old, &listed);
        listing.listed = listed;
        listing.above = None;
        drop(listing);
        lock(&self.members).update_list(routers, now);
        self.follow_members();
        // A first list that names nobody else changes no member, but the dispatch waits to
        // hear just that.
        if old.revision == 0 {
            self.members_changed();
        }
        self.apply_list();
    }

    /// Tells the dispatch which replicas there are.
    pub(crate) fn apply_list(&self) {
        let now = self.now();
        let fleet = self.fleet();
        let mut listing = lock(&self.listing);
        listing.withdrawn.retain(|_, until| *until > now);
        let mut services: BTreeMap<ServiceId, Vec<Replica>> = BTreeMap::new();
        for service in fleet.document().services.keys() {
            services.insert(service.clone(), Vec::new());
        }
        for instance in &listing.listed.instances {
            let Some(mut replica) = replica_of(instance) else {
                continue;
            };
            replica.leaving |= listing.withdrawn.contains_key(&replica.id);
            let list = services.entry(replica.service.clone()).or_default();
            list.push(replica);
        }
        self.dispatch(|d, now| {
            for (service, list) in services {
                d.set_replicas(&service, list, now);
            }
        });
    }

    /// Gives work again to replicas whose own word that they leave has become old.
    fn believe_list_again(&self) {
        let now = self.now();
        let listing = lock(&self.listing);
        let old = listing.withdrawn.values().any(|until| *until <= now);
        drop(listing);
        if old {
            self.apply_list();
        }
    }

    /// Gives no more work to a replica that said it is leaving, and tells the others.
    ///
    /// The list lags, so a leaving endpoint would show as refusals for seconds. What it
    /// says itself is believed at once, for a while, until the list has caught up. While
    /// it goes on saying so, the others are told again before they stop believing it.
    pub(crate) fn noticed_leaving(&self, replica: &ReplicaId) {
        let now = self.now();
        let until = lock(&self.listing).withdrawn.get(replica).copied();
        if until.is_some_and(|until| until.since(now) > WITHDRAWN_AGAIN) {
            return;
        }
        log::info!("endpoints: {replica} says that it is leaving");
        self.withdraw(replica);
        let view = lock(&self.members).view();
        for m in view.iter().filter(|m| m.id != self.me.router) {
            self.links.send(&m.id, Item::Withdrawn(replica.clone()));
        }
    }

    /// Gives no more work to a replica.
    pub(crate) fn withdraw(&self, replica: &ReplicaId) {
        let until = self.now() + WITHDRAWN;
        lock(&self.listing).withdrawn.insert(replica.clone(), until);
        self.dispatch(|d, now| d.withdraw(replica, now));
    }
}

fn router_of(i: &Instance) -> Option<members::Listed> {
    if i.role != Role::Router {
        return None;
    }
    Some(members::Listed {
        id: i.name.parse().ok()?,
        addr: i.addr,
        callers: i.callers?,
        zone: i.zone.clone(),
        leaving: i.state == State::Leaving,
    })
}

fn replica_of(i: &Instance) -> Option<Replica> {
    if i.role != Role::Endpoint {
        return None;
    }
    Some(Replica {
        id: i.addr.to_string().parse().ok()?,
        service: i.service.clone()?,
        zone: i.zone.clone(),
        leaving: i.state == State::Leaving,
    })
}
