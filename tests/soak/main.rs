//! A soak of real gateway processes before stand-ins, with overlapping faults and checks of what
//! callers and replicas saw.
//!
//! `SOAK_SEEDS=1..51 cargo test --test soak` runs other seeds than the two of the test run.
//! `SOAK_PROGRAM` names another build to run, and `SOAK_LOGS` a directory for the routers' logs.

mod caller;
mod check;
mod handover;
mod history;
#[path = "../common/http.rs"]
mod http;
mod plan;
mod replica;
mod router;
mod schedule;
#[path = "../common/settings.rs"]
mod settings;
#[path = "../common/signal.rs"]
mod signal;
#[allow(dead_code, reason = "the tests of entries use the rest")]
#[path = "../common/store.rs"]
mod store;

use {
    self::{
        caller::Caller,
        check::{
            Crashes,
            Shares, //
        },
        history::{
            History,
            Stall, //
        },
        plan::{
            Plan,
            CRASHES,
            FAULTS,
            RELEASES, //
        },
        replica::FakeReplica,
        router::{
            Router,
            RouterHandle, //
        },
        schedule::{
            steps,
            Step,
            LENGTH, //
        },
        signal::Signal,
        store::FakeStore, //
    },
    adapter::testing::{
        config,
        RouteEntry,
        CONFIG_KEY, //
    },
    std::{
        collections::HashMap,
        env, fmt,
        ops::Range,
        process,
        sync::{
            atomic::{
                AtomicBool,
                AtomicU64,
                Ordering, //
            },
            Arc, //
        },
        thread::{
            self,
            JoinHandle, //
        },
        time::{
            Duration,
            Instant, //
        },
    },
};

/// Time limit that only a hang exceeds.
const HANG_TIMEOUT: Duration = Duration::from_secs(40);
/// Replicas write to the store when it is back at last after this long.
const STORE_RETRY_MS: u64 = 200;
/// A sleep that takes this much longer than asked for shows that the machine is too busy to tell
/// what is late.
const STALL: Duration = Duration::from_millis(150);
const STALL_CHECK: Duration = Duration::from_millis(20);
/// Requests in a row that each router answers after the faults.
const ANSWERED_IN_A_ROW: usize = 20;

/// A fleet with its callers and stand-ins.
struct Soak {
    plan: &'static Plan,
    store: FakeStore,
    replicas: Vec<FakeReplica>,
    routers: Vec<Router>,
    history: Arc<History>,
    /// When stopped routers were stopped.
    stopped: HashMap<usize, Instant>,
    version: u64,
}

/// Before the releases of half of the seeds there is one version for longer than any stream lasts.
const CALM: Duration = Duration::from_secs(11);
/// Networks of the seeds of one plan.
const NETS: u64 = 80;

/// Numbers that show whether a run had anything to check.
#[derive(Debug, Default)]
struct Counts {
    requests: usize,
    answered: usize,
    leaving: usize,
    pauses: usize,
    streams: Shares,
    crashes: Crashes,
}

impl fmt::Display for Counts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Counts {
            requests,
            answered,
            leaving,
            pauses,
            streams,
            crashes,
        } = self;
        let Shares {
            new,
            begun,
            taken,
            went_on,
        } = streams;
        write!(
            f,
            "{requests} requests, {answered} answered, {leaving} answers of leaving replicas, \
             {pauses} pauses, {begun} of {new} streams began, {went_on} of {taken} went on, {crashes}"
        )
    }
}

fn configuration(plan: &Plan, version: u64) -> serde_json::Value {
    let route = |name, route_type, split: &[(&'static str, u32)]| RouteEntry {
        name,
        host: "a.example",
        route_type,
        timeout_ms: 4_000,
        max_attempts: 3,
        split: split.to_vec(),
    };
    let routes = [
        route("single", "non_idempotent", &[("desk", 1)]),
        route("again", "idempotent", &[("desk", 1)]),
        route("stream", "streaming", plan.split),
    ];
    let (plain, engines) = (plan.service_names(false), plan.service_names(true));
    config(version, &routes, &plain, &engines, plan.slots)
}

impl Soak {
    /// Starts everything and waits until each router is ready.
    fn start(plan: &'static Plan, seed: u64) -> Soak {
        let (store, history) = (FakeStore::start(), Arc::new(History::default()));
        store.put(CONFIG_KEY, &configuration(plan, 1));
        let services = plan.replica_services().enumerate();
        let replicas =
            services.map(|(n, service)| FakeReplica::start(n, service, plan, &history, &store));
        let replicas = replicas.collect();
        let third = plan.net + seed % NETS;
        let net = format!("127.{}.{third}", 20 + process::id() % 200);
        let soak = Soak {
            plan,
            routers: Router::start_all(plan.routers, &net, store.addr, &history),
            replicas,
            store,
            history,
            stopped: HashMap::new(),
            version: 1,
        };
        wait_until("the routers are ready", || {
            soak.routers.iter().all(Router::is_ready)
        });
        soak
    }

    fn start_callers(&self, seed: u64, stop: &Arc<AtomicBool>) -> Vec<JoinHandle<()>> {
        let numbers = Arc::new(AtomicU64::new(0));
        let handles: Vec<RouterHandle> = self.routers.iter().map(Router::handle).collect();
        let callers = (0..self.plan.callers).map(|n| {
            let caller = Caller {
                router: n % self.plan.routers,
                handles: handles.clone(),
                plan: *self.plan,
                history: self.history.clone(),
                numbers: numbers.clone(),
                stop: stop.clone(),
                rng: fastrand::Rng::with_seed(seed * 1_000 + n as u64),
                begun: Instant::now(),
                deadly_first: seed % 2 == 1,
            };
            caller.start()
        });
        callers.collect()
    }

    /// Applies a step. Returns whether it has to be done later, as the store is unavailable.
    fn apply(&mut self, step: Step) -> bool {
        let needs_store = matches!(
            step,
            Step::ListLeaving(_)
                | Step::Unlist(_)
                | Step::RestartReplica(_)
                | Step::Replace(..)
                | Step::Configure
        );
        if needs_store && !self.store.is_available() {
            return true;
        }
        match step {
            Step::Leave(n) => self.replicas[n].set_leaving(),
            Step::ListLeaving(n) => self.replicas[n].register("draining"),
            Step::Unlist(n) => self.replicas[n].unregister(),
            Step::EndReplica(n) => self.replicas[n].end(),
            Step::RestartReplica(n) => {
                self.replicas[n].restart();
                self.replicas[n].register("ready");
            }
            Step::Pause(n, time) => self.replicas[n].set_pause(time),
            Step::Failing(n, failing) => self.replicas[n].set_failing(failing),
            Step::Breaking(n, breaking) => self.replicas[n].set_breaking(breaking),
            Step::Crash(n) => self.replicas[n].crash(),
            Step::Silent(n, time) => self.replicas[n].fall_silent(time),
            Step::Replace(n, version) => {
                self.replicas[n].replace(version);
                self.replicas[n].register("ready");
            }
            Step::Store(fault) => self.store.set_fault(fault),
            Step::Kill(n) => {
                self.resume(n);
                self.routers[n].kill();
            }
            Step::Term(n) => {
                self.resume(n);
                self.routers[n].signal(Signal::Term);
            }
            Step::StartRouter(n) => {
                self.resume(n);
                self.routers[n].wait();
                self.routers[n].start();
            }
            Step::Stop(n) => {
                self.routers[n].signal(Signal::Stop);
                self.stopped.entry(n).or_insert(Instant::now());
            }
            Step::Cont(n) => self.resume(n),
            Step::Configure => {
                self.version += 1;
                let config = configuration(self.plan, self.version);
                self.store.put(CONFIG_KEY, &config);
            }
        }
        false
    }

    /// Lets a router's process run again, if it was stopped.
    fn resume(&mut self, n: usize) {
        let Some(from) = self.stopped.remove(&n) else {
            return;
        };
        self.routers[n].signal(Signal::Cont);
        let stall = Stall {
            router: Some(n),
            from,
            until: Instant::now(),
        };
        self.history.stalls.lock().unwrap().push(stall);
    }

    /// Runs the steps of a seed.
    fn run(&mut self, seed: u64) {
        if self.plan.releases && seed % 2 == 0 {
            thread::sleep(CALM);
        }
        let begun = Instant::now();
        let mut todo = steps(seed, self.plan);
        while !todo.is_empty() {
            let (at, step) = todo.remove(0);
            let at_time = begun + Duration::from_millis(at);
            thread::sleep(at_time.saturating_duration_since(Instant::now()));
            if self.apply(step) {
                let later = at + STORE_RETRY_MS;
                let next = todo.iter().position(|(t, _)| *t > later);
                todo.insert(next.unwrap_or(todo.len()), (later, step));
            }
        }
        for n in 0..self.plan.routers {
            self.resume(n);
        }
        thread::sleep((begun + LENGTH).saturating_duration_since(Instant::now()));
    }

    /// Waits until each router answers requests again, one after the other.
    fn wait_recovered(&self) {
        assert!(self.replicas.iter().all(FakeReplica::is_well));
        for router in 0..self.plan.routers {
            wait_until("a router serves again", || {
                let exchanges = self.history.exchanges.lock().unwrap();
                let own = exchanges.iter().rev();
                let own = own.filter(|e| e.request.router == router && !e.left);
                let last: Vec<Option<u16>> = own
                    .take(ANSWERED_IN_A_ROW)
                    .map(|e| e.answer.map(|a| a.status))
                    .collect();
                let served = last.iter().filter(|s| **s == Some(200)).count();
                let rejected = last.iter().filter(|s| **s == Some(503)).count();
                match self.plan.rejects {
                    // Its replicas may be full.
                    true => served + rejected == ANSWERED_IN_A_ROW && served > rejected,
                    false => served == ANSWERED_IN_A_ROW,
                }
            });
        }
    }

    fn counts(&self, (streams, crashes): (Shares, Crashes)) -> Counts {
        let exchanges = self.history.exchanges.lock().unwrap();
        let answers = || exchanges.iter().filter_map(|e| e.answer);
        Counts {
            requests: exchanges.len(),
            answered: answers().filter(|a| a.status == 200).count(),
            leaving: answers().filter(|a| a.leaving).count(),
            pauses: self.history.pauses.lock().unwrap().len(),
            streams,
            crashes,
        }
    }
}

/// Waits until a condition holds.
fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let until = Instant::now() + HANG_TIMEOUT;
    while !holds() {
        assert!(
            Instant::now() < until,
            "not within {HANG_TIMEOUT:?}: {what}"
        );
        thread::sleep(STALL_CHECK);
    }
}

/// Records when the machine is too busy, until it is told to stop.
fn watch_stalls(history: Arc<History>, stop: Arc<AtomicBool>) -> JoinHandle<()> {
    thread::spawn(move || {
        while !stop.load(Ordering::SeqCst) {
            let from = Instant::now();
            thread::sleep(STALL_CHECK);
            let until = Instant::now();
            if until - from > STALL_CHECK + STALL {
                let stall = Stall {
                    router: None,
                    from,
                    until,
                };
                history.stalls.lock().unwrap().push(stall);
            }
        }
    })
}

/// Runs a seed, and returns what went wrong.
fn soak(plan: &'static Plan, seed: u64) -> (Counts, Vec<String>) {
    let mut soak = Soak::start(plan, seed);
    let stop = Arc::new(AtomicBool::new(false));
    let mut threads = soak.start_callers(seed, &stop);
    threads.push(watch_stalls(soak.history.clone(), stop.clone()));
    soak.run(seed);
    soak.wait_recovered();
    stop.store(true, Ordering::SeqCst);
    for thread in threads {
        thread.join().unwrap();
    }
    let (found, violations) = check::violations(&soak.history);
    (soak.counts(found), violations)
}

/// Returns the seeds to run: `SOAK_SEEDS` as `FIRST..END`, or two.
fn seeds() -> Range<u64> {
    let Ok(text) = env::var("SOAK_SEEDS") else {
        return 1..3;
    };
    let (first, end) = text.split_once("..").expect("SOAK_SEEDS is FIRST..END");
    let number = |text: &str| text.parse().expect("SOAK_SEEDS has whole numbers");
    number(first)..number(end)
}

/// Runs the seeds of a plan, which have no violations, and returns their counts.
fn soak_seeds(plan: &'static Plan) -> Vec<Counts> {
    let mut failed = Vec::new();
    let mut all = Vec::new();
    for seed in seeds() {
        let (counts, violations) = soak(plan, seed);
        println!("seed {seed}: {counts}, {} violations", violations.len());
        for violation in violations.iter().take(8) {
            println!("    {violation}");
        }
        all.push(counts);
        if !violations.is_empty() {
            failed.push(seed);
        }
    }
    assert!(failed.is_empty(), "seeds with violations: {failed:?}");
    all
}

/// Guards against requests to replicas that leave or asked for a pause, requests that run twice or
/// ran though they were rejected, and answers of other requests, while everything fails at once.
#[test]
fn soak_of_seeds() {
    let all = soak_seeds(&FAULTS);
    let leaving: usize = all.iter().map(|c| c.leaving).sum();
    let pauses: usize = all.iter().map(|c| c.pauses).sum();
    assert!(leaving > 0 && pauses > 0, "no replica announced anything");
}

/// Guards against streams of two versions, and against rejecting those that are taken up again, while
/// versions come and go and routers are killed, stopped and restarted.
#[test]
fn soak_of_releases() {
    let all = soak_seeds(&RELEASES);
    let taken: usize = all.iter().map(|c| c.streams.taken).sum();
    assert!(taken > 0, "no stream was taken up again");
}

/// Guards against requests with a part that crashes replicas which go on long after the fifth crash,
/// against sound ones with the same other parts that are rejected for it, and against answers that a
/// crash cuts and that pass for complete ones, while routers are killed, stopped and restarted.
#[test]
fn soak_of_crashes() {
    let all = soak_seeds(&CRASHES);
    let crashes: usize = all.iter().map(|c| c.crashes.crashed).sum();
    assert!(crashes > 0, "no replica crashed under the part");
}
