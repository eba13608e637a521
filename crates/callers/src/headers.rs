//! Names of the headers and paths of the callers' interface, and which headers pass through.

/// The service asked for.
pub const SERVICE: &str = "chervilwind-service";
/// The workspace that asks.
pub const WORKSPACE: &str = "chervilwind-workspace";
/// The profile under which the request is treated.
pub const PROFILE: &str = "chervilwind-profile";
/// Milliseconds left until the answer is of no use.
pub const DEADLINE_MS: &str = "chervilwind-deadline-ms";
/// The ticket of a request that may not be repeated.
pub const TICKET: &str = "chervilwind-ticket";
/// The name of the request in logs, chosen by the caller or by the router.
pub const REQUEST_ID: &str = "chervilwind-request-id";
/// How the request ended.
pub const OUTCOME: &str = "chervilwind-outcome";
/// Milliseconds after which a refused request may be sent again.
pub const RETRY_MS: &str = "chervilwind-retry-ms";
/// Whole seconds after which a refused request may be sent again.
pub const RETRY_AFTER: &str = "retry-after";
/// Path of the question which address to use.
pub const WHERE_PATH: &str = "/chervilwind/where";

/// Paths below this one are the router's own and never reach an endpoint.
pub(crate) const OWN_PATHS: &str = "/chervilwind/";
/// Value of [`OUTCOME`] in the head of a streamed answer, whose end tells the outcome.
pub(crate) const AT_END: &str = "at-end";

const OWN_PREFIX: &str = "chervilwind-";

/// Headers that belong to one connection, or that the HTTP library writes itself.
const HOP_BY_HOP: [&str; 12] = [
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Returns whether a header goes on to the endpoint, or back to the caller.
pub(crate) fn passes(name: &str) -> bool {
    !name.starts_with(OWN_PREFIX) && !HOP_BY_HOP.contains(&name)
}
