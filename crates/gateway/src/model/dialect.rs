//! Headers and formats of callers, replicas and the platform, supplied from outside the gateway.

use {
    super::{
        Config,
        Notice,
        Replica, //
    },
    crate::Headers,
    policy::placement::Prompt,
    std::{
        net::SocketAddr,
        time::Duration, //
    },
};

/// Names of headers and paths, and functions that parse messages.
#[derive(Debug, Clone, Copy)]
pub struct Dialect {
    /// Header with the request id that the caller chose; replicas echo it.
    pub id: &'static str,
    /// Header with the time that the caller, or the router, waits, in milliseconds.
    pub deadline: &'static str,
    /// Header with a workspace's key.
    pub key: &'static str,
    /// Header with the workspace, sent to replicas.
    pub workspace: &'static str,
    /// Header with the id of the only replica that may run the request.
    pub expected_replica: &'static str,
    /// Header with which a replica reports that it did not run the request.
    pub not_run: &'static str,
    /// Header with the replica's signature of its answer.
    pub signature: &'static str,
    /// Header with the id of the last stream event that the caller received.
    pub last_event: &'static str,
    /// Header with the id of the attempt that brought the first event of a stream, sent by a caller
    /// that takes the stream up again.
    pub resumes: &'static str,
    /// Header with the address of a replica that has parts of the prompt cached.
    pub copy_from: &'static str,
    /// Other headers with which a router tells an engine what to keep, reserve or hand over. They
    /// are removed from callers' requests, which could otherwise use up memory that all workspaces
    /// share.
    pub engine_controls: &'static [&'static str],
    /// Header with the time after which to retry, in seconds.
    pub retry_after: &'static str,
    /// Path of the platform's readiness check.
    pub ready_path: &'static str,
    /// Parses the headers that describe a prompt.
    pub parse_prompt: fn(&Headers) -> Option<Prompt>,
    /// Parses a configuration.
    pub parse_config: fn(&[u8]) -> Result<Config, String>,
    /// Parses the entry of a replica, given its id.
    pub parse_replica: fn(&str, &[u8]) -> Result<Replica, String>,
    /// Parses what a replica announces in the head of an answer, given its status.
    pub parse_notice: fn(u16, &Headers) -> Notice,
    /// Parses the target of a caller's request for addresses; none if it is another request.
    pub parse_address_query: fn(&str) -> Option<AddressQuery>,
    /// Encodes the answer to it: addresses, and how long callers may keep them.
    pub encode_addresses: fn(&[SocketAddr], Duration) -> Vec<u8>,
}

/// A caller's request for addresses.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct AddressQuery {
    /// The caller's availability zone.
    pub zone: Option<String>,
}
