//! The end of an instance, and changed settings.

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

/// How long requests are still taken. Most callers have asked for addresses anew by then, and
/// what is taken has at least half of the grace period to end.
const TAKES: Duration = Duration::from_millis(2_700);
/// How long callers may still come with an address that they keep: three times as long as an
/// answer says, and the time that a request takes to be sent. They are told to go elsewhere,
/// where a closed port would cost them up to a second.
const LINGER: Duration = Duration::from_millis(3_400);
/// What is kept of the grace period, so that the process ends by itself.
const MARGIN: Duration = Duration::from_millis(400);
/// How often it is looked whether requests are still served.
const LOOK: Duration = Duration::from_millis(25);

/// What a signal asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Signal {
    End,
    Reload,
}

/// Passes on signals.
pub(crate) fn signals() -> io::Result<Receiver<Signal>> {
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP])?;
    let (tx, rx) = unbounded();
    std::thread::spawn(move || {
        for signal in signals.forever() {
            let asked = if signal == SIGHUP {
                Signal::Reload
            } else {
                Signal::End
            };
            if tx.try_send(asked).is_err() {
                return;
            }
        }
    });
    Ok(rx)
}

/// Looks at changed settings. Addresses are taken at the start only.
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

/// Ends the instance without cutting a request in flight.
///
/// Callers keep an address for a while, so requests are taken and served that long; answers
/// tell the callers to close. What runs is then finished, as far as the grace period goes.
pub(crate) async fn end(gw: &Arc<Shared>, stop: Sender<()>) {
    let began = Instant::now();
    gw.leaving.store(true, Ordering::SeqCst);
    gw.announce_to_all();
    log::info!(
        "event=stop outcome=leaving active={}",
        gw.active.load(Ordering::Relaxed)
    );
    let last = gw.settings.bounds.grace().saturating_sub(MARGIN);
    task::sleep(TAKES.min(last)).await;
    gw.refuses.store(true, Ordering::SeqCst);
    while began.elapsed() < LINGER.min(last) {
        task::sleep(LOOK).await;
    }
    stop.close();
    drop(stop);
    while gw.active.load(Ordering::Relaxed) > 0 && began.elapsed() < last {
        task::sleep(LOOK).await;
    }
    log::info!(
        "event=stop outcome=done active={} ms={}",
        gw.active.load(Ordering::Relaxed),
        began.elapsed().as_millis()
    );
    // The thread that writes log lines has this much to end.
    task::sleep(LOOK).await;
}
