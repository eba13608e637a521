//! Splits a stream into events, each complete and forwarded once.

use {
    resources::{
        Charge,
        Limiter, //
    },
    thiserror::Error, //
};

/// Longest event, in bytes.
const EVENT_MAX: usize = 1 << 20;
/// A buffer with a larger capacity is shrunk after a long event.
const BUFFER_KEEP_BYTES: usize = 64 * 1024;
/// Longest event that is received whether memory is short or not, in bytes.
const EVENT_MAX_WHEN_FULL: usize = 16 * 1024;

/// Splits a stream into complete events, and drops those that were forwarded before.
///
/// A replica may stop in the middle of an event. If bytes were forwarded as they arrive, the first
/// event of the next replica would be appended to the incomplete one.
#[derive(Debug)]
pub(crate) struct EventSplitter {
    buf: Vec<u8>,
    /// Counts `buf`. A replica may begin events on many streams and end none.
    charge: Charge,
    /// Position in `buf` up to which no end of an event was found.
    scanned: usize,
    /// Length of the comments at the start of `buf`, which are forwarded with the next event.
    comments: u32,
    /// Id of the last event that was returned.
    last: Option<u64>,
    /// Whether a complete event was received, duplicates included.
    started: bool,
}

/// Why a stream can't be forwarded.
#[derive(Debug, Error, PartialEq, Eq)]
pub(crate) enum EventError {
    #[error("an event is longer than {EVENT_MAX} bytes")]
    TooLong,
    #[error("an event is longer than {EVENT_MAX_WHEN_FULL} bytes while memory is short")]
    NoMemory,
    #[error("events {0} to {1} are missing")]
    Gap(u64, u64),
}

impl EventSplitter {
    /// Starts to read a stream that continues after the given event; what it holds counts toward a limiter.
    pub(crate) fn new(limiter: &Limiter, last: Option<u64>) -> EventSplitter {
        EventSplitter {
            buf: Vec::new(),
            charge: limiter.charge(),
            scanned: 0,
            comments: 0,
            last,
            started: false,
        }
    }

    /// Returns the id of the last event.
    pub(crate) fn last(&self) -> Option<u64> {
        self.last
    }

    /// Returns whether a complete event was received.
    pub(crate) fn has_started(&self) -> bool {
        self.started
    }

    /// Returns whether an incomplete event is buffered.
    pub(crate) fn is_mid_event(&self) -> bool {
        self.buf.len() > self.comments as usize
    }

    /// Takes the comments after the last event.
    pub(crate) fn take_comments(&mut self) -> Vec<u8> {
        let rest = self
            .buf
            .split_off(std::mem::take(&mut self.comments) as usize);
        self.scanned = 0;
        std::mem::replace(&mut self.buf, rest)
    }

    /// Takes received bytes, and returns the complete events to forward.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Result<Vec<u8>, EventError> {
        self.buf.extend_from_slice(bytes);
        let mut out = Vec::new();
        let mut start = 0;
        let mut block = self.comments as usize;
        while let Some(end) = self.next_end() {
            // Comments alone don't show that the replica works on the request.
            if is_comment(&self.buf[block..end]) {
                block = end;
                continue;
            }
            let event = &self.buf[start..end];
            let number = event_id(event);
            start = end;
            block = end;
            self.started = true;
            let duplicate = matches!((number, self.last), (Some(n), Some(last)) if n <= last);
            if duplicate {
                continue;
            }
            if let (Some(n), Some(last)) = (number, self.last) {
                if n > last + 1 {
                    return Err(EventError::Gap(last + 1, n - 1));
                }
            }
            self.last = number.or(self.last);
            out.extend_from_slice(event);
        }
        self.buf.drain(..start);
        self.scanned -= start;
        self.check_memory()?;
        self.comments = (block - start) as u32;
        Ok(out)
    }

    /// Counts the buffer, and checks that the incomplete event in it may grow.
    fn check_memory(&mut self) -> Result<(), EventError> {
        // A buffer that a long event needed is not kept for the rest of the stream.
        if self.buf.len() <= EVENT_MAX_WHEN_FULL && self.buf.capacity() > BUFFER_KEEP_BYTES {
            self.buf.shrink_to(EVENT_MAX_WHEN_FULL);
        }
        self.charge.resize(self.buf.capacity());
        match self.buf.len() {
            0..=EVENT_MAX_WHEN_FULL => Ok(()),
            n if n > EVENT_MAX => Err(EventError::TooLong),
            _ if self.charge.limiter().has_spare() => Ok(()),
            _ => Err(EventError::NoMemory),
        }
    }

    /// Finds the end of the next complete event: an empty line.
    fn next_end(&mut self) -> Option<usize> {
        let mut at = self.scanned;
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
                // Undecided without more bytes; the next search starts at this line end.
                [] | [b'\r'] => {
                    self.scanned = at - 1;
                    return None;
                }
                _ => continue,
            };
            self.scanned = end;
            return Some(end);
        }
        self.scanned = at;
        None
    }
}

/// Returns whether all lines of a block are comments, or empty.
fn is_comment(block: &[u8]) -> bool {
    let mut lines = block.split(|b| *b == b'\n');
    lines.all(|l| matches!(l, [] | [b'\r'] | [b':', ..]))
}

/// Returns the id of an event.
fn event_id(event: &[u8]) -> Option<u64> {
    let lines = event.split(|b| *b == b'\n');
    let value = lines.filter_map(|l| l.strip_prefix(b"id:")).next()?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
