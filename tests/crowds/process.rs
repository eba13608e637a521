//! A router's process, and what it takes.

use super::signal::Signal;
use std::{
    fs,
    net::Ipv4Addr,
    process::{
        Child,
        ExitStatus, //
    },
    sync::{
        atomic::{
            AtomicBool,
            Ordering, //
        },
        Arc, //
    },
    thread::{
        self,
        JoinHandle, //
    },
    time::Duration,
};

/// Time between two looks at a process.
const INTERVAL: Duration = Duration::from_millis(5);

/// What a process takes.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Usage {
    /// Memory that it has written to, and the bytes that its sockets hold for it.
    pub(crate) bytes: u64,
    pub(crate) descriptors: usize,
}

/// A process that is killed when this is dropped.
#[derive(Debug)]
pub(crate) struct Process {
    child: Child,
    ip: Ipv4Addr,
}

/// Records the most that a process takes.
#[derive(Debug)]
pub(crate) struct Monitor {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<Usage>,
}

impl Process {
    /// Wraps a process whose sockets use an address that no other one has.
    pub(crate) fn new(child: Child, ip: Ipv4Addr) -> Process {
        Process { child, ip }
    }

    pub(crate) fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    pub(crate) fn terminate(&self) {
        Signal::Term.send(&self.child);
    }

    /// Waits until the process has ended by itself.
    pub(crate) fn wait(&mut self) -> ExitStatus {
        self.child.wait().unwrap()
    }

    pub(crate) fn monitor(&self) -> Monitor {
        let stop = Arc::new(AtomicBool::new(false));
        let (pid, ip, stopped) = (self.child.id(), self.ip, stop.clone());
        let thread = thread::spawn(move || {
            let mut most = Usage::default();
            while !stopped.load(Ordering::SeqCst) {
                let now = usage(pid, ip);
                most.bytes = most.bytes.max(now.bytes);
                most.descriptors = most.descriptors.max(now.descriptors);
                thread::sleep(INTERVAL);
            }
            most
        });
        Monitor { stop, thread }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Monitor {
    /// Ends the record and returns it.
    pub(crate) fn finish(self) -> Usage {
        self.stop.store(true, Ordering::SeqCst);
        self.thread.join().unwrap()
    }
}

fn usage(pid: u32, ip: Ipv4Addr) -> Usage {
    let descriptors = fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, Iterator::count);
    Usage {
        bytes: anonymous_bytes(pid) + unread_bytes(ip),
        descriptors,
    }
}

/// Returns the anonymous memory of a process in bytes.
fn anonymous_bytes(pid: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find(|l| l.starts_with("RssAnon:"));
    let kib = line.and_then(|l| l.split_whitespace().nth(1));
    kib.and_then(|n| n.parse::<u64>().ok()).unwrap_or(0) << 10
}

/// Returns the bytes that sockets of a local address have received and nobody has read.
fn unread_bytes(ip: Ipv4Addr) -> u64 {
    let local = format!("{:08X}:", u32::from_ne_bytes(ip.octets()));
    let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let queues = table.lines().filter_map(|line| {
        let mut fields = line.split_whitespace().skip(1);
        let from = fields.next()?;
        let (state, queues) = (fields.nth(1)?, fields.next()?);
        // The queue of a listening socket counts connections.
        let counts = from.starts_with(&local) && state != "0A";
        let (_, unread) = queues.split_once(':')?;
        counts.then(|| u64::from_str_radix(unread, 16).ok())?
    });
    queues.sum()
}
