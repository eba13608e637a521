//! Watching a measured fleet while the load runs.

use {
    super::{
        load::Counts,
        plan::Plan,
        process::status_of,
        setup::MODEL, //
    },
    crate::gauge::{
        points,
        Gap,
        Point,
        Used, //
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
    serde::Serialize,
    standins::engine,
    std::{
        net::SocketAddr,
        sync::Arc,
        time::{
            Duration,
            Instant, //
        },
    },
};

/// How often the fleet is looked at.
const LOOK: Duration = Duration::from_millis(200);
/// Looks to one line of the course.
const LINE: usize = 5;

/// What is watched.
#[derive(Debug, Clone)]
pub(crate) struct Scene {
    pub(crate) plans: Vec<Plan>,
    pub(crate) counts: Vec<Counts>,
    pub(crate) operators: Vec<SocketAddr>,
    pub(crate) engines: Vec<Arc<engine::Handle>>,
    /// Service is counted in tokens, not in answers.
    pub(crate) tokens: bool,
    /// The load settles for this long before anything but the gap is taken.
    pub(crate) warm: Duration,
}

/// What was seen.
#[derive(Debug, Default)]
pub(crate) struct Seen {
    /// The widest gap from the first moment on.
    pub(crate) gap: f64,
    /// The widest gap once the load had settled.
    pub(crate) settled: f64,
    /// The use of the engines while work waited, once settled.
    pub(crate) used: Used,
    /// Part of the looks at which each workspace had work waiting.
    pub(crate) backlogged: Vec<f64>,
    /// The course of the run.
    pub(crate) course: Vec<Moment>,
}

/// One line of the course.
#[derive(Debug, Clone, Default, Serialize)]
pub(crate) struct Moment {
    /// Seconds since the load began.
    pub(crate) at: f64,
    /// Learnt limits of all replicas together.
    pub(crate) limit: u32,
    /// Requests that run, as the routers see it.
    pub(crate) running: u32,
    /// Requests that wait in routers.
    pub(crate) queued: u32,
    /// Part of the engines' capacity that was busy since the last line.
    pub(crate) busy: f64,
    /// Tokens a second since the last line.
    pub(crate) tokens: f64,
    /// The widest gap up to now.
    pub(crate) gap: f64,
    /// Requests that each engine runs.
    pub(crate) engines: Vec<u32>,
}

/// A task that samples the fleet.
#[derive(Debug)]
pub(crate) struct Watch {
    task: JoinHandle<Seen>,
    stop: Sender<()>,
}

impl Watch {
    pub(crate) fn start(scene: Scene) -> Watch {
        let (stop, stopped) = bounded(1);
        let task = task::spawn(async move {
            let mut eye = Eye::new(scene);
            while stopped.is_empty() && !stopped.is_closed() {
                task::sleep(LOOK).await;
                eye.look().await;
            }
            eye.end()
        });
        Watch { task, stop }
    }

    pub(crate) async fn stop(self) -> Seen {
        let _ = self.stop.send(()).await;
        self.task.await
    }
}

/// What is kept from look to look.
struct Eye {
    scene: Scene,
    begin: Instant,
    seen: Seen,
    gap: Gap,
    settled: Gap,
    looks: usize,
    last: Used,
    line: (Used, i64, f64),
}

impl Eye {
    fn new(scene: Scene) -> Eye {
        let last = Used::of(&scene.engines);
        Eye {
            begin: Instant::now(),
            seen: Seen {
                backlogged: vec![0.0; scene.plans.len()],
                ..Seen::default()
            },
            gap: Gap::default(),
            settled: Gap::default(),
            looks: 0,
            last,
            line: (last, 0, 0.0),
            scene,
        }
    }

    async fn look(&mut self) {
        let statuses = statuses(&self.scene.operators).await;
        let points = self.points(&statuses);
        let now = Used::of(&self.scene.engines);
        self.gap.sample(&points);
        self.looks += 1;
        for (sum, plan) in self.seen.backlogged.iter_mut().zip(&self.scene.plans) {
            let waits = points
                .iter()
                .any(|p| p.workspace.as_str() == plan.name && p.backlogged);
            *sum += f64::from(u8::from(waits));
        }
        if self.begin.elapsed() > self.scene.warm {
            self.settled.sample(&points);
            if points.iter().any(|p| p.backlogged) {
                self.seen.used.add(now - self.last);
            }
        }
        self.last = now;
        if self.looks % LINE == 0 {
            self.note(&statuses, now);
        }
    }

    /// Takes the backlog from the routers, and the service from the callers.
    fn points(&self, statuses: &[Status]) -> Vec<Point> {
        let mut points = points(MODEL, statuses);
        for point in &mut points {
            let plans = self.scene.plans.iter().zip(&self.scene.counts);
            let named = |(plan, _): &(&Plan, _)| plan.name == point.workspace.as_str();
            if let Some((plan, counts)) = plans.clone().find(named) {
                let sums = counts.get();
                let service = match self.scene.tokens {
                    true => sums.tokens as f64,
                    false => sums.answered as f64,
                };
                point.service = service / plan.share;
            }
        }
        points
    }

    fn note(&mut self, statuses: &[Status], now: Used) {
        let at = self.begin.elapsed().as_secs_f64();
        let tokens: i64 = self.scene.counts.iter().map(|c| c.get().tokens).sum();
        let (used, before, since) = self.line;
        let services = || {
            let all = statuses.iter().flat_map(|s| &s.services);
            all.filter(|s| s.name.as_str() == MODEL)
        };
        self.seen.course.push(Moment {
            at,
            limit: services().map(|s| s.limit).sum(),
            running: services().map(|s| s.running).sum(),
            queued: services().map(|s| s.queued).sum(),
            busy: (now - used).part(),
            tokens: (tokens - before) as f64 / (at - since),
            gap: self.gap.widest(),
            engines: self.scene.engines.iter().map(|e| load(e)).collect(),
        });
        self.line = (now, tokens, at);
    }

    fn end(mut self) -> Seen {
        self.seen.gap = self.gap.widest();
        self.seen.settled = self.settled.widest();
        let looks = self.looks.max(1) as f64;
        self.seen.backlogged.iter_mut().for_each(|b| *b /= looks);
        self.seen
    }
}

fn load(engine: &engine::Handle) -> u32 {
    let load = engine.load();
    load.running + load.waiting
}

/// Asks all routers at once how they are doing; leaves out those that don't answer.
async fn statuses(operators: &[SocketAddr]) -> Vec<Status> {
    let asked: Vec<_> = operators
        .iter()
        .map(|a| task::spawn(status_of(*a)))
        .collect();
    let mut statuses = Vec::new();
    for answer in asked {
        statuses.extend(answer.await.ok());
    }
    statuses
}
