//! Errors of calls to endpoints.

use {
    policy::Span,
    std::io,
    thiserror::Error, //
};

/// Why a call did not get a complete answer.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum CallError {
    /// No connection could be opened.
    #[error("no connection ({0}); check that the endpoint listens at the address in the list")]
    Connect(io::ErrorKind),
    /// The connection broke before an answer began.
    #[error("connection broke before an answer ({0}); ask the endpoint whether the call ran")]
    Broken(io::ErrorKind),
    /// The answer ended early, or a resumed stream left out a part.
    #[error("answer was cut; repeat the call if it is idempotent")]
    Truncated,
    /// No byte was received for this long.
    #[error("nothing came for {0}; look at the path to the endpoint, or raise the silence bound")]
    Silent(Span),
    /// The deadline passed.
    #[error("deadline passed; give the call more time or send less work")]
    Deadline,
    /// The answer carries the id of another call.
    #[error("answer carries the id `{0}` of another call; have the endpoint echo `x-request-id`")]
    WrongId(String),
    /// The answer carries no id.
    #[error("answer carries no id; have the endpoint echo `x-request-id`")]
    MissingId,
    /// The answer is not valid HTTP/1.1.
    #[error("answer is not valid HTTP/1.1 ({0}); mend the endpoint")]
    Malformed(String),
    /// The request cannot be written as HTTP/1.1.
    #[error("request cannot be sent ({0}); mend its path or headers")]
    InvalidRequest(String),
    /// The endpoint rejected the call without running it.
    #[error("endpoint did not take the call; send it to another")]
    NotAdmitted,
    /// The endpoint cannot resume the stream.
    #[error("endpoint no longer knows the stream; repeat the call if it is idempotent")]
    Unresumable,
    /// The endpoint answered a resume with an error status.
    #[error("resume failed with status {0}; repeat the call if it is idempotent")]
    ResumeFailed(u16),
    /// The endpoint answered with a server error status.
    #[error("endpoint failed with status {0}; look at its logs")]
    Status(u16),
    /// The load report is invalid.
    #[error("load report was not understood ({0}); check the version of the endpoint")]
    InvalidReport(String),
}
