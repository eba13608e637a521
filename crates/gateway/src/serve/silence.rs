//! Replicas that send nothing.

use {
    super::{
        admit::Request,
        place::Watch,
        step::TryError, //
    },
    crate::model::RouteKind,
    async_std::task,
    futures_lite::future::pending,
    std::time::{
        Duration,
        Instant, //
    },
};

/// A replica that sends nothing to anybody for this long, while it has requests, is silent.
/// An engine sends an event in each of its steps, some 100 ms apart at the most.
const SILENT: Duration = Duration::from_millis(1_000);
/// How often it is looked whether a replica is silent.
const LOOK: Duration = Duration::from_millis(200);
/// A plain request that may be repeated is tried elsewhere after so many latency targets.
const PATIENCE: u32 = 3;

/// Waits until a replica has sent nothing to anybody for too long.
pub(super) async fn quiet(watch: &Watch) {
    loop {
        task::sleep(LOOK).await;
        if watch.silent() >= SILENT {
            return;
        }
    }
}

/// Waits until a plain request that may be repeated is to be tried elsewhere; for good where this
/// is its last try, which giving up would only lose.
///
/// What may not be repeated may have run, so its answer is waited for as long as there is time.
pub(super) async fn patience<T>(req: &Request, last: bool) -> Result<T, TryError> {
    if last || req.route.kind != RouteKind::Idempotent {
        return pending().await;
    }
    let left = req.until.saturating_duration_since(Instant::now());
    task::sleep((req.route.target * PATIENCE).min(left / 2)).await;
    Err(TryError::Silent)
}
