//! The state of one router.

use {
    super::{
        changes::ChangeLog,
        clock::Clock,
        counters::RequestCounters,
        delta::History,
        jobs::{
            JobDecision,
            PendingJobs, //
        },
        messages::PeerMessage,
        run_times::RunTimes, //
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

/// The configuration in force and its source.
#[derive(Debug)]
pub(crate) struct CurrentConfig {
    /// The highest revision known, and the sources that have it.
    pub(crate) head: Head,
    /// The complete configuration, to send to peers.
    pub(crate) config: Option<Arc<Config>>,
    /// The parts of earlier configurations, for deltas to peers that are behind.
    pub(crate) history: History,
    /// Parses only the parts that changed.
    pub(crate) loader: Loader,
    /// The parsed configuration, for lookups.
    pub(crate) fleet: Arc<Fleet>,
}

/// The list of instances, as last read.
#[derive(Debug, Default)]
pub(crate) struct Listing {
    /// The list.
    pub(crate) listed: Arc<Listed>,
    /// Changes of the list, for peers that are behind.
    pub(crate) changes: ChangeLog,
    /// Replicas that reported leaving, and until when that overrides the list.
    pub(crate) withdrawn: HashMap<ReplicaId, Time>,
    /// Since when all routers that read the list have had a lower revision.
    pub(crate) behind_since: Option<Time>,
}

/// One router: its state machines, its settings and its connections.
///
/// Lock order: `current_config`, `listing`, `members`, `tickets`, `dispatch`, `jobs`. A task
/// that needs two takes them in this order. `retry_budgets`, `run_times` and `counters` are
/// taken alone. No lock is held across an await.
#[derive(Debug)]
pub(crate) struct Router {
    pub(crate) settings: Settings,
    pub(crate) me: Holder,
    pub(crate) clock: Clock,
    pub(crate) links: Arc<Links<PeerMessage>>,
    pub(crate) endpoints: endpoints::Client,
    pub(crate) current_config: Mutex<CurrentConfig>,
    pub(crate) listing: Mutex<Listing>,
    pub(crate) members: Mutex<Members>,
    pub(crate) tickets: Mutex<Tickets>,
    pub(crate) dispatch: Mutex<Dispatch>,
    pub(crate) jobs: Mutex<PendingJobs>,
    pub(crate) retry_budgets: Mutex<HashMap<ServiceId, Budget>>,
    /// The dispatch decided on an action since the last tick.
    pub(crate) dispatch_acted: AtomicBool,
    /// This router accepts no new requests.
    pub(crate) leaving: AtomicBool,
    /// The list of instances is being fetched from a peer.
    pub(crate) fetching_list: AtomicBool,
    /// The platform did not answer this router's last call.
    pub(crate) no_platform: AtomicBool,
    /// Requests and service received, by workspace and service.
    pub(crate) counters: Mutex<RequestCounters>,
    /// How long recent requests of a profile ran.
    pub(crate) run_times: Mutex<RunTimes>,
}

/// Locks a mutex, also after a thread panicked while it held the lock. State is changed by
/// complete steps only, so that other threads can go on with it.
pub(crate) fn lock<T>(m: &Mutex<T>) -> MutexGuard<'_, T> {
    m.lock().unwrap_or_else(|e| e.into_inner())
}

impl Router {
    pub(crate) fn now(&self) -> Time {
        self.clock.now()
    }

    /// Returns the options of this router for calls to the platform.
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
        let mut budgets = lock(&self.retry_budgets);
        let budget = budgets
            .entry(service.clone())
            .or_insert_with(|| Budget::new(BudgetLimits::default()));
        step(budget, now)
    }

    /// Runs a step of the dispatch and carries out the actions that it decides on.
    pub(crate) fn dispatch<R>(&self, step: impl FnOnce(&mut Dispatch, Time) -> R) -> R {
        let mut dispatch = lock(&self.dispatch);
        let out = step(&mut dispatch, self.clock.now());
        let actions = dispatch.take_actions();
        if !actions.is_empty() {
            self.dispatch_acted.store(true, Ordering::Relaxed);
        }
        for action in actions {
            self.perform(action);
        }
        out
    }

    fn perform(&self, action: Action) {
        let (job, decision) = match action {
            Action::Send { to, msg } => return self.links.send(&to, PeerMessage::Dispatch(msg)),
            Action::Start { job, replica } => (job, JobDecision::Start(replica)),
            Action::Reject {
                job,
                reason,
                retry_after,
            } => (
                job,
                JobDecision::Reject {
                    reason,
                    retry_after,
                },
            ),
        };
        if !lock(&self.jobs).send_decision(job, decision) {
            log::debug!("router: a decision arrived for a request that no task waits for");
        }
    }

    pub(crate) fn fleet(&self) -> Arc<Fleet> {
        lock(&self.current_config).fleet.clone()
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }
}
