//! Log lines: bounded in number, written by a thread of their own.

use {
    crate::clock::unix_ms,
    fern::Output,
    log::LevelFilter,
    std::{
        io::{
            self,
            Write, //
        },
        sync::{
            mpsc::{
                sync_channel,
                Receiver,
                TrySendError, //
            },
            Mutex,
            PoisonError, //
        },
        time::{
            Duration,
            Instant, //
        },
    },
};

/// Lines that may wait to be written. Beyond them lines are dropped and counted: a reader
/// that stands still must not hold a request up.
const WAITING: usize = 2_000;
/// Lines written in a second. At 60 requests a second an instance writes about 70; a flood of
/// ten times that leaves some out, and says how many.
const PER_SECOND: u32 = 400;

/// Starts logging to the standard output, in lines of `key=value` pairs.
///
/// A second start in the same process changes nothing.
pub fn start_logs(level: LevelFilter) {
    let (tx, rx) = sync_channel::<String>(WAITING);
    let bound = Mutex::new(Rate::new());
    let output = Output::call(move |record| {
        let important = record.level() <= log::Level::Warn;
        let mut rate = bound.lock().unwrap_or_else(PoisonError::into_inner);
        if !rate.allows(important) {
            return;
        }
        let left_out = std::mem::take(&mut rate.left_out);
        let line = match left_out {
            0 => record.args().to_string(),
            n => format!("{} left-out-before={n}", record.args()),
        };
        if let Err(TrySendError::Full(_)) = tx.try_send(line) {
            rate.left_out += 1 + left_out;
        }
    });
    let started = fern::Dispatch::new()
        .format(|out, message, record| {
            let ms = unix_ms();
            out.finish(format_args!("ts={ms} level={} {message}", record.level()))
        })
        .level(LevelFilter::Warn)
        .level_for("gateway", level)
        .chain(output)
        .apply();
    match started {
        Ok(()) => {
            std::thread::spawn(move || write(&rx));
        }
        Err(_) => log::debug!("event=logs outcome=running-already"),
    }
}

fn write(lines: &Receiver<String>) {
    while let Ok(line) = lines.recv() {
        let mut out = line;
        out.push('\n');
        // What waits goes with it in one write.
        while let Ok(more) = lines.try_recv() {
            out.push_str(&more);
            out.push('\n');
        }
        // Nobody reads any more; there is nobody to tell either.
        if io::stdout().write_all(out.as_bytes()).is_err() {
            return;
        }
    }
}

/// A bound on lines in each second.
struct Rate {
    since: Instant,
    lines: u32,
    left_out: u64,
}

impl Rate {
    fn new() -> Rate {
        Rate {
            since: Instant::now(),
            lines: 0,
            left_out: 0,
        }
    }

    fn allows(&mut self, important: bool) -> bool {
        if self.since.elapsed() >= Duration::from_secs(1) {
            self.since = Instant::now();
            self.lines = 0;
        }
        self.lines += 1;
        // Warnings have as much again.
        let most = PER_SECOND * if important { 2 } else { 1 };
        let allowed = self.lines <= most;
        self.left_out += u64::from(!allowed);
        allowed
    }
}
