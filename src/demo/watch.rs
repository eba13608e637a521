//! Watching the demo's fleet while the load runs.

use {
    super::stage::Stage,
    crate::{
        gauge::{
            Gap,
            Point, //
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
    standins::engine,
    std::{
        collections::BTreeMap,
        sync::Arc,
        time::Duration, //
    },
};

const SERVICE: &str = "drafting-llm";
const EVERY: Duration = Duration::from_millis(20);

/// What was seen while the load ran.
#[derive(Debug, Default)]
pub(crate) struct Seen {
    pub(crate) gap: f64,
    pub(crate) utilisation: f64,
}

/// A task that samples the fleet.
pub(crate) struct Watch {
    task: JoinHandle<Seen>,
    stop: Sender<()>,
}

/// Busy and whole capacity, in slots times seconds.
#[derive(Debug, Clone, Copy, Default)]
struct Used {
    busy: f64,
    whole: f64,
}

impl Watch {
    pub(crate) fn start(stage: &Stage) -> Watch {
        let routers: Vec<_> = stage.routers.iter().map(|r| r.router.clone()).collect();
        let engines = stage.engines.clone();
        let (stop, stopped) = bounded(1);
        let task = task::spawn(async move {
            let mut gap = Gap::default();
            let mut sum = Used::default();
            let mut last = used(&engines);
            while stopped.is_empty() && !stopped.is_closed() {
                task::sleep(EVERY).await;
                let statuses: Vec<Status> =
                    routers.iter().map(|r: &Arc<Router>| r.status()).collect();
                let points = points(&statuses);
                let now = used(&engines);
                if points.iter().any(|p| p.backlogged) {
                    sum.busy += now.busy - last.busy;
                    sum.whole += now.whole - last.whole;
                }
                last = now;
                gap.sample(&points);
            }
            Seen {
                gap: gap.widest(),
                utilisation: sum.busy / sum.whole.max(f64::MIN_POSITIVE),
            }
        });
        Watch { task, stop }
    }

    pub(crate) async fn stop(self) -> Seen {
        let _ = self.stop.send(()).await;
        self.task.await
    }
}

fn used(engines: &[Arc<engine::Handle>]) -> Used {
    let mut used = Used::default();
    for e in engines {
        let busy = e.busy();
        used.busy += busy.busy;
        used.whole += busy.elapsed * f64::from(busy.capacity);
    }
    used
}

fn points(statuses: &[Status]) -> Vec<Point> {
    let mut points = BTreeMap::new();
    let all = statuses.iter().flat_map(|s| &s.workspaces);
    for w in all.filter(|w| w.service.as_str() == SERVICE) {
        let point = points.entry(w.name.clone()).or_insert_with(|| Point {
            workspace: w.name.clone(),
            backlogged: false,
            service: 0.0,
        });
        point.backlogged |= w.queued > 0;
        point.service += w.received.0 / w.share.get();
    }
    points.into_values().collect()
}
