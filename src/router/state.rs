//! The tables of one router.

use {
    super::{
        changes::ChangeLog,
        clock::Clock,
        delta::History,
        jobs::{
            Jobs,
            Verdict, //
        },
        messages::Item,
        tally::Tally,
        times::Times, //
    },
    crate::conf::Settings,
    kvstore::{
        store::Config,
        Listed, //
    },
    operators::{
        Fleet,
        Loader, //
    },
    peers::Links,
    policy::{
        head::Head,
        members::Members,
        retry::{
            Budget,
            BudgetLimits, //
        },
        tickets::{
            Holder,
            Tickets, //
        },
        Action,
        Dispatch,
        ReplicaId,
        ServiceId,
        Time, //
    },
    std::{
        collections::HashMap,
        sync::{
            atomic::{
                AtomicBool,
                Ordering, //
            },
            Arc,
            Mutex,
            MutexGuard, //
        },
    },
};

/// What is in force and where it came from.
#[derive(Debug)]
pub(crate) struct InForce {
    /// The highest revision heard of, and whom it can be had from.
    pub(crate) head: Head,
    /// The whole configuration, to hand on to peers.
    pub(crate) config: Option<Arc<Config>>,
    /// The parts of those before it, for peers that are behind.
    pub(crate) history: History,
    /// Reads the parts that changed.
    pub(crate) loader: Loader,
    /// The same, for look-ups.
    pub(crate) fleet: Arc<Fleet>,
}

/// The instances, as last listed.
#[derive(Debug, Default)]
pub(crate) struct Listing {
    /// The list.
    pub(crate) listed: Arc<Listed>,
    /// What changed in it, for peers that are behind.
    pub(crate) log: ChangeLog,
    /// Replicas seen leaving by themselves, and until when that is believed.
    pub(crate) withdrawn: HashMap<ReplicaId, Time>,
    /// Since when all who read the list have a lower revision.
    pub(crate) above: Option<Time>,
}

/// One router: its tables, and what they are driven by.
///
/// Lock order: `force`, `listing`, `members`, `tickets`, `dispatch`, `jobs`; `budgets`,
/// `times` and `tally` are taken alone. A task that
/// needs two takes them in this order; none is held across an await.
#[derive(Debug)]
pub(crate) struct Router {
    pub(crate) settings: Settings,
    pub(crate) me: Holder,
    pub(crate) clock: Clock,
    pub(crate) links: Arc<Links<Item>>,
    pub(crate) endpoints: endpoints::Client,
    pub(crate) force: Mutex<InForce>,
    pub(crate) listing: Mutex<Listing>,
    pub(crate) members: Mutex<Members>,
    pub(crate) tickets: Mutex<Tickets>,
    pub(crate) dispatch: Mutex<Dispatch>,
    pub(crate) jobs: Mutex<Jobs>,
    pub(crate) budgets: Mutex<HashMap<ServiceId, Budget>>,
    /// The dispatch had something to do since the last tick.
    pub(crate) stirred: AtomicBool,
    /// This router takes no new work any more.
    pub(crate) leaving: AtomicBool,
    /// The list of instances is being fetched from a peer.
    pub(crate) fetching: AtomicBool,
    /// The platform did not answer this router's last call.
    pub(crate) no_platform: AtomicBool,
    /// What workspaces asked of this router.
    pub(crate) tally: Mutex<Tally>,
    /// How long requests of a profile ran of late.
    pub(crate) times: Mutex<Times>,
}

/// Locks a table. A thread that panicked with the lock held has left a table that was
/// changed by whole steps only, so the others go on with it.
pub(crate) fn lock<T>(m: &Mutex<T>) -> MutexGuard<'_, T> {
    m.lock().unwrap_or_else(|e| e.into_inner())
}

impl Router {
    pub(crate) fn now(&self) -> Time {
        self.clock.now()
    }

    /// Returns how this router calls the platform.
    pub(crate) fn platform_options(&self) -> kvstore::Options {
        kvstore::Options::new(self.settings.platform, self.me.router.as_str())
    }

    /// Runs a step of a service's retry budget.
    pub(crate) fn budget<R>(
        &self,
        service: &ServiceId,
        step: impl FnOnce(&mut Budget, Time) -> R,
    ) -> R {
        let now = self.now();
        let mut budgets = lock(&self.budgets);
        let budget = budgets
            .entry(service.clone())
            .or_insert_with(|| Budget::new(BudgetLimits::default()));
        step(budget, now)
    }

    /// Runs a step of the dispatch and does what it decides.
    pub(crate) fn dispatch<R>(&self, step: impl FnOnce(&mut Dispatch, Time) -> R) -> R {
        let mut dispatch = lock(&self.dispatch);
        let out = step(&mut dispatch, self.clock.now());
        let actions = dispatch.take_actions();
        if !actions.is_empty() {
            self.stirred.store(true, Ordering::Relaxed);
        }
        for action in actions {
            self.act(action);
        }
        out
    }

    fn act(&self, action: Action) {
        let (job, verdict) = match action {
            Action::Send { to, msg } => return self.links.send(&to, Item::Share(msg)),
            Action::Start { job, replica } => (job, Verdict::Start(replica)),
            Action::Reject {
                job,
                reason: why,
                retry_after: after,
            } => (job, Verdict::Refuse { why, after }),
        };
        if !lock(&self.jobs).tell(job, verdict) {
            log::debug!("router: a decision came for a request that nobody waits for");
        }
    }

    pub(crate) fn fleet(&self) -> Arc<Fleet> {
        lock(&self.force).fleet.clone()
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }
}
