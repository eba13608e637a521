//! Encoding of responses.

use super::{
    write::{
        write_chunk,
        LAST_CHUNK, //
    },
    Headers,
    StartLine, //
};

/// Encodes the response to one request.
///
/// Whether a response has a body depends on the request's method and on the status, whatever its
/// headers say. The receiver would take the bytes of any other body for the next response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ResponseEncoder {
    has_body: bool,
    /// Whether the length of a body may be stated.
    states_length: bool,
}

impl ResponseEncoder {
    /// Prepares the response with this status to a request with this method.
    pub(crate) fn new(method: &str, status: u16) -> ResponseEncoder {
        ResponseEncoder {
            has_body: has_body(method, status),
            states_length: status >= 200 && status != 204,
        }
    }

    /// Returns whether the response has a body.
    pub(crate) fn has_body(self) -> bool {
        self.has_body
    }

    /// Encodes the head of a response whose body has this length; `headers` are without those that
    /// frame the body.
    ///
    /// `stated` is the length that a response without a body states, of the body that it would have
    /// for another method.
    pub(crate) fn encode_sized_head(
        self,
        line: &StartLine,
        mut headers: Headers,
        length: usize,
        stated: Option<&str>,
    ) -> Vec<u8> {
        match stated {
            _ if self.has_body => headers.push("Content-Length", length),
            Some(length) if self.states_length => headers.push("Content-Length", length),
            _ => {}
        }
        line.encode_head(&headers)
    }

    /// Encodes a response of known length, as [`encode_sized_head`](Self::encode_sized_head) does its
    /// head.
    pub(crate) fn encode(
        self,
        line: &StartLine,
        headers: Headers,
        body: &[u8],
        stated: Option<&str>,
    ) -> Vec<u8> {
        let mut bytes = self.encode_sized_head(line, headers, body.len(), stated);
        if self.has_body {
            bytes.extend_from_slice(body);
        }
        bytes
    }

    /// Encodes the head of a response whose body is sent in chunks.
    pub(crate) fn encode_head(self, line: &StartLine, mut headers: Headers) -> Vec<u8> {
        if self.has_body {
            headers.push("Transfer-Encoding", "chunked");
        }
        line.encode_head(&headers)
    }

    /// Appends a chunk of the body. Nothing is appended for an empty one, which would end the body.
    pub(crate) fn append_chunk(self, out: &mut Vec<u8>, bytes: &[u8]) {
        if self.has_body && !bytes.is_empty() {
            write_chunk(out, bytes);
        }
    }

    /// Appends the end of a body that was sent in chunks.
    pub(crate) fn append_end(self, out: &mut Vec<u8>) {
        if self.has_body {
            out.extend_from_slice(LAST_CHUNK);
        }
    }
}

/// Returns whether the response with this status to a request with this method has a body.
pub(super) fn has_body(method: &str, status: u16) -> bool {
    !(method == "HEAD" || status == 204 || status == 304 || status < 200)
}
