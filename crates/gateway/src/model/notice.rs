//! What replicas announce about themselves in their answers.

use std::time::Duration;

/// What a replica announces about itself in the head of an answer, whatever the answer is.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// let notice = gateway::Notice {
///     retry_after: Some(Duration::from_secs(3)),
///     ..gateway::Notice::default()
/// };
/// assert!(!notice.leaving);
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Notice {
    /// It is leaving: it finishes its running requests and then ends.
    pub leaving: bool,
    /// It wants no requests from this router for this long.
    pub retry_after: Option<Duration>,
    /// The text of such a time that could not be parsed.
    pub invalid_time: Option<String>,
}
