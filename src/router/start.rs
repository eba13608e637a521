//! Starting a router and its tasks.

use {
    super::{
        beat,
        clock::{
            incarnation,
            Clock, //
        },
        config,
        delta::History,
        inbox,
        jobs::Jobs,
        list,
        loads,
        report,
        requests,
        shutdown,
        state::{
            lock,
            InForce,
            Listing,
            Router, //
        },
        tally::Tally,
        times::Times, //
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
    futures_lite::FutureExt,
    operators::{
        Fleet,
        Loader, //
    },
    peers::{
        Links,
        Pace, //
    },
    policy::{
        head::Head,
        members::{
            Intro,
            Members,
            MembershipParams, //
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
        panic::AssertUnwindSafe,
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

/// How often the dispatch is told the time.
const TICK: Duration = Duration::from_millis(10);
/// The same while nothing happens at this router.
const CALM: Duration = Duration::from_millis(50);
/// Pause before a task that panicked is started again.
const AGAIN: Duration = Duration::from_millis(100);
/// How often old tickets are dropped.
const TICKET_TICK: Duration = Duration::from_secs(1);

/// A router that runs in this process.
pub(crate) struct RouterHandle {
    /// Its tables.
    pub(crate) router: Arc<Router>,
    server: Server,
}

/// Runs a router until it is told to end.
pub(crate) fn run(mut settings: Settings) -> Result<(), Error> {
    let listeners = settings.bind()?;
    operators::start_metrics();
    let ends = shutdown::receive_signals().map_err(|e| {
        Error::Failed(
            format!("signals can't be taken: {e}"),
            "start it as an ordinary process".to_owned(),
        )
    })?;
    task::block_on(async {
        let started = start(settings, listeners);
        wait_for_end(&started.router, ends).await;
        started.shut_down().await;
    });
    Ok(())
}

/// Waits for a signal, or until the router was told to leave by another cause.
async fn wait_for_end(router: &Router, ends: Receiver<()>) {
    let left = async {
        while !router.is_leaving() {
            task::sleep(Duration::from_millis(100)).await;
        }
    };
    futures_lite::future::or(left, async {
        let _ = ends.recv().await;
    })
    .await;
}

/// Starts a router's tasks.
pub(crate) fn start(settings: Settings, listeners: Listeners) -> RouterHandle {
    let limits = settings.limits.clone();
    let router = Arc::new(make(settings));
    let handler = router.clone();
    let server = Server::new(limits, move |ask| requests::handle(handler.clone(), ask));
    let callers = TcpListener::from(listeners.callers);
    let accepting = server.clone();
    task::spawn(async move { accepting.serve(callers).await });
    task::spawn(peers::serve(
        TcpListener::from(listeners.peers),
        router.links.clone(),
        inbox::handler(&router),
    ));
    let views = report::views(&router);
    task::spawn(async move {
        if let Err(e) = operators::serve(listeners.operators, views).await {
            log::error!("router: the operators' address ended: {e}");
        }
    });
    keep("beat::run", &router, beat::run);
    keep("list::run", &router, list::run);
    keep("loads::run", &router, loads::run);
    keep("config::watch", &router, config::watch);
    keep("config::tend", &router, config::tend);
    keep("tick", &router, tick);
    keep("tick_tickets", &router, tick_tickets);
    log::info!("router: {} is up", router.me.router);
    RouterHandle { router, server }
}

/// Runs a task for as long as the process runs, again where it panicked.
///
/// A router whose tick has died still beats and takes requests, and starts none of them.
fn keep<T, F>(name: &'static str, of: &Arc<T>, task: fn(Arc<T>) -> F)
where
    T: Send + Sync + 'static,
    F: Future<Output = ()> + Send + 'static,
{
    let of = of.clone();
    task::spawn(async move {
        while AssertUnwindSafe(task(of.clone()))
            .catch_unwind()
            .await
            .is_err()
        {
            log::error!("router: {name} panicked, it is started again; see the lines above");
            task::sleep(AGAIN).await;
        }
    });
}

impl RouterHandle {
    /// Ends it without cutting a request in flight.
    pub(crate) async fn shut_down(&self) {
        shutdown::shut_down(&self.router, &self.server).await;
    }
}

fn make(settings: Settings) -> Router {
    let me = Holder {
        router: settings.name.clone(),
        incarnation: incarnation(),
    };
    let clock = Clock::new();
    let intro = Intro {
        addr: settings.peers.advertise,
        callers: settings.callers.advertise,
        operators: Some(settings.operators.advertise),
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
        links: Links::new(me.router.clone(), me.incarnation, Pace::default()),
        endpoints: endpoints::Client::new(endpoints::Options::default()),
        force: Mutex::new(InForce {
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
            intro,
            MembershipParams::default(),
            seed,
        )),
        tickets: Mutex::new(Tickets::new(me.clone(), RetentionLimits::default())),
        dispatch: Mutex::new(Dispatch::new(peer, seed)),
        jobs: Mutex::new(Jobs::default()),
        budgets: Mutex::default(),
        times: Mutex::new(Times::default()),
        tally: Mutex::new(Tally::default()),
        leaving: AtomicBool::new(false),
        stirred: AtomicBool::new(false),
        fetching: AtomicBool::new(false),
        no_platform: AtomicBool::new(false),
        me,
        clock,
        settings,
    }
}

async fn tick(router: Arc<Router>) {
    loop {
        let busy = router.stirred.swap(false, Ordering::Relaxed);
        router.dispatch(|d, now| d.tick(now));
        // A tick alone stirs nothing, so an idle router soon wakes up seldom.
        let acted = router.stirred.swap(false, Ordering::Relaxed);
        let running = lock(&router.dispatch).running() > 0;
        task::sleep(if busy || acted || running { TICK } else { CALM }).await;
    }
}

async fn tick_tickets(router: Arc<Router>) {
    loop {
        let now = router.now();
        lock(&router.tickets).tick(now);
        task::sleep(TICKET_TICK).await;
    }
}

#[cfg(test)]
mod tests;
