//! Checks of what callers and replicas saw.

use {
    super::history::{
        Arrival,
        Exchange,
        History,
        Kind,
        Pause,
        ReplicaStart,
        RequestId,
        RouterStarted,
        Serving,
        Stall,
        StreamAttempts,
        StreamPart, //
    },
    std::{
        collections::{
            BTreeSet,
            HashMap, //
        },
        fmt,
        time::{
            Duration,
            Instant, //
        },
    },
};

/// Time after a rejection in which requests that were on their way may still arrive.
const IN_FLIGHT: Duration = Duration::from_millis(500);
/// Requests that may arrive between that and the end of the pause.
const MAX_LATE: usize = 2;
/// A router is in contact once it has run undisturbed for this long.
const CONTACT: Duration = Duration::from_secs(3);
/// Streams that are taken up again, from which on their share counts.
const MIN_TAKEN_UP: usize = 12;
/// Crashes under a part from which on requests with it may no longer be sent, and how many may be.
const ENDS_ALLOWED: usize = 5;
const LATE_ALLOWED: usize = 3;
/// Sound streams from which on their share counts.
const MIN_SOUND: usize = 20;
/// Statuses that promise a request was not run and never will be.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];

/// A process of a router.
type RouterStart = (usize, u32);

/// What happened, by request.
struct Record<'a> {
    exchanges: HashMap<RequestId, &'a Exchange>,
    arrivals: &'a [Arrival],
    pauses: &'a [Pause],
    stalls: &'a [Stall],
    streams: &'a [StreamAttempts],
    serving: &'a [Serving],
    starts: &'a [RouterStarted],
    crashes: &'a [Instant],
}

/// How many streams began, and how many of those that were taken up again went on.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Shares {
    pub(crate) new: usize,
    pub(crate) begun: usize,
    pub(crate) taken: usize,
    pub(crate) went_on: usize,
}

/// Replicas that crashed under a part of prompts, requests with it that were sent too late, and how
/// many sound streams began before the first crash and long enough after.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Crashes {
    pub(crate) crashed: usize,
    late: usize,
    before: usize,
    begun_before: usize,
    after: usize,
    begun_after: usize,
}

impl fmt::Display for Crashes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Crashes {
            crashed,
            late,
            before,
            begun_before,
            after,
            begun_after,
        } = self;
        write!(
            f,
            "{crashed} crashed, {late} late, {begun_before} of {before} began before and \
             {begun_after} of {after} after"
        )
    }
}

impl Crashes {
    fn violations(&self) -> Option<String> {
        let share = |begun: usize, of: usize| begun as f64 / of.max(1) as f64;
        let enough = self.before >= MIN_SOUND && self.after >= MIN_SOUND;
        let few = share(self.begun_after, self.after) < share(self.begun_before, self.before) / 2.0;
        (self.late > LATE_ALLOWED || enough && few).then(|| self.to_string())
    }
}

/// Returns what went wrong in a run, one line each.
pub(crate) fn violations(history: &History) -> ((Shares, Crashes), Vec<String>) {
    let exchanges = history.exchanges.lock().unwrap();
    let (arrivals, pauses) = (
        history.arrivals.lock().unwrap(),
        history.pauses.lock().unwrap(),
    );
    let stalls = history.stalls.lock().unwrap();
    let (streams, serving) = (
        history.streams.lock().unwrap(),
        history.serving.lock().unwrap(),
    );
    let starts = history.router_starts.lock().unwrap();
    let crashes = history.crashes.lock().unwrap();
    let record = Record {
        exchanges: exchanges.iter().map(|e| (e.request, e)).collect(),
        arrivals: &arrivals,
        pauses: &pauses,
        stalls: &stalls,
        streams: &streams,
        serving: &serving,
        starts: &starts,
        crashes: &crashes,
    };
    let shares = record.shares();
    let crashed = record.crashed();
    let mut found = history.violations.lock().unwrap().clone();
    found.extend(record.after_leaving());
    found.extend(record.after_pauses());
    found.extend(record.late_in_pauses());
    found.extend(record.run_twice());
    found.extend(record.mixed_streams());
    found.extend(too_few_go_on(shares));
    found.extend(crashed.violations());
    ((shares, crashed), found)
}

/// Fewer streams that were taken up again went on than half of the share of new ones that began.
fn too_few_go_on(shares: Shares) -> Option<String> {
    let Shares {
        new,
        begun,
        taken,
        went_on,
    } = shares;
    let share = |n: usize, of: usize| n as f64 / of.max(1) as f64;
    let few = share(went_on, taken) < share(begun, new) / 2.0;
    (taken >= MIN_TAKEN_UP && few)
        .then(|| format!("{went_on} of {taken} streams went on, where {begun} of {new} began"))
}

/// Returns the process that handled a request, if it is certain.
fn process(exchange: &Exchange) -> Option<RouterStart> {
    let (before, after) = exchange.starts;
    (before == after).then_some((exchange.request.router, before))
}

impl Record<'_> {
    fn process_of(&self, request: RequestId) -> Option<RouterStart> {
        process(self.exchanges.get(&request)?)
    }

    fn stalled(&self, router: usize, from: Instant, until: Instant) -> bool {
        let of_router = |s: &&Stall| s.router.is_none_or(|n| n == router);
        let mut stalls = self.stalls.iter().filter(of_router);
        stalls.any(|s| s.from <= until && s.until >= from)
    }

    /// A request sent after its router had forwarded an answer which says that a replica leaves,
    /// at that replica. A router applies what an answer says before it forwards it, so no time
    /// needs to pass in between.
    fn after_leaving(&self) -> Vec<String> {
        let mut known: HashMap<(RouterStart, ReplicaStart), Instant> = HashMap::new();
        for exchange in self.exchanges.values() {
            let answer = exchange.answer.filter(|a| a.leaving);
            let (Some(answer), Some(process)) = (answer, process(exchange)) else {
                continue;
            };
            let Some(replica) = answer.replica else {
                continue;
            };
            let at = known.entry((process, replica)).or_insert(answer.at);
            *at = answer.at.min(*at);
        }
        let late = self.arrivals.iter().filter_map(|a| {
            let exchange = self.exchanges.get(&a.request)?;
            let known = known.get(&(process(exchange)?, a.replica))?;
            (exchange.sent > *known).then(|| {
                let ms = (exchange.sent - *known).as_millis();
                format!(
                    "{} reached {}, {ms} ms after its router knew it leaves",
                    a.request, a.replica
                )
            })
        });
        late.collect()
    }

    /// A request sent after its router had answered the one that a replica rejected with a pause,
    /// at that replica before the end of the pause.
    fn after_pauses(&self) -> Vec<String> {
        let mut found = Vec::new();
        for pause in self.pauses {
            let Some(rejected) = self.exchanges.get(&pause.request) else {
                continue;
            };
            let (Some(answer), Some(by)) = (rejected.answer, process(rejected)) else {
                continue;
            };
            if self.stalled(by.0, rejected.sent, answer.at) {
                continue;
            }
            let until = pause.at + pause.time;
            let late = self.arrivals.iter().filter(|a| {
                a.replica == pause.replica
                    && a.at < until
                    && self.process_of(a.request) == Some(by)
                    && self.exchanges[&a.request].sent > answer.at
            });
            found.extend(late.map(|a| {
                let left = (until - a.at).as_millis();
                format!(
                    "{} reached {}, {left} ms before the end of its pause",
                    a.request, a.replica
                )
            }));
        }
        found
    }

    /// More requests in a pause than may have been on their way.
    fn late_in_pauses(&self) -> Vec<String> {
        let mut found = Vec::new();
        for pause in self.pauses {
            let Some(by) = self.process_of(pause.request) else {
                continue;
            };
            let (from, until) = (pause.at + IN_FLIGHT, pause.at + pause.time);
            if self.stalled(by.0, pause.at, until.max(from)) {
                continue;
            }
            let late = self.arrivals.iter().filter(|a| {
                a.replica == pause.replica
                    && a.at > from
                    && a.at < until
                    && self.process_of(a.request) == Some(by)
            });
            let count = late.count();
            if count > MAX_LATE {
                let Pause { replica, time, .. } = pause;
                found.push(format!(
                    "{count} requests of r{} in a pause of {replica}, {time:?}",
                    by.0
                ));
            }
        }
        found
    }

    /// A request that must not run twice and did, or that ran though its caller was told otherwise.
    fn run_twice(&self) -> Vec<String> {
        let mut runs: HashMap<RequestId, usize> = HashMap::new();
        for arrival in self.arrivals.iter().filter(|a| a.ran) {
            *runs.entry(arrival.request).or_default() += 1;
        }
        let single = self.exchanges.values().filter(|e| e.kind == Kind::Single);
        let found = single.filter_map(|e| {
            let runs = runs.get(&e.request).copied().unwrap_or(0);
            let rejected = e.answer.is_some_and(|a| NOT_RUN.contains(&a.status));
            match runs {
                0 => None,
                1 if !rejected => None,
                1 => Some(format!("{} ran and was rejected", e.request)),
                n => Some(format!("{} ran {n} times", e.request)),
            }
        });
        found.collect()
    }

    /// A stream with events of several versions, or of several services.
    fn mixed_streams(&self) -> Vec<String> {
        let mixed = self.streams.iter().filter_map(|parts| {
            let written = parts.iter().flat_map(|p| &p.written);
            let software: BTreeSet<&String> = written.collect();
            let requests: Vec<String> = parts.iter().map(|p| p.request.to_string()).collect();
            (software.len() > 1).then(|| format!("{software:?} wrote the stream of {requests:?}"))
        });
        mixed.collect()
    }

    /// Returns whether the router that got an attempt had run undisturbed for long enough, and still
    /// did when the attempt ended.
    fn in_contact(&self, part: &StreamPart) -> bool {
        part.starts.0 == part.starts.1 && self.was_in_contact(part.request.router, part.sent)
    }

    /// Returns whether a router had run undisturbed for long enough at some time.
    fn was_in_contact(&self, router: usize, at: Instant) -> bool {
        let from = at - CONTACT;
        let mut starts = self.starts.iter().filter(|s| s.router == router);
        let started = starts.any(|s| s.at > from && s.at <= at);
        !started && !self.stalled(router, from, at)
    }

    /// Returns what became of requests with the part that crashes replicas, and of those beside them.
    fn crashed(&self) -> Crashes {
        let mut crashes = Crashes {
            crashed: self.crashes.len(),
            ..Crashes::default()
        };
        let mut times = self.crashes.to_vec();
        times.sort();
        let Some(first) = times.first() else {
            return crashes;
        };
        let streams = self.exchanges.values().filter(|e| e.kind == Kind::Stream);
        let of_router = |e: &&&Exchange| {
            e.starts.0 == e.starts.1 && self.was_in_contact(e.request.router, e.sent)
        };
        let last = times.get(ENDS_ALLOWED - 1).or(times.last());
        for exchange in streams.filter(|e| !e.deadly) {
            let begun = usize::from(exchange.begun);
            if exchange.sent < *first {
                crashes.before += 1;
                crashes.begun_before += begun;
            } else if of_router(&exchange)
                && last.is_some_and(|at| exchange.sent > *at + 2 * CONTACT)
            {
                crashes.after += 1;
                crashes.begun_after += begun;
            }
        }
        if let Some(fifth) = times.get(ENDS_ALLOWED - 1) {
            let is_deadly = |a: &&Arrival| self.exchanges.get(&a.request).is_some_and(|e| e.deadly);
            let late = self.arrivals.iter().filter(|a| a.at > *fifth + CONTACT);
            let late = late.filter(is_deadly);
            crashes.late = late
                .filter(|a| self.was_in_contact(a.request.router, a.at))
                .count();
        }
        crashes
    }

    /// Returns how many replicas of this software served new requests throughout a time.
    fn serving(&self, software: &str, from: Instant, until: Instant) -> usize {
        let mut serving: HashMap<usize, bool> = HashMap::new();
        for change in self.serving.iter().filter(|c| c.at <= until) {
            let serves = change.software.is_some_and(|s| s.to_string() == software);
            let throughout = match change.at <= from {
                true => serves,
                false => serves && serving.get(&change.replica) == Some(&true),
            };
            serving.insert(change.replica, throughout);
        }
        serving.values().filter(|serves| **serves).count()
    }

    fn shares(&self) -> Shares {
        let mut shares = Shares::default();
        for parts in self.streams {
            let first = parts.first().filter(|p| self.in_contact(p));
            shares.new += usize::from(first.is_some());
            shares.begun += usize::from(first.is_some_and(|p| !p.written.is_empty()));
            let software = parts.iter().flat_map(|p| &p.written).next();
            let Some(software) = software else {
                continue;
            };
            let two_serve = |p: &&StreamPart| {
                self.serving(software, p.sent - CONTACT / 3, p.sent) >= 2 && self.in_contact(p)
            };
            // Callers may make one more attempt only.
            let taken = parts.iter().find(|p| p.after > 0).filter(two_serve);
            shares.taken += usize::from(taken.is_some());
            shares.went_on += usize::from(taken.is_some_and(|p| !p.written.is_empty()));
        }
        shares
    }
}
