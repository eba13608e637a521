//! The configuration in force: a few watchers get it from the platform, all others from peers.

use {
    super::{
        delta::{
            self,
            Delta, //
        },
        messages::{
            Answer,
            Question, //
        },
        rules::rules,
        state::{
            lock,
            Router, //
        },
    },
    async_std::task,
    kvstore::{
        store::{
            repair,
            Config,
            ReadError,
            Repaired,
            Seen,
            Watcher, //
        },
        Kv,
    },
    policy::{
        head::{
            Decision,
            FetchOutcome,
            Revision,
            Source, //
        },
        RouterId,
        Span,
        Time, //
    },
    std::{
        sync::{
            atomic::Ordering,
            Arc, //
        },
        time::Duration, //
    },
};

/// How often a router that does not watch checks whether it has become a watcher.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Delay before a router that lost the platform, and is no watcher, tries it again.
const PLATFORM_RETRY_INTERVAL: Span = Span::secs(30);
/// How long a peer may take to answer.
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);
/// How often fetches are checked for timeouts.
const FETCH_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Watches the platform while this router is one of the watchers.
pub(crate) async fn watch(router: Arc<Router>) {
    let kv = Kv::new(router.platform_options());
    let mut watcher = Watcher::new();
    let mut last_attempt = router.now();
    loop {
        if !router.watches("config") && !router.should_retry_platform(last_attempt) {
            task::sleep(ROLE_CHECK_INTERVAL).await;
            continue;
        }
        last_attempt = router.now();
        let have = lock(&router.current_config).config.clone();
        let next = watcher.next(&kv, have.as_deref()).await;
        let lost = matches!(next, Err(ReadError::Kv(_)));
        router.no_platform.store(lost, Ordering::Relaxed);
        match next {
            Ok(seen) => router.handle_seen(&kv, seen).await,
            Err(e) => log::debug!("platform: can't read the configuration: {e}"),
        }
    }
}

/// Retries stuck fetches from other sources.
pub(crate) async fn retry_fetches(router: Arc<Router>) {
    loop {
        let decision = lock(&router.current_config).head.tick(router.now());
        router.follow_decision(decision);
        task::sleep(FETCH_CHECK_INTERVAL).await;
    }
}

impl Router {
    /// Returns whether to check if the platform is reachable again.
    ///
    /// A router that lost the platform is no watcher while others reach it. If it did not try
    /// again by itself, it would never become one again, and once all routers had lost the
    /// platform one after the other, the fleet would have no watcher left.
    fn should_retry_platform(&self, last_attempt: Time) -> bool {
        self.no_platform.load(Ordering::Relaxed)
            && self.now().since(last_attempt) > PLATFORM_RETRY_INTERVAL
    }

    async fn handle_seen(&self, kv: &Kv, seen: Seen) {
        match seen {
            Seen::Same => self.confirm_platform(),
            Seen::Newer(config) => {
                self.apply_config(config, &Source::Platform);
            }
            Seen::Older { revision } => {
                log::warn!(
                    "config: the platform has revision {revision}, older than the one in \
                     force, which is kept and written back"
                );
                self.write_back(kv).await;
            }
            Seen::Other { writer } => log::error!(
                "config: the platform has another configuration by {writer} under the \
                 revision in force, which stays; apply the change again"
            ),
        }
    }

    fn confirm_platform(&self) {
        let mut current = lock(&self.current_config);
        if let Some(revision) = current.head.revision() {
            let now = self.clock.now();
            current.head.offer(revision, Source::Platform, now);
        }
    }

    async fn write_back(&self, kv: &Kv) {
        let Some(config) = lock(&self.current_config).config.clone() else {
            return;
        };
        match repair(kv, &config).await {
            Ok(Repaired::Written) => {
                log::warn!("config: revision {} was written back", config.revision);
            }
            Ok(Repaired::NotNeeded) => {}
            Err(e) => log::warn!("config: the write-back failed: {e}"),
        }
    }

    /// Records the configuration revision of a peer's heartbeat, and fetches it if newer.
    pub(crate) fn observe_peer_config(self: &Arc<Router>, from: &RouterId, revision: u64) {
        let source = Source::Peer(from.clone());
        let now = self.now();
        let decision = lock(&self.current_config)
            .head
            .offer(Revision(revision), source, now);
        self.follow_decision(decision);
    }

    fn follow_decision(self: &Arc<Router>, decision: Decision) {
        let Decision::Fetch {
            from: Source::Peer(peer),
            ..
        } = decision
        else {
            return;
        };
        let router = self.clone();
        task::spawn(async move { router.fetch_config(peer).await });
    }

    async fn fetch_config(self: &Arc<Router>, peer: RouterId) {
        let source = Source::Peer(peer.clone());
        let known = lock(&self.current_config).config.clone();
        let have = known.as_ref().map_or(Revision::NONE, |c| c.revision);
        let mut config = self.request_config(&peer, have, known.as_deref()).await;
        // The peer may have another text under the revision in force here, for example after a
        // restore of the platform. Its delta would then never apply, so the complete
        // configuration is requested.
        if config.is_none() && known.is_some() {
            config = self.request_config(&peer, Revision::NONE, None).await;
        }
        let valid = config.is_some_and(|c| self.apply_config(c, &source));
        if !valid {
            let decision = lock(&self.current_config).head.failed(&source, self.now());
            self.follow_decision(decision);
        }
    }

    /// Requests a peer's configuration, as a delta to the one known here.
    async fn request_config(
        &self,
        peer: &RouterId,
        have: Revision,
        known: Option<&Config>,
    ) -> Option<Config> {
        let addr = self.links.addr(peer)?;
        let question = Question::Config(have);
        match self.links.ask(addr, &question, FETCH_TIMEOUT).await {
            Ok(Answer::Config(Some(delta))) => delta.apply(known),
            _ => None,
        }
    }

    /// Returns the delta from a peer's revision, if this router has a higher one.
    pub(crate) fn config_delta_since(&self, have: Revision) -> Option<Delta> {
        let current = lock(&self.current_config);
        let config = current.config.as_ref()?;
        (config.revision > have).then(|| current.history.delta(config, have))
    }

    /// Puts a configuration in force, if it is valid and higher than the one in force.
    ///
    /// Returns whether it is valid, also if it was not put in force.
    pub(crate) fn apply_config(&self, config: Config, from: &Source) -> bool {
        let mut current = lock(&self.current_config);
        let fleet = match current.loader.load(&config) {
            Ok(fleet) => fleet,
            Err(e) => {
                log::error!("config: revision {} is not valid: {e}", config.revision);
                return false;
            }
        };
        let revision = config.revision;
        let hash = delta::hash(&config.parts);
        match current.head.fetched(revision, hash, self.clock.now()) {
            FetchOutcome::InForce => {}
            FetchOutcome::Old => return true,
            FetchOutcome::Conflict { ours, theirs } => {
                log::error!(
                    "config: {from} has another text ({theirs}) under revision {revision} \
                     than the one in force ({ours}), which stays; apply the change again"
                );
                return true;
            }
        }
        let rules = rules(fleet.document());
        current.fleet = Arc::new(fleet);
        current.history.push(&config);
        current.config = Some(Arc::new(config));
        log::info!("config: revision {revision} of {from} is in force");
        // The lock is held so that rules reach the dispatch in the order of revisions.
        self.dispatch(|d, now| d.configure(rules, now));
        drop(current);
        metrics::gauge!("chervilwind_config_revision").set(revision.0 as f64);
        self.update_replicas();
        true
    }
}
