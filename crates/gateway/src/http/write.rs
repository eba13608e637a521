//! Heads and chunks as they are written.

use super::{
    Headers,
    Line, //
};

/// What ends a chunked body.
pub(crate) const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

impl Line {
    /// Writes a head: the first line, the headers, and the empty line.
    pub(crate) fn head(&self, headers: &Headers) -> Vec<u8> {
        let mut out = match self {
            Line::Request { method, target } => format!("{method} {target} HTTP/1.1\r\n"),
            Line::Response { status, reason } => format!("HTTP/1.1 {status} {reason}\r\n"),
        }
        .into_bytes();
        for header in &headers.0 {
            out.extend_from_slice(header.name.as_bytes());
            out.extend_from_slice(b": ");
            out.extend_from_slice(&header.value);
            out.extend_from_slice(b"\r\n");
        }
        out.extend_from_slice(b"\r\n");
        out
    }
}

/// Writes bytes as one chunk of a chunked body.
pub(crate) fn chunk(out: &mut Vec<u8>, bytes: &[u8]) {
    out.extend_from_slice(format!("{:x}\r\n", bytes.len()).as_bytes());
    out.extend_from_slice(bytes);
    out.extend_from_slice(b"\r\n");
}
