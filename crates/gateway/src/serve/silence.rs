//! Replicas that say nothing.

use {
    super::{
        admit::Request,
        place::Watch,
        step::TryError, //
    },
    crate::model::RouteKind,
    async_std::task,
    std::time::{
        Duration,
        Instant, //
    },
};

/// A replica that sends nothing to anybody for this long, while it has requests, is given up.
/// An engine sends an event in each of its steps, some 100 ms apart at the most.
const SILENT: Duration = Duration::from_millis(1_000);
/// How often it is looked whether a replica is silent.
const LOOK: Duration = Duration::from_millis(200);
/// A plain request that may be repeated is tried elsewhere after so many latency targets.
const PATIENCE: u32 = 3;

/// Waits until a replica counts as silent; for good where the request can't be repeated, and
/// where this is its last try: giving that up would only lose its answer.
pub(super) async fn silence<T>(req: &Request, watch: &Watch, last: bool) -> Result<T, TryError> {
    if last {
        return futures_lite::future::pending().await;
    }
    match req.route.kind {
        RouteKind::Stream { resume: true } => quiet(watch).await,
        RouteKind::Idempotent => {
            let left = req.until.saturating_duration_since(Instant::now());
            task::sleep((req.route.target * PATIENCE).min(left / 2)).await;
            Err(TryError::Silent)
        }
        // It may have run, so its answer is waited for as long as there is time.
        RouteKind::Stream { resume: false } | RouteKind::Single => {
            futures_lite::future::pending().await
        }
    }
}

/// Waits until a replica has sent nothing to anybody for too long.
async fn quiet<T>(watch: &Watch) -> Result<T, TryError> {
    loop {
        task::sleep(LOOK).await;
        if watch.silent() >= SILENT {
            return Err(TryError::Silent);
        }
    }
}
