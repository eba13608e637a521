//! Faults on request.

use {
    serde::{
        Deserialize,
        Serialize, //
    },
    std::{
        collections::BTreeSet,
        time::Duration, //
    },
};

/// How the platform is unavailable.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Down {
    /// All connections are closed at once.
    Refuse,
    /// Connections are accepted and never answered.
    Hang,
    /// Every call is answered by status 503.
    Error,
}

/// The faults in force.
#[derive(Debug, Default)]
pub(crate) struct Faults {
    pub(crate) down: Option<Down>,
    pub(crate) slow: Duration,
    /// How many of the next writes are applied, and their connection closed unanswered.
    pub(crate) lose: u32,
    /// How many of the next writes are done only when they are released, and their connection
    /// closed unanswered.
    pub(crate) hold: u32,
    /// Clients that get no answer.
    pub(crate) cut: BTreeSet<String>,
    /// Clients whose calls are done, and answered only on request.
    pub(crate) stalled: BTreeSet<String>,
}
