//! Starts a router and its background tasks.

use {
    super::{
        clock::{
            incarnation,
            Clock, //
        },
        config,
        counters::RequestCounters,
        delta::History,
        heartbeats,
        inbox,
        jobs::PendingJobs,
        list,
        loads,
        report,
        requests,
        run_times::RunTimes,
        shutdown,
        state::{
            lock,
            CurrentConfig,
            Listing,
            Router, //
        }, //
    },
    crate::{
        conf::{
            Listeners,
            Settings, //
        },
        errors::Error, //
    },
    async_std::{
        channel::Receiver,
        net::TcpListener,
        task, //
    },
    callers::Server,
    operators::{
        Fleet,
        Loader, //
    },
    peers::{
        LinkTiming,
        Links, //
    },
    policy::{
        head::Head,
        members::{
            Members,
            MembershipParams,
            RouterAddresses, //
        },
        tickets::{
            Holder,
            RetentionLimits,
            Tickets, //
        },
        Dispatch,
        Peer,
        PeerState, //
    },
    std::{
        future::Future,
        sync::{
            atomic::{
                AtomicBool,
                Ordering, //
            },
            Arc,
            Mutex, //
        },
        time::Duration,
    },
};

/// How often the dispatch is ticked while requests are handled.
const BUSY_TICK: Duration = Duration::from_millis(10);
/// How often the dispatch is ticked while the router is idle.
const IDLE_TICK: Duration = Duration::from_millis(50);
/// How often expired tickets are removed.
const TICKET_TICK_INTERVAL: Duration = Duration::from_secs(1);

/// A handle to a router that runs in this process.
pub(crate) struct RouterHandle {
    pub(crate) router: Arc<Router>,
    server: Server,
}

/// Runs a router until it shuts down.
pub(crate) fn run(mut settings: Settings) -> Result<(), Error> {
    let listeners = settings.bind()?;
    operators::start_metrics();
    let signals = shutdown::receive_signals().map_err(|e| {
        Error::Failed(
            format!("can't register signal handlers: {e}"),
            "start it as an ordinary process".to_owned(),
        )
    })?;
    task::block_on(async {
        let started = start(settings, listeners);
        wait_for_end(&started.router, signals).await;
        started.shut_down().await;
    });
    Ok(())
}

/// Waits for a signal, or until the router leaves for another reason.
async fn wait_for_end(router: &Router, signals: Receiver<()>) {
    let left = async {
        while !router.is_leaving() {
            task::sleep(Duration::from_millis(100)).await;
        }
    };
    futures_lite::future::or(left, async {
        let _ = signals.recv().await;
    })
    .await;
}

/// Starts a router's tasks.
pub(crate) fn start(settings: Settings, listeners: Listeners) -> RouterHandle {
    let (limits, peer_limits) = (settings.limits.clone(), settings.peer_limits);
    let router = Arc::new(new_router(settings));
    let handler = router.clone();
    let server = Server::new(limits, move |ask| requests::handle(handler.clone(), ask));
    let callers = TcpListener::from(listeners.callers);
    let accepting = server.clone();
    task::spawn(async move { accepting.serve(callers).await });
    task::spawn(peers::serve(
        TcpListener::from(listeners.peers),
        router.links.clone(),
        inbox::handler(&router),
        peer_limits,
    ));
    let views = report::views(&router);
    task::spawn(async move {
        if let Err(e) = operators::serve(listeners.operators, views).await {
            log::error!("router: the operators' server failed: {e}");
        }
    });
    supervise("beat::run", &router, heartbeats::run);
    supervise("list::run", &router, list::run);
    supervise("loads::run", &router, loads::run);
    supervise("config::watch", &router, config::watch);
    supervise("config::tend", &router, config::retry_fetches);
    supervise("tick", &router, tick);
    supervise("tick_tickets", &router, tick_tickets);
    log::info!("router: {} is up", router.me.router);
    RouterHandle { router, server }
}

/// Spawns a task and restarts it after a panic.
///
/// Without its tick, a router would still send heartbeats and accept requests, but start none.
fn supervise<T, F>(name: &'static str, of: &Arc<T>, task: fn(Arc<T>) -> F)
where
    T: Send + Sync + 'static,
    F: Future<Output = ()> + Send + 'static,
{
    let of = of.clone();
    gateway::supervise(
        move || task(of.clone()),
        move || log::error!("router: {name} panicked and is restarted; see the lines above"),
    );
}

impl RouterHandle {
    /// Shuts the router down without aborting a request in flight.
    pub(crate) async fn shut_down(&self) {
        shutdown::shut_down(&self.router, &self.server).await;
    }
}

fn new_router(settings: Settings) -> Router {
    let me = Holder {
        router: settings.name.clone(),
        incarnation: incarnation(),
    };
    let clock = Clock::new();
    let addresses = RouterAddresses {
        addr: settings.peers.advertise,
        caller_addr: settings.callers.advertise,
        operator_addr: Some(settings.operators.advertise),
        zone: settings.zone.clone(),
    };
    let peer = Peer {
        id: me.router.clone(),
        incarnation: me.incarnation,
        zone: settings.zone.clone(),
        state: PeerState::Live,
    };
    let seed = fastrand::u64(..);
    Router {
        links: Links::new(me.router.clone(), me.incarnation, LinkTiming::default()),
        endpoints: endpoints::Client::new(endpoints::Options::default()),
        current_config: Mutex::new(CurrentConfig {
            head: Head::new(clock.now()),
            config: None,
            history: History::default(),
            loader: Loader::default(),
            fleet: Arc::new(Fleet::default()),
        }),
        listing: Mutex::new(Listing::default()),
        members: Mutex::new(Members::new(
            me.router.clone(),
            me.incarnation,
            addresses,
            MembershipParams::default(),
            seed,
        )),
        tickets: Mutex::new(Tickets::new(me.clone(), RetentionLimits::default())),
        dispatch: Mutex::new(Dispatch::new(peer, seed)),
        jobs: Mutex::new(PendingJobs::default()),
        retry_budgets: Mutex::default(),
        run_times: Mutex::new(RunTimes::default()),
        counters: Mutex::new(RequestCounters::default()),
        leaving: AtomicBool::new(false),
        dispatch_acted: AtomicBool::new(false),
        fetching_list: AtomicBool::new(false),
        no_platform: AtomicBool::new(false),
        me,
        clock,
        settings,
    }
}

async fn tick(router: Arc<Router>) {
    loop {
        let busy = router.dispatch_acted.swap(false, Ordering::Relaxed);
        router.dispatch(|d, now| d.tick(now));
        // A tick without actions does not count, so an idle router changes to the slow tick.
        let acted = router.dispatch_acted.swap(false, Ordering::Relaxed);
        let running = lock(&router.dispatch).running() > 0;
        task::sleep(if busy || acted || running {
            BUSY_TICK
        } else {
            IDLE_TICK
        })
        .await;
    }
}

async fn tick_tickets(router: Arc<Router>) {
    loop {
        let now = router.now();
        lock(&router.tickets).tick(now);
        task::sleep(TICKET_TICK_INTERVAL).await;
    }
}

#[cfg(test)]
mod tests;
