//! Errors of questions to peers.

use thiserror::Error;

/// Why a question to a peer failed.
#[derive(Debug, Error)]
pub enum AskError {
    /// The connection failed, so the peer did not receive the question.
    #[error("no connection to the peer: {0}; check that it runs and that its address is right")]
    Connect(String),
    /// The connection broke or timed out. The peer may have received the question.
    #[error("no answer from the peer: {0}; it may have received the question, retry")]
    Lost(String),
    /// The question can't be encoded, or the answer is an error or can't be decoded.
    #[error("unexpected answer from the peer: {0}; check that both run the same version")]
    Form(String),
}
