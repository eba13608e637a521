//! Log output, limited in rate and written by a separate thread.

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

/// Lines queued for writing. If the queue is full, lines are dropped and counted: a blocked reader
/// of the output must not delay requests.
const QUEUE_LINES: usize = 2_000;
/// An instance writes about 70 lines per second at 60 requests per second. In a flood of ten times
/// as many requests some lines are dropped, and their number is logged.
const MAX_LINES_PER_SECOND: u32 = 400;

/// Starts logging to the standard output, in lines of `key=value` pairs.
///
/// Further calls in the same process have no effect.
pub fn start_logs(level: LevelFilter) {
    let (tx, rx) = sync_channel::<String>(QUEUE_LINES);
    let bound = Mutex::new(RateLimit::new());
    let output = Output::call(move |record| {
        let important = record.level() <= log::Level::Warn;
        let mut rate = bound.lock().unwrap_or_else(PoisonError::into_inner);
        if !rate.allows(important) {
            return;
        }
        let dropped = std::mem::take(&mut rate.dropped);
        let line = match dropped {
            0 => record.args().to_string(),
            n => format!("{} left-out-before={n}", record.args()),
        };
        if let Err(TrySendError::Full(_)) = tx.try_send(line) {
            rate.dropped += 1 + dropped;
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
            std::thread::spawn(move || write_lines(&rx));
        }
        Err(_) => log::debug!("event=logs outcome=running-already"),
    }
}

fn write_lines(lines: &Receiver<String>) {
    while let Ok(line) = lines.recv() {
        let mut out = line;
        out.push('\n');
        // Write all queued lines at once.
        while let Ok(more) = lines.try_recv() {
            out.push_str(&more);
            out.push('\n');
        }
        // The output is closed, so the error can't be logged either.
        if io::stdout().write_all(out.as_bytes()).is_err() {
            return;
        }
    }
}

/// Limits the number of lines in each second.
struct RateLimit {
    second_began: Instant,
    lines: u32,
    dropped: u64,
}

impl RateLimit {
    fn new() -> RateLimit {
        RateLimit {
            second_began: Instant::now(),
            lines: 0,
            dropped: 0,
        }
    }

    fn allows(&mut self, important: bool) -> bool {
        if self.second_began.elapsed() >= Duration::from_secs(1) {
            self.second_began = Instant::now();
            self.lines = 0;
        }
        self.lines += 1;
        // Warnings may use twice as many lines.
        let limit = MAX_LINES_PER_SECOND * if important { 2 } else { 1 };
        let allowed = self.lines <= limit;
        self.dropped += u64::from(!allowed);
        allowed
    }
}
