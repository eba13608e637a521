//! Load steps and surges in virtual time, with the admission queue and with immediate rejection.
//!
//! Engines read prompts one after the other. Routers learn of each other's requests every 100 ms,
//! and callers retry once after the delay that they are told.

use {
    fastrand::Rng,
    policy::{
        placement::{
            pick,
            Board,
            Candidate,
            Load,
            Part,
            Pick,
            PlacementRequest,
            Prompt,
            ReplicaKey,
            Tuning, //
        },
        quota::{
            Quota,
            UsageStanding,
            WorkspaceKey, //
        },
        waiting::{
            may_wait,
            Place,
            Priority,
            Queue,
            Rank,
            Timing,
            WaiterKey, //
        },
        AnswerState,
        ReplicaId,
        RouterId,
        ServiceId,
        Span,
        Time, //
    },
    std::collections::{
        BTreeMap,
        HashMap, //
    },
};

const ENGINES: usize = 12;
const WORKSPACES: u32 = 30;
const OVERHEAD: Span = Span::millis(25);
const EVENT_INTERVAL: Span = Span::millis(40);
/// How much longer an engine takes to read while it is slow, and how often it is.
const SLOWDOWN: (f64, f64) = (2.5, 0.15);
const SLOWDOWN_INTERVAL: Span = Span::millis(600);
/// The usual load as a part of what the engines can read.
const USUAL_LOAD: f64 = 0.7;
const REPORT_INTERVAL: Span = Span::millis(100);
const ROUND_PAUSE: Span = Span::millis(10);
const ROUND_INTERVAL: Span = Span::millis(25);
/// The load is higher than usual from the third to the sixth second.
const EXCESS: (Time, Time) = (Time(3_000_000), Time(6_000_000));
const END: Time = Time(9_000_000);
const SEEDS: u64 = 10;
const SHORTEST_TARGET: Span = Span::millis(800);

/// Prompt tokens shared and own, events, target in milliseconds, and seconds that callers wait.
const KINDS: [(u32, u32, u32, u64, u64); 3] = [
    (6_300, 2_890, 13, 800, 6),
    (568, 1_800, 6, 1_200, 4),
    (172, 543, 70, 1_200, 15),
];

/// The engines of a deployment.
#[derive(Debug, Clone, Copy)]
struct Deployment {
    /// Tokens that engines read per millisecond, which take turns.
    speeds: [f64; 3],
    slots: u32,
    memory: u64,
    /// Whether engines are slow at times.
    uneven: bool,
    /// Tokens per second of one engine according to the configuration.
    capacity: f64,
}

const MWAMBAO: Deployment = Deployment {
    speeds: [39.3; 3],
    slots: 96,
    memory: 193_634,
    uneven: false,
    capacity: 20_000.0,
};

const KAPLJICA: Deployment = Deployment {
    speeds: [18.5, 30.9, 49.4],
    slots: 24,
    memory: 213_124,
    uneven: true,
    capacity: 17_143.0,
};

impl Deployment {
    /// Returns the mean speed of an engine, as routers have learned it.
    fn speed(&self, engine: usize) -> f64 {
        let slower = if self.uneven {
            (SLOWDOWN.0 - 1.0) * SLOWDOWN.1
        } else {
            0.0
        };
        self.speeds[engine % 3] / (1.0 + slower)
    }

    /// Returns the speed of an engine at a time.
    fn speed_at(&self, engine: usize, at: Time) -> f64 {
        let draw = Rng::with_seed(at.0 / SLOWDOWN_INTERVAL.0 * 100 + engine as u64).f64();
        let slow = self.uneven && draw < SLOWDOWN.1;
        self.speeds[engine % 3] / if slow { SLOWDOWN.0 } else { 1.0 }
    }
}

#[derive(Debug)]
struct Call {
    workspace: u32,
    kind: usize,
    document: u64,
    arrived: Time,
    /// When the current attempt arrived, and its number.
    sent: Time,
    attempt: u32,
    router: usize,
    roll: f64,
    place: Option<(WaiterKey, Place)>,
    /// The retry delay of the last try.
    retry_after: Span,
    first_event: Option<Span>,
}

#[derive(Debug, Clone, Copy)]
enum Event {
    Arrive(usize),
    Expire(usize, u32),
    Round(usize),
    Read(usize, ReplicaKey, u64),
    End(usize, ReplicaKey, Load),
    Report,
}

struct Router {
    board: Board,
    quota: Quota,
    queue: Queue<usize>,
    next_round: Time,
}

struct World {
    deployment: Deployment,
    now: Time,
    rng: Rng,
    seed: u64,
    waits: bool,
    routers: Vec<Router>,
    engines: Vec<ReplicaId>,
    read_until: HashMap<ReplicaKey, Time>,
    calls: Vec<Call>,
    events: BTreeMap<(Time, u64), Event>,
    count: u64,
    /// The longest wait beyond a call's limit.
    overdue: Span,
}

/// What callers got that arrived during the excess load.
#[derive(Debug, Default, Clone, Copy)]
struct Served {
    calls: u32,
    in_time: u32,
    late: u32,
    rejected: u32,
    rejected_twice: u32,
    /// The fraction in time in the worst tenth of workspaces.
    worst_tenth: f64,
}

/// The result of an attempt that found no room, or gave way.
struct NoRoom {
    place: Option<Place>,
    retry_after: Span,
}

const SETUPS: [(Deployment, usize); 4] = [(MWAMBAO, 1), (MWAMBAO, 8), (KAPLJICA, 1), (KAPLJICA, 8)];

fn service() -> ServiceId {
    "s".parse().unwrap()
}

impl World {
    fn new(deployment: Deployment, routers: usize, waits: bool, seed: u64) -> World {
        let router = || {
            let mut quota = Quota::new(Span::secs(4));
            quota.set_capacity(deployment.capacity * ENGINES as f64);
            Router {
                board: Board::default(),
                quota,
                queue: Queue::default(),
                next_round: Time(0),
            }
        };
        let names = (0..ENGINES).map(|i| format!("i-{i}").parse().unwrap());
        World {
            deployment,
            now: Time(0),
            rng: Rng::with_seed(seed),
            seed: seed << 32,
            waits,
            routers: (0..routers).map(|_| router()).collect(),
            engines: names.collect(),
            read_until: HashMap::new(),
            calls: Vec::new(),
            events: BTreeMap::new(),
            count: 0,
            overdue: Span::ZERO,
        }
    }

    fn schedule(&mut self, at: Time, event: Event) {
        self.count += 1;
        self.events.insert((at, self.count), event);
    }

    /// Schedules the first attempts of all calls; `excess` is the factor of a workspace's rate.
    fn add_calls(&mut self, excess: impl Fn(u32) -> f64) {
        let weight = |w: u32| if w < 3 { 6.0 } else { 1.0 };
        let total: f64 = (0..WORKSPACES).map(weight).sum();
        let own: u32 = KINDS.iter().map(|k| k.1).sum();
        let speed: f64 = (0..ENGINES).map(|e| self.deployment.speed(e)).sum();
        let capacity = speed * 1e3 * KINDS.len() as f64 / f64::from(own);
        for workspace in 0..WORKSPACES {
            let usual = USUAL_LOAD * capacity * weight(workspace) / total;
            let mut at = Time(0);
            while at < END {
                let excess_now = at >= EXCESS.0 && at < EXCESS.1;
                let factor = if excess_now { excess(workspace) } else { 1.0 };
                let gap = -(1.0 - self.rng.f64()).ln() / (usual * factor);
                at += Span((gap * 1e6) as u64);
                self.calls.push(Call {
                    workspace,
                    kind: self.rng.usize(..KINDS.len()),
                    document: u64::from(workspace) * 5 + self.rng.u64(..5),
                    arrived: at,
                    sent: at,
                    attempt: 0,
                    router: 0,
                    roll: 0.0,
                    place: None,
                    retry_after: Span::ZERO,
                    first_event: None,
                });
                self.schedule(at, Event::Arrive(self.calls.len() - 1));
            }
        }
    }

    fn run(&mut self) {
        self.schedule(Time(0) + REPORT_INTERVAL, Event::Report);
        while let Some(((at, _), event)) = self.events.pop_first() {
            self.now = at;
            match event {
                Event::Arrive(call) => self.arrive(call),
                Event::Expire(call, attempt) => self.expire(call, attempt),
                Event::Round(router) => self.run_round(router),
                Event::Read(router, engine, tokens) => {
                    self.routers[router].board.read(engine, tokens);
                    self.record_room(router);
                }
                Event::End(router, engine, load) => {
                    self.routers[router].board.end(engine, load);
                    self.record_room(router);
                }
                Event::Report => self.report(),
            }
        }
    }

    fn record_room(&mut self, router: usize) {
        if self.routers[router].queue.record_room() {
            let at = self.routers[router].next_round.max(self.now);
            self.schedule(at, Event::Round(router));
        }
    }

    fn report(&mut self) {
        let now = self.now;
        for i in 0..self.routers.len() {
            let name: RouterId = format!("r-{i}").parse().unwrap();
            let loads = self.routers[i].board.report();
            let counts = self.routers[i].quota.report(now);
            for peer in (0..self.routers.len()).filter(|peer| *peer != i) {
                self.routers[peer].board.set_peer(&name, &loads, now);
                self.routers[peer].quota.set_peer(&name, &counts, now);
            }
        }
        for router in 0..self.routers.len() {
            self.record_room(router);
        }
        if now < END {
            self.schedule(now + REPORT_INTERVAL, Event::Report);
        }
    }

    fn arrive(&mut self, call: usize) {
        let at = &mut self.calls[call];
        at.attempt += 1;
        // The same draws whether calls wait or not.
        let mut rng = Rng::with_seed(self.seed + call as u64 * 2 + u64::from(at.attempt));
        let router = rng.usize(..self.routers.len());
        (at.router, at.roll, at.sent) = (router, rng.f64(), self.now);
        let (workspace, cost) = (WorkspaceKey(at.workspace), prompt(at).cost());
        let quota = &mut self.routers[router].quota;
        quota.record_requested(workspace, cost, self.now);
        if let Err(no_room) = self.attempt(call, true) {
            self.wait_or_reject(call, &no_room);
        }
    }

    fn wait_or_reject(&mut self, call: usize, no_room: &NoRoom) {
        let (now, router) = (self.now, self.calls[call].router);
        let queue = &mut self.routers[router].queue;
        let place = no_room.place.filter(|_| self.waits);
        let joined = place.and_then(|place| {
            let key = queue.join(&service(), place, call, now).ok()?;
            Some((key, place))
        });
        let Some((key, place)) = joined else {
            return self.reject(call, no_room.retry_after);
        };
        self.calls[call].place = Some((key, place));
        self.calls[call].retry_after = no_room.retry_after;
        let expire = Event::Expire(call, self.calls[call].attempt);
        self.schedule(place.latest_start, expire);
        let at = self.routers[router].next_round.max(now);
        self.schedule(at, Event::Round(router));
    }

    fn reject(&mut self, call: usize, retry_after: Span) {
        let at = &self.calls[call];
        let left = (at.arrived + Span::secs(KINDS[at.kind].4)).since(self.now);
        if at.attempt == 1 && retry_after.0 <= left.0 / 3 {
            self.schedule(self.now + retry_after, Event::Arrive(call));
        } else {
            self.calls[call].attempt += 1;
        }
    }

    fn expire(&mut self, call: usize, attempt: u32) {
        let at = &mut self.calls[call];
        if at.attempt != attempt {
            return;
        }
        if let Some((key, _)) = at.place.take() {
            let (router, retry_after) = (at.router, at.retry_after);
            self.routers[router].queue.leave(key);
            self.reject(call, retry_after);
        }
    }

    fn run_round(&mut self, router: usize) {
        let now = self.now;
        if now < self.routers[router].next_round || self.routers[router].queue.is_empty() {
            return;
        }
        self.routers[router].next_round = now + ROUND_PAUSE;
        let round = self.routers[router].queue.begin_round();
        for call in &round.turns {
            self.try_again(*call);
        }
        self.routers[router].queue.end_round(&round);
        self.schedule(now + ROUND_INTERVAL, Event::Round(router));
    }

    fn try_again(&mut self, call: usize) {
        let Some((key, place)) = self.calls[call].place else {
            return;
        };
        let late = self.now.since(place.latest_start);
        self.overdue = self.overdue.max(late);
        let tried = self.attempt(call, false);
        let queue = &mut self.routers[self.calls[call].router].queue;
        match tried {
            Ok(()) => queue.admit(key, self.now),
            Err(NoRoom { place, retry_after }) => {
                if place.is_some() {
                    self.calls[call].retry_after = retry_after;
                    return;
                }
                queue.leave(key);
                self.reject(call, retry_after);
            }
        }
        self.calls[call].place = None;
    }

    fn candidates(&self, router: usize) -> Vec<Candidate> {
        let engine = |(n, id): (usize, &ReplicaId)| Candidate {
            same_zone: true,
            id: id.clone(),
            key: ReplicaKey::of(id),
            slots: self.deployment.slots,
            memory: self.deployment.memory,
            speed: self.deployment.speed(n),
            load: self.routers[router]
                .board
                .load(ReplicaKey::of(id), self.now),
            penalty: 0.0,
            room: 0.0,
            version: None,
            can_copy: true,
            cached_age_s: None,
        };
        self.engines.iter().enumerate().map(engine).collect()
    }

    /// Tries to place a call, and gives way to those that wait if it is new.
    fn attempt(&mut self, call: usize, new: bool) -> Result<(), NoRoom> {
        let (now, tuning) = (self.now, Tuning::default());
        let at = &self.calls[call];
        let (router, sent, kind) = (at.router, at.sent, KINDS[at.kind]);
        let (prompt, key) = (prompt(at), WorkspaceKey(at.workspace));
        let usage = self.routers[router].quota.standing(key, at.roll, now);
        let target = Span::millis(kind.3);
        let picked = pick(
            &self.candidates(router),
            &PlacementRequest {
                tolerant: true,
                working_set_fits: false,
                prompt: &prompt,
                answer: AnswerState::NotStarted,
                target: Span(target.0 - now.since(sent).0),
                shortest_target: SHORTEST_TARGET,
                usage,
                load_interval: REPORT_INTERVAL,
                tuning: &tuning,
            },
        );
        let place = |usage: UsageStanding, reading, gave_way| {
            let timing = Timing {
                arrived: sent,
                target,
                deadline: sent + Span::secs(kind.4),
                reading,
            };
            Place {
                rank: Rank {
                    over_share: usage.share >= tuning.over_from,
                    send_by: timing.send_by(),
                    priority: Priority::default(),
                },
                latest_start: timing.latest_start(),
                gave_way,
            }
        };
        let choice = match picked {
            Pick::Run(choice) => choice,
            Pick::Reject {
                retry_after,
                bound,
                reading,
                ..
            } => {
                let place = may_wait(bound, usage).then(|| place(usage, reading, false));
                return Err(NoRoom { place, retry_after });
            }
        };
        let queue = &self.routers[router].queue;
        let beyond = usage.max_min_ratio > 1.0 && !queue.is_empty();
        let place = place(usage, choice.reading, true);
        if new && (beyond || queue.gives_way(&service(), place, now)) {
            let least = Span::millis(tuning.retry_ms as u64);
            let expected = queue.expected_wait(&service(), now);
            return Err(NoRoom {
                place: (!beyond).then_some(place),
                retry_after: expected.clamp(least, Span::secs(2)),
            });
        }
        let load = Load {
            running: 1,
            unread: u64::from(choice.uncached),
            memory: u64::from(prompt.total + prompt.output),
        };
        let router_state = &mut self.routers[router];
        router_state.quota.record_served(key, prompt.cost(), now);
        router_state.board.start(choice.key, load);
        let engine = self.engines.iter().position(|e| *e == choice.replica);
        let until = self.read_until.entry(choice.key).or_default();
        *until = now.max(*until);
        let speed = self.deployment.speed_at(engine.unwrap(), *until);
        *until += Span((f64::from(choice.uncached) / speed * 1e3) as u64);
        let first = *until + OVERHEAD;
        let end = first + EVENT_INTERVAL * f64::from(kind.2);
        self.schedule(first, Event::Read(router, choice.key, load.unread));
        let left = Load { unread: 0, ..load };
        self.schedule(end, Event::End(router, choice.key, left));
        let at = &mut self.calls[call];
        at.first_event = Some(first.since(at.arrived));
        Ok(())
    }

    fn served(&self) -> Served {
        let mut all = Served::default();
        let mut workspaces = vec![(0_u32, 0_u32); WORKSPACES as usize];
        let counted = |c: &&Call| c.arrived >= EXCESS.0 && c.arrived < EXCESS.1;
        for call in self.calls.iter().filter(counted) {
            let target = Span::millis(KINDS[call.kind].3);
            let in_time = call.first_event.is_some_and(|first| first <= target);
            all.calls += 1;
            all.in_time += u32::from(in_time);
            all.late += u32::from(call.first_event.is_some() && !in_time);
            all.rejected += u32::from(call.attempt > 1);
            all.rejected_twice += u32::from(call.first_event.is_none());
            let workspace = &mut workspaces[call.workspace as usize];
            workspace.0 += u32::from(in_time);
            workspace.1 += 1;
        }
        let mut fractions: Vec<f64> = workspaces
            .iter()
            .map(|(in_time, calls)| f64::from(*in_time) / f64::from((*calls).max(1)))
            .collect();
        fractions.sort_by(f64::total_cmp);
        let tenth = WORKSPACES as usize / 10;
        all.worst_tenth = fractions[..tenth].iter().sum::<f64>() / tenth as f64;
        all
    }
}

fn prompt(call: &Call) -> Prompt {
    let (shared, own, events, ..) = KINDS[call.kind];
    let part = |id, tokens| Part { id, tokens };
    let document = call.document * 10 + call.kind as u64;
    Prompt {
        parts: vec![part(document, shared), part(u64::MAX, own)],
        total: shared + own,
        output: events,
    }
}

/// Runs the load with the queue and with immediate rejection, and prints both.
fn compare(
    deployment: Deployment,
    routers: usize,
    excess: impl Fn(u32) -> f64 + Copy,
) -> (Served, Served) {
    let run = |waits| {
        let mut sum = Served::default();
        for seed in 0..SEEDS {
            let mut world = World::new(deployment, routers, waits, seed);
            world.add_calls(excess);
            world.run();
            assert_eq!(world.overdue, Span::ZERO, "a call waited beyond its limit");
            let served = world.served();
            sum.calls += served.calls;
            sum.in_time += served.in_time;
            sum.late += served.late;
            sum.rejected += served.rejected;
            sum.rejected_twice += served.rejected_twice;
            sum.worst_tenth += served.worst_tenth / SEEDS as f64;
        }
        sum
    };
    let (waiting, immediate) = (run(true), run(false));
    println!(
        "{} slots, {routers} routers\n waiting   {waiting:?}\n immediate {immediate:?}",
        deployment.slots
    );
    (waiting, immediate)
}

/// Checks that callers are served better: not fewer in time and not more rejected twice. With uneven
/// engines, more must be in time.
///
/// The page of the design names no margins. These allow a thousandth of the calls as noise, as calls
/// take other engines in the two runs, and half a percent for late calls and for the worst tenth of
/// workspaces.
fn assert_better(deployment: Deployment, routers: usize, excess: impl Fn(u32) -> f64 + Copy) {
    let (waiting, immediate) = compare(deployment, routers, excess);
    assert_eq!(waiting.calls, immediate.calls);
    let noise = waiting.calls / 1_000;
    assert!(waiting.in_time + noise >= immediate.in_time);
    assert!(waiting.rejected_twice <= immediate.rejected_twice + noise);
    assert!(waiting.late <= immediate.late + 5 * noise);
    assert!(waiting.worst_tenth + 0.005 >= immediate.worst_tenth);
    if deployment.uneven {
        assert!(waiting.in_time > immediate.in_time + noise);
    }
}

/// Guards against a queue that serves callers worse than immediate rejection in a step.
#[test]
fn load_step() {
    for (deployment, routers) in SETUPS {
        assert_better(deployment, routers, |_| 1.9);
    }
}

/// Guards against the same in a surge of some workspaces.
#[test]
fn load_surge() {
    for (deployment, routers) in SETUPS {
        assert_better(deployment, routers, |workspace| match workspace < 13 {
            true => 3.0,
            false => 1.0,
        });
    }
}
