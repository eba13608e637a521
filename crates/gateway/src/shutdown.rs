//! Shutdown of an instance, and reloading of its settings.

use {
    crate::{
        state::Shared,
        Settings, //
    },
    async_std::{
        channel::{
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

/// How long requests are still accepted. Most callers have requested new addresses by then, and
/// each accepted request has at least half of the grace period to finish.
const ACCEPT_DURATION: Duration = Duration::from_millis(2_700);
/// How long the instance listens for callers that still use its address: three times as long as an
/// answer allows them to keep it, and the time to send a request. Their requests are rejected with
/// the advice to use another router; a closed port would cost them up to a second.
const LISTEN_DURATION: Duration = Duration::from_millis(3_400);
/// Part of the grace period that is left for the process to exit before it is killed.
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

/// Shuts the instance down without aborting requests in flight.
///
/// Callers keep addresses for a while, so requests are accepted for that long, and answers ask the
/// callers to close their connection. Then running requests are finished, as far as the grace
/// period allows.
pub(crate) async fn shut_down(gw: &Arc<Shared>, stop: Sender<()>) {
    let began = Instant::now();
    gw.leaving.store(true, Ordering::SeqCst);
    gw.announce_to_all();
    log::info!(
        "event=stop outcome=leaving active={}",
        gw.active_requests.load(Ordering::Relaxed)
    );
    let deadline = gw.settings.bounds.grace().saturating_sub(EXIT_MARGIN);
    task::sleep(ACCEPT_DURATION.min(deadline)).await;
    gw.rejecting.store(true, Ordering::SeqCst);
    while began.elapsed() < LISTEN_DURATION.min(deadline) {
        task::sleep(POLL_INTERVAL).await;
    }
    stop.close();
    drop(stop);
    while gw.active_requests.load(Ordering::Relaxed) > 0 && began.elapsed() < deadline {
        task::sleep(POLL_INTERVAL).await;
    }
    log::info!(
        "event=stop outcome=done active={} ms={}",
        gw.active_requests.load(Ordering::Relaxed),
        began.elapsed().as_millis()
    );
    // Let the thread that writes log lines finish.
    task::sleep(POLL_INTERVAL).await;
}
