//! Graceful shutdown: on SIGTERM, or when a later incarnation has the router's name.

use {
    super::{
        addresses::ADDRESS_TTL_MS,
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

/// How long callers may still use a cached address before connections are closed.
const ADDRESS_GRACE: Duration = Duration::from_millis(ADDRESS_TTL_MS);
/// How often open connections and running requests are checked.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// How long the last messages have to reach the peers.
const GOODBYE_DELAY: Duration = Duration::from_millis(300);

/// Returns a channel that receives a message for each signal to shut down.
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
    /// Removes this router from address answers and stops accepting requests.
    pub(crate) fn leave(&self) {
        if self.leaving.swap(true, Ordering::SeqCst) {
            return;
        }
        log::info!("router: {} is leaving", self.me.router);
        self.dispatch(|d, now| d.leave(now));
    }
}

/// Shuts the router down without aborting a request in flight.
///
/// Callers cache addresses, so the listener stays open for as long as they may, and rejects
/// requests as not run. Otherwise callers that did nothing wrong would get refused
/// connections. Running requests are finished, however long they take.
pub(crate) async fn shut_down(router: &Arc<Router>, server: &Server) {
    router.leave();
    let mut waited = Duration::ZERO;
    while waited < ADDRESS_GRACE && server.connections() > 0 {
        task::sleep(POLL_INTERVAL).await;
        waited += POLL_INTERVAL;
    }
    server.stop().await;
    finish_running(router).await;
    lock(&router.members).goodbye();
    router.follow_members();
    task::sleep(GOODBYE_DELAY).await;
    log::info!("router: {} has ended", router.me.router);
}

/// Waits for requests that continue without their caller, such as those with a ticket.
async fn finish_running(router: &Router) {
    while lock(&router.dispatch).running() > 0 {
        task::sleep(POLL_INTERVAL).await;
    }
}
