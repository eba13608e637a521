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

/// How long one watch waits.
///
/// A connection may go silent, with the watch on it, and only its end shows that. Each watch
/// is a call that is paid for; at this length 15 of them make up a day of 45 s.
const WAIT: Duration = Duration::from_secs(3);
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
            let watched = (gw.store.watch)(revision, WAIT).await;
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
