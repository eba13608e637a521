//! What a caller may use of a router's memory and time.

use std::time::Duration;

/// Bounds on callers. One caller at a bound has no effect on the others.
#[derive(Debug, Clone)]
pub struct Limits {
    /// Longest head, in bytes; at most 8191, which is all that the HTTP library reads.
    pub head_bytes: usize,
    /// Most headers in a head; at most 128, for the same reason.
    pub head_count: usize,
    /// Longest body, in bytes.
    pub body_bytes: usize,
    /// Time from the first byte of a head to its last.
    pub head_timeout: Duration,
    /// Time from the end of the head to the end of the body.
    pub body_timeout: Duration,
    /// How long a kept connection may stay idle.
    pub idle_timeout: Duration,
    /// How long a caller may take to read the next few kilobytes of its answer.
    pub stall_timeout: Duration,
    /// Most connections at once.
    pub max_connections: usize,
    /// Most connections at once from one IP address.
    pub max_connections_per_ip: usize,
}

/// Longest head, and most headers, that the HTTP library reads.
const HEAD_BYTES: usize = 8 * 1024 - 1;
const HEAD_COUNT: usize = 128;

impl Limits {
    /// Lowers what is beyond the HTTP library, so that callers are told the true bounds.
    pub(crate) fn within_library(mut self) -> Limits {
        self.head_bytes = self.head_bytes.min(HEAD_BYTES);
        self.head_count = self.head_count.min(HEAD_COUNT);
        self
    }
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            head_bytes: HEAD_BYTES,
            head_count: 100,
            body_bytes: 4 * 1024 * 1024,
            head_timeout: Duration::from_secs(5),
            body_timeout: Duration::from_secs(30),
            idle_timeout: Duration::from_secs(75),
            stall_timeout: Duration::from_secs(15),
            max_connections: 10_000,
            max_connections_per_ip: 2_000,
        }
    }
}
