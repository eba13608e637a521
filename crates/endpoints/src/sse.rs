//! Splits a byte stream into server-sent events.

/// Most bytes buffered without a complete event.
const EVENT_MAX_BYTES: usize = 1 << 20;

/// Splits bytes into complete events.
#[derive(Debug, Default)]
pub(crate) struct Splitter {
    buf: Vec<u8>,
}

/// A complete event.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Sse {
    /// Its bytes, with the empty line that ends it.
    pub(crate) bytes: Vec<u8>,
    /// Its number in the stream, if it carries one.
    pub(crate) number: Option<u32>,
    /// Its kind.
    pub(crate) kind: SseKind,
    /// Whether it gives a finish reason, so that the text ends with it.
    pub(crate) finishes: bool,
}

/// The kind of an event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SseKind {
    /// A token.
    Token,
    /// The end of the stream.
    Done,
    /// No data, such as a keep-alive comment.
    Empty,
}

impl Splitter {
    /// Adds received bytes; false if an event exceeds the size limit.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> bool {
        self.buf.extend_from_slice(bytes);
        self.buf.len() <= EVENT_MAX_BYTES
    }

    /// Removes and returns the next complete event.
    pub(crate) fn next(&mut self) -> Option<Sse> {
        let end = first_event_len(&self.buf)?;
        let bytes: Vec<u8> = self.buf.drain(..end).collect();
        Some(parse(bytes))
    }
}

/// Returns the length of the first complete event, with the empty line that ends it.
fn first_event_len(buf: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    for (i, b) in buf.iter().enumerate() {
        if *b != b'\n' {
            continue;
        }
        if matches!(&buf[line_start..i], b"" | b"\r") && line_start > 0 {
            return Some(i + 1);
        }
        line_start = i + 1;
    }
    None
}

fn parse(bytes: Vec<u8>) -> Sse {
    let text = String::from_utf8_lossy(&bytes);
    let (mut number, mut kind, mut finishes) = (None, SseKind::Empty, false);
    for line in text.lines() {
        if let Some(value) = line.strip_prefix("id:") {
            number = value.trim().parse().ok();
        }
        if let Some(value) = line.strip_prefix("data:") {
            finishes = has_finish_reason(value);
            kind = match value.trim() {
                "[DONE]" => SseKind::Done,
                _ => SseKind::Token,
            };
        }
    }
    Sse {
        number,
        kind,
        finishes,
        bytes,
    }
}

/// Returns whether a chunk of a completion gives a reason why the text ends.
fn has_finish_reason(chunk: &str) -> bool {
    let Some((_, rest)) = chunk.split_once("\"finish_reason\"") else {
        return false;
    };
    let value = rest.trim_start_matches([':', ' ']);
    !value.starts_with("null")
}
