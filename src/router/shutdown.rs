//! The end of a router: SIGTERM, or a later start under its name.

use {
    super::{
        addresses::KEEP_MS,
        state::{
            lock,
            Router, //
        },
    },
    async_std::{
        channel::{
            bounded,
            Receiver, //
        },
        task, //
    },
    callers::Server,
    signal_hook::{
        consts::{
            SIGINT,
            SIGTERM, //
        },
        iterator::Signals, //
    },
    std::{
        io,
        sync::{
            atomic::Ordering,
            Arc, //
        },
        time::Duration, //
    },
};

/// How long callers may still come with an address they kept, before connections end.
const LINGER: Duration = Duration::from_millis(KEEP_MS);
/// How often it is looked whether callers still come.
const LOOK: Duration = Duration::from_millis(50);
/// How long the last messages may take to reach the peers.
const GOODBYE: Duration = Duration::from_millis(300);

/// Passes on the signals that end a router.
pub(crate) fn receive_signals() -> io::Result<Receiver<()>> {
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    let (tx, rx) = bounded(1);
    std::thread::spawn(move || {
        for _ in signals.forever() {
            let _ = tx.try_send(());
        }
    });
    Ok(rx)
}

impl Router {
    /// Leaves the address answers, and takes no new work from now on.
    pub(crate) fn leave(&self) {
        if self.leaving.swap(true, Ordering::SeqCst) {
            return;
        }
        log::info!("router: {} is leaving", self.me.router);
        self.dispatch(|d, now| d.leave(now));
    }
}

/// Ends the router without cutting a request in flight.
///
/// Callers keep an address for a while, so the listener stays open that long and refuses
/// what comes as not run. It would otherwise show as refused connections at callers that
/// did nothing wrong. What runs is finished, however long it takes.
pub(crate) async fn shut_down(router: &Arc<Router>, server: &Server) {
    router.leave();
    let mut waited = Duration::ZERO;
    while waited < LINGER && server.connections() > 0 {
        task::sleep(LOOK).await;
        waited += LOOK;
    }
    server.stop().await;
    finish_running(router).await;
    lock(&router.members).goodbye();
    router.follow_members();
    task::sleep(GOODBYE).await;
    log::info!("router: {} has ended", router.me.router);
}

/// Waits for requests that go on without their caller, such as those with a ticket.
async fn finish_running(router: &Router) {
    while lock(&router.dispatch).running() > 0 {
        task::sleep(LOOK).await;
    }
}
