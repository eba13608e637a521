//! Detection of silent replicas.

use {
    super::{
        admit::Request,
        permit::SilenceMonitor, //
    },
    async_std::task,
    std::time::{
        Duration,
        Instant, //
    },
};

/// A replica that has requests but sends nothing for this long is silent. An engine sends an event
/// in each of its steps, at most about 100 ms apart.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_000);
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// An idempotent request that is not a stream is hedged after this many latency targets.
const HEDGE_AFTER_TARGETS: u32 = 3;

/// Waits until the replica has been silent, towards all requests, for [`SILENCE_TIMEOUT`].
pub(super) async fn wait_until_silent(monitor: &SilenceMonitor) {
    loop {
        task::sleep(CHECK_INTERVAL).await;
        if monitor.silent_for() >= SILENCE_TIMEOUT {
            return;
        }
    }
}

/// Waits until an idempotent request that is not a stream is to be hedged.
pub(super) async fn wait_until_hedge_due(req: &Request) {
    let left = req.until.saturating_duration_since(Instant::now());
    task::sleep((req.route.latency_target * HEDGE_AFTER_TARGETS).min(left / 2)).await;
}
