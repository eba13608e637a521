//! Counts what the gateway's threads use.

use {
    perf_event::{
        events::Tracepoint,
        Builder,
        Counter, //
    },
    std::{
        fs,
        time::Duration, //
    },
};

/// Beginnings of the names of threads that run the gateway.
const THREAD_NAMES: [&str; 3] = ["async-std", "async-io", "async-global"];

/// Where the kernel tells the number of its event for system calls.
const SYSTEM_CALL_ID: &str = "/sys/kernel/tracing/events/raw_syscalls/sys_enter/id";

/// What a load cost.
pub(crate) struct Cost {
    pub(crate) processor: Duration,
    /// None if the kernel doesn't permit to count them.
    pub(crate) calls: Option<u64>,
    /// How often a thread waited and was woken.
    pub(crate) wakes: u64,
}

/// Counts from its start on.
pub(crate) struct Meter {
    threads: Vec<Thread>,
}

struct Thread {
    id: i32,
    processor: Duration,
    wakes: u64,
    calls: Option<Counter>,
}

impl Meter {
    pub(crate) fn start() -> Meter {
        let threads = thread_ids().into_iter().map(|id| Thread {
            id,
            processor: processor_time(id),
            wakes: wakes(id),
            calls: count_calls(id),
        });
        Meter {
            threads: threads.collect(),
        }
    }

    pub(crate) fn stop(mut self) -> Cost {
        let threads = self.threads.iter_mut();
        let calls = threads.map(|t| t.calls.as_mut()?.read().ok());
        let calls: Option<u64> = calls.sum();
        let processor = self.threads.iter();
        let processor = processor.map(|t| processor_time(t.id) - t.processor).sum();
        Cost {
            processor,
            calls,
            wakes: self.threads.iter().map(|t| wakes(t.id) - t.wakes).sum(),
        }
    }
}

/// Returns the threads that run the gateway.
fn thread_ids() -> Vec<i32> {
    let all = fs::read_dir("/proc/self/task").unwrap();
    let ids = all.map(|entry| entry.unwrap().file_name().into_string().unwrap());
    let runs_gateway = |id: &String| {
        let name = fs::read_to_string(format!("/proc/self/task/{id}/comm")).unwrap_or_default();
        THREAD_NAMES.iter().any(|prefix| name.starts_with(prefix))
    };
    ids.filter(runs_gateway)
        .map(|id| id.parse().unwrap())
        .collect()
}

fn processor_time(thread: i32) -> Duration {
    let text = fs::read_to_string(format!("/proc/self/task/{thread}/schedstat")).unwrap();
    Duration::from_nanos(text.split(' ').next().unwrap().parse().unwrap())
}

fn wakes(thread: i32) -> u64 {
    let text = fs::read_to_string(format!("/proc/self/task/{thread}/status")).unwrap();
    let line = text.lines();
    let line = line.filter_map(|l| l.strip_prefix("voluntary_ctxt_switches:"));
    line.map(|n| n.trim().parse::<u64>().unwrap()).sum()
}

fn count_calls(thread: i32) -> Option<Counter> {
    let id = fs::read_to_string(SYSTEM_CALL_ID).ok()?;
    let event = Tracepoint::with_id(id.trim().parse().ok()?);
    let mut counter = Builder::new(event)
        .observe_pid(thread)
        .include_kernel()
        .build()
        .inspect_err(|e| eprintln!("system calls can't be counted: {e}"))
        .ok()?;
    counter.enable().ok()?;
    Some(counter)
}
