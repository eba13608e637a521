//! The platform's list of instances, which lags, and leave reports of the replicas themselves.

use {
    super::{
        changes::Changes,
        messages::{
            Answer,
            PeerMessage,
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
const POLL_INTERVAL: Duration = Duration::from_secs(1);
/// How long a peer may take to answer.
const LIST_TIMEOUT: Duration = Duration::from_secs(2);
/// How long all readers of the list may be behind this router before it adopts their list.
const RENUMBER_DELAY: Span = Span::secs(3);
/// How long a replica's report that it is leaving overrides the list, which lags.
const WITHDRAWN_TTL: Span = Span::secs(30);
/// Remaining time below which a repeated report is sent to the peers again.
const WITHDRAWN_RESEND: Span = Span::secs(20);

/// When a list replaces the current one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ListPolicy {
    Always,
    IfNewer,
}

/// Marks a fetch in progress; dropping it, also in a panic, allows the next one.
struct FetchGuard(Arc<Router>);

impl Drop for FetchGuard {
    fn drop(&mut self) {
        self.0.fetching_list.store(false, Ordering::Release);
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
                // A restarted platform lists nothing until the instances have registered again,
                // and with its list no request would find an endpoint. An empty list can't be
                // right, since the routers are in it.
                Ok(Some(listed)) if listed.instances.is_empty() => {
                    log::warn!(
                        "platform: the list of instances is empty; the previous one is kept"
                    );
                }
                Ok(Some(listed)) => router.accept_list(listed, ListPolicy::Always),
                Ok(None) => {}
                Err(e) => log::debug!("platform: can't read the list of instances: {e}"),
            }
        }
        router.expire_withdrawals();
        task::sleep(POLL_INTERVAL).await;
    }
}

impl Router {
    /// Returns whether this router is one of the watchers of a key on the platform.
    pub(crate) fn watches(&self, key: &str) -> bool {
        let view = lock(&self.members).view();
        watchers(&view, key, WATCHER_COUNT).contains(&self.me.router)
    }

    /// Records the list revision of a peer's heartbeat, and fetches its list if needed.
    pub(crate) fn observe_peer_list(self: &Arc<Router>, from: &RouterId, revision: u64) {
        let listing = lock(&self.listing);
        let (ours, behind_since) = (listing.listed.revision, listing.behind_since);
        drop(listing);
        if revision == ours && behind_since.is_none() {
            return;
        }
        // A watcher that can't reach the platform takes its peers' list too. Otherwise one that
        // restarts without state while the platform is down would know no endpoint.
        let reads_platform = self.watches("list") && !self.no_platform.load(Ordering::Relaxed);
        let renumbered = self.is_renumbered(from, ours);
        if reads_platform || revision == ours || (revision < ours && !renumbered) {
            return;
        }
        let Some(addr) = self.links.addr(from) else {
            return;
        };
        // One fetch at a time: each peer sends a heartbeat four times a second.
        if self.fetching_list.swap(true, Ordering::AcqRel) {
            return;
        }
        let guard = FetchGuard(self.clone());
        task::spawn(async move {
            let router = &guard.0;
            if let Some(listed) = router.fetch_list(addr, ours).await {
                let policy = if renumbered {
                    ListPolicy::Always
                } else {
                    ListPolicy::IfNewer
                };
                router.accept_list(listed, policy);
            }
        });
    }

    /// Fetches a peer's list: as changes, or complete if those do not apply.
    async fn fetch_list(&self, addr: SocketAddr, ours: u64) -> Option<Listed> {
        for have in [ours, 0] {
            let reply = self
                .links
                .ask(addr, &Question::List(have), LIST_TIMEOUT)
                .await;
            let Ok(Answer::List(Some(changes))) = reply else {
                return None;
            };
            let known = lock(&self.listing).listed.clone();
            if let Some(listed) = changes.apply(&known) {
                return Some(listed);
            }
        }
        None
    }

    /// Returns whether `from` reads a list whose numbering the platform has restarted.
    ///
    /// Its revisions are then below that of this router and would never be accepted, so that
    /// an endpoint that leaves would go on getting requests from most routers. A reader that
    /// only lags catches up within a poll or two.
    fn is_renumbered(&self, from: &RouterId, ours: u64) -> bool {
        let view = lock(&self.members).view();
        let ids = watchers(&view, "list", WATCHER_COUNT);
        let reads_platform =
            |m: &&Member| ids.contains(&m.id) && m.id != self.me.router && !m.no_platform;
        let readers: Vec<&Member> = view.iter().filter(reads_platform).collect();
        let all_behind = readers.iter().all(|m| m.list > 0 && m.list < ours);
        let now = self.now();
        let mut listing = lock(&self.listing);
        if readers.is_empty() || !all_behind {
            listing.behind_since = None;
            return false;
        }
        let since = *listing.behind_since.get_or_insert(now);
        now.since(since) > RENUMBER_DELAY && readers.iter().any(|m| m.id == *from)
    }

    /// Returns the changes to the list since the peer's revision, if that is not the current one.
    pub(crate) fn list_changes_since(&self, have: u64) -> Option<Changes> {
        let listing = lock(&self.listing);
        let other = listing.listed.revision != have;
        other.then(|| listing.changes.since(have, &listing.listed))
    }

    /// Accepts a list: the platform's always, a peer's if it is newer than the current one or
    /// has a restarted numbering.
    ///
    /// The answer of a peer can arrive after a newer list of the platform. The older list
    /// would stay, as the next poll finds nothing new, and requests would go to an endpoint
    /// that left.
    pub(super) fn accept_list(&self, listed: Listed, policy: ListPolicy) {
        let routers = listed.instances.iter().filter_map(router_of).collect();
        let now = self.now();
        let listed = Arc::new(listed);
        let mut listing = lock(&self.listing);
        let old = listing.listed.clone();
        if policy == ListPolicy::IfNewer && listed.revision <= old.revision {
            return;
        }
        listing.changes.record(&old, &listed);
        listing.listed = listed;
        listing.behind_since = None;
        drop(listing);
        lock(&self.members).update_list(routers, now);
        self.follow_members();
        // A first list without other routers changes no member, but the dispatch waits for
        // exactly that information.
        if old.revision == 0 {
            self.update_members();
        }
        self.update_replicas();
    }

    /// Passes the listed replicas to the dispatch.
    pub(crate) fn update_replicas(&self) {
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

    /// Makes replicas available again whose report that they are leaving has expired.
    fn expire_withdrawals(&self) {
        let now = self.now();
        let listing = lock(&self.listing);
        let old = listing.withdrawn.values().any(|until| *until <= now);
        drop(listing);
        if old {
            self.update_replicas();
        }
    }

    /// Withdraws a replica that reported it is leaving, and informs the peers.
    ///
    /// The list lags, so a leaving endpoint would reject requests for seconds. Its own report
    /// therefore takes effect at once, for a limited time in which the list catches up. If it
    /// reports again, the peers are informed again before the report expires there.
    pub(crate) fn report_leaving(&self, replica: &ReplicaId) {
        let now = self.now();
        let until = lock(&self.listing).withdrawn.get(replica).copied();
        if until.is_some_and(|until| until.since(now) > WITHDRAWN_RESEND) {
            return;
        }
        log::info!("endpoints: {replica} reports that it is leaving");
        self.withdraw(replica);
        let view = lock(&self.members).view();
        for m in view.iter().filter(|m| m.id != self.me.router) {
            self.links
                .send(&m.id, PeerMessage::Withdrawn(replica.clone()));
        }
    }

    /// Sends no more requests to a replica.
    pub(crate) fn withdraw(&self, replica: &ReplicaId) {
        let until = self.now() + WITHDRAWN_TTL;
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
        caller_addr: i.callers?,
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
