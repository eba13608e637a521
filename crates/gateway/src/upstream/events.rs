//! The events of a stream, whole and once each.

use thiserror::Error;

/// Longest event, in bytes.
const EVENT_MAX: usize = 1 << 20;

/// Splits a stream into whole events and drops those that were passed on before.
///
/// A replica may stop in the middle of an event. Passed on as it came, the next replica's
/// event would be joined to the rest of it.
#[derive(Debug, Default)]
pub(crate) struct Events {
    buf: Vec<u8>,
    /// Where in `buf` the search for an end goes on.
    seen: usize,
    /// The last event that was passed on.
    last: Option<u64>,
    /// Whole events since this part of the stream began.
    count: u64,
}

/// Why a stream can't be passed on.
#[derive(Debug, Error, PartialEq, Eq)]
pub(crate) enum EventsError {
    #[error("an event is longer than {EVENT_MAX} bytes")]
    TooLong,
    #[error("events {0} to {1} are missing")]
    Gap(u64, u64),
}

impl Events {
    /// Starts to read a stream that goes on behind an event.
    pub(crate) fn after(last: Option<u64>) -> Events {
        Events {
            last,
            ..Events::default()
        }
    }

    /// Returns the last event that was passed on.
    pub(crate) fn last(&self) -> Option<u64> {
        self.last
    }

    /// Returns how many whole events have come.
    pub(crate) fn count(&self) -> u64 {
        self.count
    }

    /// Tells whether an event has begun and not ended.
    pub(crate) fn inside(&self) -> bool {
        !self.buf.is_empty()
    }

    /// Takes bytes as they came and returns the whole events that are to be passed on.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Result<Vec<u8>, EventsError> {
        self.buf.extend_from_slice(bytes);
        let mut out = Vec::new();
        let mut start = 0;
        while let Some(end) = self.next_end() {
            let event = &self.buf[start..end];
            let number = number(event);
            start = end;
            self.count += 1;
            let old = matches!((number, self.last), (Some(n), Some(last)) if n <= last);
            if old {
                continue;
            }
            if let (Some(n), Some(last)) = (number, self.last) {
                if n > last + 1 {
                    return Err(EventsError::Gap(last + 1, n - 1));
                }
            }
            self.last = number.or(self.last);
            out.extend_from_slice(event);
        }
        self.buf.drain(..start);
        self.seen -= start;
        if self.buf.len() > EVENT_MAX {
            return Err(EventsError::TooLong);
        }
        Ok(out)
    }

    /// Finds the end of the next whole event: an empty line.
    fn next_end(&mut self) -> Option<usize> {
        let mut at = self.seen;
        while at < self.buf.len() {
            let b = self.buf[at];
            at += 1;
            if b != b'\n' {
                continue;
            }
            let rest = &self.buf[at..];
            let end = match rest {
                [b'\n', ..] => at + 1,
                [b'\r', b'\n', ..] => at + 2,
                // More bytes decide; the search starts again at this line end.
                [] | [b'\r'] => {
                    self.seen = at - 1;
                    return None;
                }
                _ => continue,
            };
            self.seen = end;
            return Some(end);
        }
        self.seen = at;
        None
    }
}

/// Returns the number that an event carries.
fn number(event: &[u8]) -> Option<u64> {
    let lines = event.split(|b| *b == b'\n');
    let value = lines.filter_map(|l| l.strip_prefix(b"id:")).next()?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
