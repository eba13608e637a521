//! Server-sent events, split into whole ones as they come.

/// Most bytes held of an event that has no end yet.
const EVENT_MAX: usize = 1 << 20;

/// Splits bytes into whole events.
#[derive(Debug, Default)]
pub(crate) struct Splitter {
    buf: Vec<u8>,
}

/// One whole event.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Sse {
    /// Its bytes, with the empty line that ends it.
    pub(crate) bytes: Vec<u8>,
    /// Its number in the stream, where it carries one.
    pub(crate) number: Option<u32>,
    /// What it stands for.
    pub(crate) part: Part,
    /// Whether it says that the text ends with it.
    pub(crate) last: bool,
}

/// What an event stands for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Part {
    /// A token.
    Token,
    /// The end of the stream.
    Done,
    /// Nothing, such as a comment that keeps the connection open.
    Empty,
}

impl Splitter {
    /// Adds bytes as they came; false where an event has grown beyond all bounds.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> bool {
        self.buf.extend_from_slice(bytes);
        self.buf.len() <= EVENT_MAX
    }

    /// Takes the next whole event.
    pub(crate) fn next(&mut self) -> Option<Sse> {
        let end = boundary(&self.buf)?;
        let bytes: Vec<u8> = self.buf.drain(..end).collect();
        Some(parse(bytes))
    }
}

/// Returns the length of the first whole event, with the empty line that ends it.
fn boundary(buf: &[u8]) -> Option<usize> {
    let mut line = 0;
    for (i, b) in buf.iter().enumerate() {
        if *b != b'\n' {
            continue;
        }
        if matches!(&buf[line..i], b"" | b"\r") && line > 0 {
            return Some(i + 1);
        }
        line = i + 1;
    }
    None
}

fn parse(bytes: Vec<u8>) -> Sse {
    let text = String::from_utf8_lossy(&bytes);
    let (mut number, mut part, mut last) = (None, Part::Empty, false);
    for line in text.lines() {
        if let Some(value) = line.strip_prefix("id:") {
            number = value.trim().parse().ok();
        }
        if let Some(value) = line.strip_prefix("data:") {
            last = finishes(value);
            part = match value.trim() {
                "[DONE]" => Part::Done,
                _ => Part::Token,
            };
        }
    }
    Sse {
        number,
        part,
        last,
        bytes,
    }
}

/// Returns whether a chunk of a completion gives a reason why the text ends.
fn finishes(chunk: &str) -> bool {
    let Some((_, rest)) = chunk.split_once("\"finish_reason\"") else {
        return false;
    };
    let value = rest.trim_start_matches([':', ' ']);
    !value.starts_with("null")
}
