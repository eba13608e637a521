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
        Stall, //
    },
    std::{
        collections::HashMap,
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
}

/// Returns what went wrong in a run, one line each.
pub(crate) fn violations(history: &History) -> Vec<String> {
    let exchanges = history.exchanges.lock().unwrap();
    let (arrivals, pauses) = (
        history.arrivals.lock().unwrap(),
        history.pauses.lock().unwrap(),
    );
    let stalls = history.stalls.lock().unwrap();
    let record = Record {
        exchanges: exchanges.iter().map(|e| (e.request, e)).collect(),
        arrivals: &arrivals,
        pauses: &pauses,
        stalls: &stalls,
    };
    let mut found = history.violations.lock().unwrap().clone();
    found.extend(record.after_leaving());
    found.extend(record.after_pauses());
    found.extend(record.late_in_pauses());
    found.extend(record.run_twice());
    found
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
}
