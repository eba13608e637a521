//! Watching a measured fleet while the load runs.

use {
    super::{
        engines::Engines,
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
    std::{
        net::SocketAddr,
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
    pub(crate) engines: Engines,
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
    /// What each workspace got up to now, divided by its share.
    pub(crate) services: Vec<f64>,
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

/// Sums since the last line of the course.
#[derive(Default)]
struct Line {
    used: Used,
    /// Tokens and time at the last line.
    tokens: i64,
    at: f64,
}

/// What is kept from look to look.
struct Eye {
    scene: Scene,
    begin: Instant,
    seen: Seen,
    gap: Gap,
    settled: Gap,
    looks: usize,
    line: Line,
}

impl Eye {
    fn new(scene: Scene) -> Eye {
        scene.engines.take_used();
        Eye {
            begin: Instant::now(),
            seen: Seen {
                backlogged: vec![0.0; scene.plans.len()],
                ..Seen::default()
            },
            gap: Gap::default(),
            settled: Gap::default(),
            looks: 0,
            line: Line::default(),
            scene,
        }
    }

    async fn look(&mut self) {
        let statuses = statuses(&self.scene.operators).await;
        let points = self.points(&statuses);
        let used = self.scene.engines.take_used();
        self.line.used.add(used);
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
                self.seen.used.add(used);
            }
        }
        if self.looks % LINE == 0 {
            self.note(&statuses);
        }
    }

    /// Takes the backlog from the routers, and the service from the callers.
    fn points(&self, statuses: &[Status]) -> Vec<Point> {
        let mut points = points(MODEL, statuses);
        for (plan, service) in self.scene.plans.iter().zip(self.services()) {
            let named = |p: &&mut Point| p.workspace.as_str() == plan.name;
            if let Some(point) = points.iter_mut().find(named) {
                point.service = service;
            }
        }
        points
    }

    /// Returns what each workspace's callers got, divided by its share.
    fn services(&self) -> Vec<f64> {
        let both = self.scene.plans.iter().zip(&self.scene.counts);
        let each = both.map(|(plan, counts)| {
            let sums = counts.get();
            let service = match self.scene.tokens {
                true => sums.tokens as f64,
                false => sums.answered as f64,
            };
            service / plan.share
        });
        each.collect()
    }

    fn note(&mut self, statuses: &[Status]) {
        let at = self.begin.elapsed().as_secs_f64();
        let tokens: i64 = self.scene.counts.iter().map(|c| c.get().tokens).sum();
        let services = || {
            let all = statuses.iter().flat_map(|s| &s.services);
            all.filter(|s| s.name.as_str() == MODEL)
        };
        self.seen.course.push(Moment {
            at,
            limit: services().map(|s| s.limit).sum(),
            running: services().map(|s| s.running).sum(),
            queued: services().map(|s| s.queued).sum(),
            busy: self.line.used.part(),
            tokens: (tokens - self.line.tokens) as f64 / (at - self.line.at),
            gap: self.gap.widest(),
            engines: self.scene.engines.running(),
            services: self.services(),
        });
        self.line = Line {
            used: Used::default(),
            tokens,
            at,
        };
    }

    fn end(mut self) -> Seen {
        self.seen.gap = self.gap.widest();
        self.seen.settled = self.settled.widest();
        let looks = self.looks.max(1) as f64;
        self.seen.backlogged.iter_mut().for_each(|b| *b /= looks);
        self.seen
    }
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
