//! The configuration in force: from the platform for a few watchers, from peers for all.

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

/// Pause of a router that does not watch, before it looks whether it should.
const LOOK: Duration = Duration::from_millis(250);
/// How soon a router that lost the platform, and does not watch, tries again.
const AGAIN: Span = Span::secs(30);
/// How long a peer may take to answer.
const ASK: Duration = Duration::from_secs(2);
/// How often hanging fetches are looked after.
const TICK: Duration = Duration::from_millis(250);

/// Watches the platform while this router is one of the watchers.
pub(crate) async fn watch(router: Arc<Router>) {
    let kv = Kv::new(router.platform_options());
    let mut watcher = Watcher::new();
    let mut tried = router.now();
    loop {
        if !router.watches("config") && !router.tries_again(tried) {
            task::sleep(LOOK).await;
            continue;
        }
        tried = router.now();
        let have = lock(&router.force).config.clone();
        let next = watcher.next(&kv, have.as_deref()).await;
        let lost = matches!(next, Err(ReadError::Kv(_)));
        router.no_platform.store(lost, Ordering::Relaxed);
        match next {
            Ok(seen) => router.seen(&kv, seen).await,
            Err(e) => log::debug!("platform: the configuration can't be read: {e}"),
        }
    }
}

/// Tries fetches that hang at other sources.
pub(crate) async fn tend(router: Arc<Router>) {
    loop {
        let decision = lock(&router.force).head.tick(router.now());
        router.follow_head(decision);
        task::sleep(TICK).await;
    }
}

impl Router {
    /// Tells whether to look if the platform is back.
    ///
    /// A router that lost the platform is no watcher while others reach it. It would stay
    /// out for good, and a fleet that lost it in turn would have no watcher left, if it did
    /// not try again by itself.
    fn tries_again(&self, tried: Time) -> bool {
        self.no_platform.load(Ordering::Relaxed) && self.now().since(tried) > AGAIN
    }

    async fn seen(&self, kv: &Kv, seen: Seen) {
        match seen {
            Seen::Same => self.confirm_platform(),
            Seen::Newer(config) => {
                self.take_config(config, &Source::Platform);
            }
            Seen::Older { revision } => {
                log::warn!(
                    "config: the platform has revision {revision}, older than the one in \
                     force, which stays; it is written back"
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
        let mut force = lock(&self.force);
        if let Some(revision) = force.head.revision() {
            let now = self.clock.now();
            force.head.offer(revision, Source::Platform, now);
        }
    }

    async fn write_back(&self, kv: &Kv) {
        let Some(config) = lock(&self.force).config.clone() else {
            return;
        };
        match repair(kv, &config).await {
            Ok(Repaired::Written) => {
                log::warn!("config: revision {} was written back", config.revision);
            }
            Ok(Repaired::NotNeeded) => {}
            Err(e) => log::warn!("config: it can't be written back yet: {e}"),
        }
    }

    /// Learns from a heartbeat which configuration a peer has in force.
    pub(crate) fn config_head(self: &Arc<Router>, from: &RouterId, revision: u64) {
        let source = Source::Peer(from.clone());
        let now = self.now();
        let decision = lock(&self.force)
            .head
            .offer(Revision(revision), source, now);
        self.follow_head(decision);
    }

    fn follow_head(self: &Arc<Router>, decision: Decision) {
        let Decision::Fetch {
            from: Source::Peer(peer),
            ..
        } = decision
        else {
            return;
        };
        let router = self.clone();
        task::spawn(async move { router.fetch(peer).await });
    }

    async fn fetch(self: &Arc<Router>, peer: RouterId) {
        let source = Source::Peer(peer.clone());
        let known = lock(&self.force).config.clone();
        let have = known.as_ref().map_or(Revision::NONE, |c| c.revision);
        let mut config = self.config_of(&peer, have, known.as_deref()).await;
        // The peer may have had another text under the revision in force here, as after a
        // restored platform. What changed since then fits nothing here, however often it
        // is asked for, so the whole is.
        if config.is_none() && known.is_some() {
            config = self.config_of(&peer, Revision::NONE, None).await;
        }
        let taken = config.is_some_and(|c| self.take_config(c, &source));
        if !taken {
            let decision = lock(&self.force).head.failed(&source, self.now());
            self.follow_head(decision);
        }
    }

    /// Asks a peer for its configuration, as changes to the one that is known here.
    async fn config_of(
        &self,
        peer: &RouterId,
        have: Revision,
        known: Option<&Config>,
    ) -> Option<Config> {
        let addr = self.links.addr(peer)?;
        let question = Question::Config(have);
        match self.links.ask(addr, &question, ASK).await {
            Ok(Answer::Config(Some(delta))) => delta.apply(known),
            _ => None,
        }
    }

    /// Returns what a peer lacks of the configuration, if this router has a higher one.
    pub(crate) fn config_above(&self, have: Revision) -> Option<Delta> {
        let force = lock(&self.force);
        let config = force.config.as_ref()?;
        (config.revision > have).then(|| force.history.delta(config, have))
    }

    /// Puts a configuration in force, if it is valid and higher than the one in force.
    ///
    /// Returns whether it is usable, in force or not.
    pub(crate) fn take_config(&self, config: Config, from: &Source) -> bool {
        let mut force = lock(&self.force);
        let fleet = match force.loader.load(&config) {
            Ok(fleet) => fleet,
            Err(e) => {
                log::error!("config: revision {} is not valid: {e}", config.revision);
                return false;
            }
        };
        let revision = config.revision;
        let hash = delta::hash(&config.parts);
        match force.head.fetched(revision, hash, self.clock.now()) {
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
        force.fleet = Arc::new(fleet);
        force.history.push(&config);
        force.config = Some(Arc::new(config));
        log::info!("config: revision {revision} of {from} is in force");
        // Rules follow in the order of revisions only while the table stays locked.
        self.dispatch(|d, now| d.configure(rules, now));
        drop(force);
        metrics::gauge!("chervilwind_config_revision").set(revision.0 as f64);
        self.apply_list();
        true
    }
}
