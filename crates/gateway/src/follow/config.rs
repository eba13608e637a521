//! The configuration, as the store has it.

use {
    crate::{
        state::Shared,
        StoreError, //
    },
    async_std::task,
    std::{
        sync::Arc,
        time::Duration, //
    },
};

/// How long one watch waits, at least and at most.
///
/// A connection may go silent, with the watch on it, and only its end shows that. All may do
/// so at once; the first router whose watch ends then tells the others.
const WAIT: (Duration, Duration) = (Duration::from_secs(3), Duration::from_secs(15));
/// What each router adds to it, so that some watch ends about three times a second.
const WAIT_ROUTER: Duration = Duration::from_millis(350);
/// Pause after a call that failed.
const AGAIN: Duration = Duration::from_millis(150);

/// Puts each configuration that the store gets in force.
pub(crate) async fn follow_config(gw: Arc<Shared>) {
    loop {
        let read = (gw.store.config)().await;
        gw.note_store("config", read.as_ref().err());
        let mut revision = match read {
            Ok(Some(read)) => {
                gw.take_config(read.value, "store");
                read.revision
            }
            Ok(None) => {
                log::debug!("event=config outcome=none from=store");
                task::sleep(AGAIN).await;
                continue;
            }
            Err(_) => {
                task::sleep(AGAIN).await;
                continue;
            }
        };
        loop {
            let routers = gw.tables().peers.count(gw.now()) as u32;
            let wait = (WAIT_ROUTER * routers).clamp(WAIT.0, WAIT.1);
            let watched = (gw.store.watch)(revision, wait).await;
            gw.note_store("watch", watched.as_ref().err());
            match watched {
                Ok(watched) => {
                    if let Some(value) = watched.value {
                        gw.take_config(value, "store");
                    }
                    revision = watched.revision.max(revision);
                }
                // What changed meanwhile is read whole.
                Err(StoreError::Compacted) => break,
                Err(_) => {
                    task::sleep(AGAIN).await;
                    break;
                }
            }
        }
    }
}
