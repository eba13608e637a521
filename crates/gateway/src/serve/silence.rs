//! Replicas that send nothing.

use {
    super::{
        admit::Request,
        place::Watch, //
    },
    async_std::task,
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
/// A plain request that may be repeated is tried elsewhere as well after so many latency targets.
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

/// Waits until a plain request that may be repeated is to be tried elsewhere as well.
pub(super) async fn patience(req: &Request) {
    let left = req.until.saturating_duration_since(Instant::now());
    task::sleep((req.route.latency_target * PATIENCE).min(left / 2)).await;
}
