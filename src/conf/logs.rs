//! Where log lines go and how they look.

use {
    fern::Output,
    log::LevelFilter,
    std::{
        io::{
            self,
            Write, //
        },
        time::SystemTime, //
    },
};

/// The crates whose own log lines are shown only when they warn.
const LIBRARIES: [&str; 5] = ["async_h1", "async_io", "async_std", "polling", "tide"];

/// Starts logging to the standard error stream.
///
/// A second start in the same process changes nothing.
pub(crate) fn start_logs(level: LevelFilter) {
    let mut dispatch = fern::Dispatch::new()
        .format(|out, message, record| {
            let now = utc(SystemTime::now());
            out.finish(format_args!("{now} {:5} {message}", record.level()))
        })
        .level(level);
    for name in LIBRARIES {
        dispatch = dispatch.level_for(name, level.min(LevelFilter::Warn));
    }
    // The process that reads the lines may end. It shows as a broken pipe, at which fern's own
    // output panics in whatever task logs. A line that can't be written is left out instead.
    let output = Output::call(|record| {
        let _ = writeln!(io::stderr(), "{}", record.args());
    });
    let started = dispatch.chain(output).apply();
    if started.is_err() {
        log::debug!("config: logging runs already");
    }
}

/// Writes a moment as `2026-12-02T17:58:03.250Z`.
fn utc(now: SystemTime) -> String {
    let since = now
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    let seconds = since.as_secs();
    let (year, month, day) = date(seconds / 86_400);
    let (h, m, s) = (seconds / 3_600 % 24, seconds / 60 % 60, seconds % 60);
    let ms = since.subsec_millis();
    format!("{year:04}-{month:02}-{day:02}T{h:02}:{m:02}:{s:02}.{ms:03}Z")
}

/// Turns days since 1970 into a date, by counting years from 1 March 0000.
fn date(days: u64) -> (u64, u64, u64) {
    let z = days + 719_468;
    let era = z / 146_097;
    let of_era = z % 146_097;
    let year = (of_era - of_era / 1_460 + of_era / 36_524 - of_era / 146_096) / 365;
    let of_year = of_era - (365 * year + year / 4 - year / 100);
    let month = (5 * of_year + 2) / 153;
    let day = of_year - (153 * month + 2) / 5 + 1;
    let (month, next) = if month < 10 {
        (month + 3, 0)
    } else {
        (month - 9, 1)
    };
    (era * 400 + year + next, month, day)
}

#[cfg(test)]
mod tests;
