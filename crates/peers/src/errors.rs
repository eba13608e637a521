//! What can go wrong with a question to a peer.

use thiserror::Error;

/// Why a peer gave no answer.
#[derive(Debug, Error)]
pub enum AskError {
    /// No connection came about, so the peer never saw the question.
    #[error("no connection to the peer: {0}; see whether it runs and its address is right")]
    Connect(String),
    /// The connection broke or stayed silent; the peer may have seen the question.
    #[error("no answer from the peer: {0}; ask again, the question may have been heard")]
    Lost(String),
    /// The peer answered with something else than was asked for.
    #[error("the peer's answer makes no sense: {0}; see whether both run the same version")]
    Form(String),
}
