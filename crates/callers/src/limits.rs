//! Limits on the memory and time that callers may use.

use {
    resources::{
        unread_per_connection,
        Bytes, //
    },
    std::time::Duration,
};

/// Bytes that all connections may send before they are read are the memory for requests divided by
/// this.
const UNREAD_DIVISOR: usize = 2;

/// Limits on callers. A caller that reaches a limit has no effect on others.
#[derive(Debug, Clone)]
pub struct Limits {
    /// Maximum length of a head in bytes; at most 8191, the limit of the HTTP library.
    pub head_bytes: usize,
    /// Maximum number of headers; at most 128, the limit of the HTTP library.
    pub head_count: usize,
    /// Maximum length of a body in bytes.
    pub body_bytes: usize,
    /// Memory that the requests of all connections may take, in bytes.
    pub memory_bytes: usize,
    /// Maximum time from the first byte of a head to its last.
    pub head_timeout: Duration,
    /// Maximum time from the end of the head to the end of the body.
    pub body_timeout: Duration,
    /// How long a connection may stay idle between requests.
    pub idle_timeout: Duration,
    /// How long a caller may take to read the next few kilobytes of its response.
    pub stall_timeout: Duration,
    /// Maximum number of open connections.
    pub max_connections: usize,
    /// Maximum number of open connections from one IP address.
    pub max_connections_per_ip: usize,
}

/// Limits of the HTTP library on the length of a head and on the number of its headers.
const LIBRARY_HEAD_BYTES: usize = 8 * 1024 - 1;
const LIBRARY_HEAD_COUNT: usize = 128;

impl Limits {
    /// Returns about how much each connection may send before it is read, for
    /// [`listen`](resources::listen).
    pub fn unread_per_connection(&self) -> Bytes {
        let all = Bytes((self.memory_bytes / UNREAD_DIVISOR) as u64);
        unread_per_connection(all, self.max_connections)
    }

    /// Clamps to the limits of the HTTP library, so that rejections report the effective limits.
    pub(crate) fn clamp_to_library(mut self) -> Limits {
        self.head_bytes = self.head_bytes.min(LIBRARY_HEAD_BYTES);
        self.head_count = self.head_count.min(LIBRARY_HEAD_COUNT);
        self
    }
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            head_bytes: LIBRARY_HEAD_BYTES,
            head_count: 100,
            body_bytes: 4 * 1024 * 1024,
            memory_bytes: 64 * 1024 * 1024,
            head_timeout: Duration::from_secs(5),
            body_timeout: Duration::from_secs(30),
            idle_timeout: Duration::from_secs(75),
            stall_timeout: Duration::from_secs(15),
            max_connections: 10_000,
            max_connections_per_ip: 2_000,
        }
    }
}
