//! Shutdown of an instance, and reloading of its settings.

use {
    crate::{
        state::Shared,
        Settings, //
    },
    async_std::{
        channel::{
            bounded,
            unbounded,
            Receiver,
            Sender, //
        },
        task, //
    },
    signal_hook::{
        consts::{
            SIGHUP,
            SIGINT,
            SIGTERM, //
        },
        iterator::Signals, //
    },
    std::{
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

/// How long requests are still accepted, at most half of the grace period. Most callers have requested
/// new addresses by then.
const ACCEPT_DURATION: Duration = Duration::from_millis(2_700);
/// How long the instance listens for callers that still use its address: three times as long as an
/// answer allows them to keep it, and the time to send a request. Their requests are rejected with
/// the advice to use another router; a closed port would cost them up to a second.
const LISTEN_DURATION: Duration = Duration::from_millis(3_400);
/// Part of the grace period that is left for the last answers and for the process to exit before it is
/// killed, at most a quarter of the grace period.
const EXIT_MARGIN: Duration = Duration::from_millis(400);
const POLL_INTERVAL: Duration = Duration::from_millis(25);

/// What the process is to do on a signal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Signal {
    End,
    Reload,
}

/// Handles the process signals, and passes them on over a channel.
pub(crate) fn receive_signals() -> io::Result<Receiver<Signal>> {
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP])?;
    let (tx, rx) = unbounded();
    std::thread::spawn(move || {
        for signal in signals.forever() {
            let action = if signal == SIGHUP {
                Signal::Reload
            } else {
                Signal::End
            };
            if tx.try_send(action).is_err() {
                return;
            }
        }
    });
    Ok(rx)
}

/// Reloads the settings. Only new seeds take effect; addresses can't be changed at run time.
pub(crate) fn reload(gw: &Shared, path: &Path) {
    match Settings::from_file(path) {
        Ok(new) => {
            let same =
                new.listen.callers == gw.settings.listen.callers && new.name == gw.settings.name;
            log::info!("event=reload outcome=checked same-addresses={same}");
            let now = gw.now();
            let mut tables = gw.tables();
            for seed in new.seeds() {
                tables.fleet.add_address(seed, now);
            }
        }
        Err(e) => log::error!("event=reload outcome=rejected cause={:?}", e.to_string()),
    }
}

/// Tells the connections of callers how far the shutdown is.
#[derive(Debug)]
pub(crate) struct StopSender {
    idle: Sender<()>,
    expired: Sender<()>,
}

/// How far the shutdown is, as the connections of callers see it.
#[derive(Debug, Clone)]
pub(crate) struct StopSignal {
    idle: Receiver<()>,
    expired: Receiver<()>,
}

/// Returns both ends of the signal.
pub(crate) fn stop_signal() -> (StopSender, StopSignal) {
    // Nothing is sent: the receivers wait for the end of the channels.
    let (idle, idle_ended) = bounded(1);
    let (expired, expired_ended) = bounded(1);
    let signal = StopSignal {
        idle: idle_ended,
        expired: expired_ended,
    };
    (StopSender { idle, expired }, signal)
}

impl StopSignal {
    /// Waits until idle connections are to be closed.
    pub(crate) async fn idle_closed(&self) {
        let _ = self.idle.recv().await;
    }

    /// Waits until requests are to get their last answer.
    pub(crate) async fn expired(&self) {
        let _ = self.expired.recv().await;
    }
}

/// Shuts the instance down without aborting requests in flight.
///
/// Callers keep addresses for a while, so requests are accepted for that long, and answers ask the
/// callers to close their connection. Then running requests are finished, as far as the grace
/// period allows. Those that still run near its end get an answer of the instance.
pub(crate) async fn shut_down(gw: &Arc<Shared>, stop: StopSender) {
    let began = Instant::now();
    let grace = gw.settings.bounds.grace();
    let margin = EXIT_MARGIN.min(grace / 4);
    let deadline = grace - margin;
    gw.stops_at.get_or_init(|| began + deadline);
    gw.leaving.store(true, Ordering::SeqCst);
    gw.announce_to_all();
    log::info!("event=stop outcome=leaving active={}", active(gw));
    task::sleep(ACCEPT_DURATION.min(grace / 2)).await;
    gw.rejecting.store(true, Ordering::SeqCst);
    while began.elapsed() < LISTEN_DURATION.min(deadline) {
        task::sleep(POLL_INTERVAL).await;
    }
    stop.idle.close();
    wait_inactive(gw, began + deadline).await;
    let expired = active(gw);
    if expired > 0 {
        metrics::counter!("chervilwind_stop_expired").increment(expired as u64);
        log::warn!("event=stop outcome=expired active={expired}");
    }
    stop.expired.close();
    wait_inactive(gw, began + deadline + margin / 2).await;
    log::info!(
        "event=stop outcome=done active={} ms={}",
        active(gw),
        began.elapsed().as_millis()
    );
    // Let the thread that writes log lines finish.
    task::sleep(POLL_INTERVAL).await;
}

fn active(gw: &Shared) -> usize {
    gw.active_requests.load(Ordering::Relaxed)
}

/// Waits until no request is active, or until a point in time.
async fn wait_inactive(gw: &Shared, until: Instant) {
    while active(gw) > 0 && Instant::now() < until {
        task::sleep(POLL_INTERVAL).await;
    }
}
