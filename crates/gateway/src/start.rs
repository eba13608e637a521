//! Starts an instance and its tasks.

use {
    crate::{
        fleet,
        follow,
        http::Listener,
        model::{
            Dialect,
            Store, //
        },
        serve,
        shutdown::{
            self,
            stop_signal,
            Signal,
            StopSender, //
        },
        state::Shared,
        supervise::supervise,
        Settings, //
    },
    async_std::{
        net::UdpSocket,
        task, //
    },
    metrics_exporter_prometheus::{
        PrometheusBuilder,
        PrometheusHandle, //
    },
    policy::quota::Outcomes,
    std::{
        env,
        future::Future,
        io,
        path::Path,
        sync::{
            atomic::Ordering,
            Arc, //
        },
        time::{
            Duration,
            Instant, //
        },
    },
};

/// How often it is measured how late tasks run.
const DELAY_INTERVAL: Duration = Duration::from_millis(25);
/// How many times as long the interval is while there are no requests.
const IDLE_MEASUREMENTS: u32 = 8;
/// How often idle connections are closed and rejections are logged.
const MAINTENANCE_INTERVAL: Duration = Duration::from_secs(1);
/// Rejections are logged for at most this many workspaces at a time.
const MAX_LOGGED_WORKSPACES: usize = 8;
/// Upper bounds of the histogram of times to the first byte.
const FIRST_BYTE_BUCKETS_S: [f64; 12] = [
    0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.4, 0.8, 1.5, 3.0, 6.0, 15.0,
];

/// Environment variable of the runtime with the number of threads that run tasks.
const THREADS_VARIABLE: &str = "ASYNC_STD_THREAD_COUNT";

/// A running instance in this process.
#[derive(Debug)]
pub struct Gateway {
    shared: Arc<Shared>,
    stop: StopSender,
}

/// Runs an instance until a signal ends it.
///
/// # Errors
///
/// If an address can't be bound or signals can't be handled.
pub fn run(settings: Settings, path: &Path, dialect: Dialect, store: Store) -> io::Result<()> {
    limit_threads(settings.instance.processor);
    let signals = shutdown::receive_signals()?;
    let handle = start_metrics();
    let gateway = task::block_on(start_with(settings, dialect, store, handle))?;
    // This thread waits outside of the reactor: inside, it would take turns with the thread that
    // runs the tasks, and each of their turns begins with a wake-up.
    while let Ok(Signal::Reload) = signals.recv_blocking() {
        shutdown::reload(&gateway.shared, path);
    }
    task::block_on(gateway.end());
    Ok(())
}

/// Runs tasks on as many threads as the instance has cores, unless the environment says otherwise.
///
/// The allocator keeps memory for each thread that it can't use for others, so threads beyond those
/// take memory and bring nothing.
fn limit_threads(cores: f32) {
    if env::var_os(THREADS_VARIABLE).is_none() {
        let threads = cores.ceil().max(1.0) as usize;
        env::set_var(THREADS_VARIABLE, threads.to_string());
    }
}

/// Starts an instance. Its tasks run until the process ends.
///
/// # Errors
///
/// If an address can't be bound.
pub async fn start(settings: Settings, dialect: Dialect, store: Store) -> io::Result<Gateway> {
    start_with(settings, dialect, store, None).await
}

fn start_metrics() -> Option<PrometheusHandle> {
    let builder = PrometheusBuilder::new()
        .set_buckets(&FIRST_BYTE_BUCKETS_S)
        .map_err(|e| log::error!("event=metrics outcome=no-buckets cause={e:?}"))
        .ok()?;
    let recorder = builder.build_recorder();
    let handle = recorder.handle();
    match metrics::set_global_recorder(recorder) {
        Ok(()) => Some(handle),
        Err(e) => {
            log::warn!("event=metrics outcome=taken-by-another cause={e:?}");
            None
        }
    }
}

async fn start_with(
    settings: Settings,
    dialect: Dialect,
    store: Store,
    handle: Option<PrometheusHandle>,
) -> io::Result<Gateway> {
    let listen = settings.listen.clone();
    let unread = settings.unread_bytes();
    let callers = Listener::bind(listen.callers, unread)?;
    let ready = Listener::bind(listen.ready, unread)?;
    let addresses = Listener::bind(listen.addresses, unread)?;
    let documents = Listener::bind(listen.peers, unread)?;
    let metrics = Listener::bind(listen.metrics, unread)?;
    let peers = Arc::new(UdpSocket::bind(listen.peers).await?);
    let seeds = settings.seeds();
    log::info!(
        "event=start name={} callers={}",
        settings.name,
        listen.callers
    );
    let gw = Arc::new(Shared::new(settings, dialect, store, peers));
    for seed in seeds {
        gw.tables().fleet.add_address(seed, gw.now());
    }
    let (stop, stopped) = stop_signal();
    task::spawn(serve::serve_ready(gw.clone(), ready));
    task::spawn(serve::serve_addresses(gw.clone(), addresses));
    task::spawn(serve::serve_metrics(gw.clone(), metrics, handle.clone()));
    task::spawn(fleet::serve_documents(gw.clone(), documents));
    task::spawn(serve::accept(gw.clone(), callers, stopped));
    keep_running("receive-messages", &gw, fleet::receive_messages);
    keep_running("send-messages", &gw, fleet::send_messages);
    keep_running("operators", &gw, follow::follow_operators);
    keep_running("replicas", &gw, follow::follow_replicas);
    keep_running("registration", &gw, follow::maintain_registration);
    keep_running("maintenance", &gw, move |gw| {
        run_maintenance(gw, handle.clone())
    });
    keep_running("delay", &gw, measure_delay);
    Ok(Gateway { shared: gw, stop })
}

/// Spawns a task and restarts it after a panic.
fn keep_running<F>(
    name: &'static str,
    gw: &Arc<Shared>,
    run: impl Fn(Arc<Shared>) -> F + Send + 'static,
) where
    F: Future<Output = ()> + Send + 'static,
{
    let gw = gw.clone();
    supervise(
        move || run(gw.clone()),
        move || {
            metrics::counter!("chervilwind_task_panics", "task" => name).increment(1);
            log::error!("event=task outcome=panicked task={name}");
        },
    );
}

async fn run_maintenance(gw: Arc<Shared>, metrics: Option<PrometheusHandle>) {
    let mut stats = gw.limiter.stats();
    loop {
        task::sleep(MAINTENANCE_INTERVAL).await;
        gw.pool.close_expired();
        gw.tables().streams.forget(gw.now());
        gw.forget_evacuations();
        follow::forget_replicas(&gw);
        log_rejections(&gw);
        // Samples of histograms are kept one by one until then.
        metrics.iter().for_each(PrometheusHandle::run_upkeep);
        serve::report_evictions(&gw, &mut stats);
    }
}

/// Measures how late tasks run. An instance without requests measures less often, which counts for as
/// many measurements.
async fn measure_delay(gw: Arc<Shared>) {
    loop {
        let idle = gw.active_requests.load(Ordering::Relaxed) == 0;
        let measurements = if idle { IDLE_MEASUREMENTS } else { 1 };
        let interval = DELAY_INTERVAL * measurements;
        let begun = Instant::now();
        task::sleep(interval).await;
        let delay = begun.elapsed().saturating_sub(interval);
        let overload = &mut gw.tables().overload;
        for _ in 0..measurements {
            overload.record_delay(delay.into());
        }
    }
}

/// Logs the tokens of rejected requests by workspace, once a second.
///
/// These lines are warnings, so that they are not dropped when a flood of requests exhausts the
/// limit on log lines.
fn log_rejections(gw: &Shared) {
    let overload = gw.tables().overload.rejected();
    if overload > 0.0 {
        log::warn!("event=overload rejected={overload:.2}");
    }
    let (rejected, active) = {
        let mut tables = gw.tables();
        (
            tables.tally.take(MAX_LOGGED_WORKSPACES),
            tables.fleet.is_active(),
        )
    };
    for (workspace, outcomes) in rejected {
        let Outcomes {
            started: begun,
            slots,
            failures,
            time,
            beyond,
        } = outcomes;
        log::warn!(
            "event=shares workspace={workspace} begun={begun} slots={slots} \
             failures={failures} time={time} beyond={beyond} active={active}"
        );
    }
}

impl Gateway {
    /// Shuts the instance down without aborting requests in flight.
    pub async fn end(self) {
        shutdown::shut_down(&self.shared, self.stop).await;
    }
}
