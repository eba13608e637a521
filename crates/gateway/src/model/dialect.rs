//! How callers, replicas and the platform speak, given to the gateway from outside.

use {
    super::{
        Config,
        Replica, //
    },
    crate::Headers,
    policy::placement::Prompt,
    std::{
        net::SocketAddr,
        time::Duration, //
    },
};

/// The names of headers and calls, and how messages are read.
#[derive(Debug, Clone, Copy)]
pub struct Dialect {
    /// Header with the caller's id of a request, which replicas echo.
    pub id: &'static str,
    /// Header with the milliseconds that the caller, or the router, waits.
    pub deadline: &'static str,
    /// Header with a workspace's key.
    pub key: &'static str,
    /// Header that tells a replica the workspace.
    pub workspace: &'static str,
    /// Header that names the only replica which may run the request.
    pub expected_replica: &'static str,
    /// Header in which a replica says that it did not run the request.
    pub not_run: &'static str,
    /// Header by which a replica signs its answer.
    pub signature: &'static str,
    /// Header with the last event of a stream that the caller has.
    pub last_event: &'static str,
    /// Header with the address of a replica that has parts of the prompt cached.
    pub copy_from: &'static str,
    /// Other headers by which a router orders an engine what to keep, reserve or hand over. A
    /// caller's own would spend memory that all workspaces share.
    pub engine_controls: &'static [&'static str],
    /// Header that tells when to come back, in seconds.
    pub retry_after: &'static str,
    /// Path at which the platform asks whether this instance is ready.
    pub ready_path: &'static str,
    /// Reads the prompt that a request's headers describe.
    pub parse_prompt: fn(&Headers) -> Option<Prompt>,
    /// Reads a configuration.
    pub parse_config: fn(&[u8]) -> Result<Config, String>,
    /// Reads one replica's entry.
    pub parse_replica: fn(&str, &[u8]) -> Result<Replica, String>,
    /// Reads a caller's question for addresses; none where the target is another.
    pub parse_address_query: fn(&str) -> Option<AddressQuery>,
    /// Writes the answer to it: the addresses and how long to keep them.
    pub encode_addresses: fn(&[SocketAddr], Duration) -> Vec<u8>,
}

/// Who asks for addresses.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct AddressQuery {
    /// The caller's availability zone.
    pub zone: Option<String>,
}
