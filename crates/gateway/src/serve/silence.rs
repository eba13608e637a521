//! Detection of silent replicas.

use {
    super::{
        admit::Request,
        permit::SilenceMonitor, //
    },
    async_io::Timer,
    async_std::task,
    futures_lite::StreamExt,
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

/// Detects that a replica is silent.
///
/// It keeps its timer between the events of a stream, as setting one costs more than forwarding an
/// event.
#[derive(Debug)]
pub(super) struct SilenceWatch {
    monitor: SilenceMonitor,
    checks: Timer,
}

impl SilenceWatch {
    pub(super) fn new(monitor: SilenceMonitor) -> SilenceWatch {
        SilenceWatch {
            monitor,
            checks: Timer::interval(CHECK_INTERVAL),
        }
    }

    /// Waits until the replica has been silent, towards all requests, for [`SILENCE_TIMEOUT`].
    pub(super) async fn silent(&mut self) {
        loop {
            self.checks.next().await;
            if self.monitor.silent_for() >= SILENCE_TIMEOUT {
                return;
            }
        }
    }
}

/// Waits until an idempotent request that is not a stream is to be hedged.
pub(super) async fn wait_until_hedge_due(req: &Request) {
    let left = req.until.saturating_duration_since(Instant::now());
    task::sleep((req.route.latency_target * HEDGE_AFTER_TARGETS).min(left / 2)).await;
}
