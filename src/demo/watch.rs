//! Samples the demo's fleet while the load runs.

use {
    super::stage::Stage,
    crate::{
        gauge::{
            points,
            Gap,
            Used, //
        },
        router::Router,
    },
    async_std::{
        channel::{
            bounded,
            Sender, //
        },
        task::{
            self,
            JoinHandle, //
        },
    },
    operators::Status,
    std::{
        sync::Arc,
        time::{
            Duration,
            Instant, //
        },
    },
};

const SERVICE: &str = "drafting-llm";
const EVERY: Duration = Duration::from_millis(20);
/// Time until which the first callers hold the slots that were idle.
const SETTLED: Duration = Duration::from_secs(2);

/// The samples.
#[derive(Debug, Default)]
pub(crate) struct Seen {
    pub(crate) gap: f64,
    pub(crate) settled: f64,
    pub(crate) utilisation: f64,
}

/// A task that samples the fleet.
pub(crate) struct Watch {
    task: JoinHandle<Seen>,
    stop: Sender<()>,
}

impl Watch {
    pub(crate) fn start(stage: &Stage) -> Watch {
        let routers: Vec<_> = stage.routers.iter().map(|r| r.router.clone()).collect();
        let engines = stage.engines.clone();
        let (stop, stopped) = bounded(1);
        let task = task::spawn(async move {
            let begin = Instant::now();
            let mut gap = Gap::default();
            let mut settled = Gap::default();
            let mut sum = Used::default();
            let mut last = Used::of(&engines);
            while stopped.is_empty() && !stopped.is_closed() {
                task::sleep(EVERY).await;
                let statuses: Vec<Status> =
                    routers.iter().map(|r: &Arc<Router>| r.status()).collect();
                let points = points(SERVICE, &statuses);
                let now = Used::of(&engines);
                if points.iter().any(|p| p.backlogged) {
                    sum.add(now - last);
                }
                last = now;
                gap.sample(&points);
                if begin.elapsed() >= SETTLED {
                    settled.sample(&points);
                }
            }
            Seen {
                gap: gap.widest(),
                settled: settled.widest(),
                utilisation: sum.part(),
            }
        });
        Watch { task, stop }
    }

    pub(crate) async fn stop(self) -> Seen {
        let _ = self.stop.send(()).await;
        self.task.await
    }
}
