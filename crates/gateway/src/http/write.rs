//! Encoding of heads and chunks.

use super::{
    Headers,
    StartLine, //
};

/// The last chunk of a chunked body, without a trailer.
pub(super) const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

impl StartLine {
    /// Encodes a head: the start line, the headers, and the empty line.
    pub(crate) fn encode_head(&self, headers: &Headers) -> Vec<u8> {
        let mut out = match self {
            StartLine::Request { method, target } => format!("{method} {target} HTTP/1.1\r\n"),
            StartLine::Response { status, reason } => format!("HTTP/1.1 {status} {reason}\r\n"),
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

/// Appends a chunk of a chunked body.
pub(super) fn write_chunk(out: &mut Vec<u8>, bytes: &[u8]) {
    out.extend_from_slice(format!("{:x}\r\n", bytes.len()).as_bytes());
    out.extend_from_slice(bytes);
    out.extend_from_slice(b"\r\n");
}
