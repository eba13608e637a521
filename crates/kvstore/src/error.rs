//! Errors of calls to the platform.

use {
    super::types::{
        KeyRevision,
        LeaseId, //
    },
    policy::Span,
    thiserror::Error, //
};

/// Why a call to the key-value service failed.
///
/// For a write, `Unavailable` means that it was not done, and `Unknown` that it may have been.
#[derive(Debug, Error, Clone, PartialEq, Eq)]
pub enum KvError {
    /// The service can't be reached; nothing was done.
    #[error("the platform can't be reached ({cause}); nothing was changed, try again in {retry}")]
    Unavailable {
        /// What went wrong.
        cause: String,
        /// When the next call is permitted.
        retry: Span,
    },
    /// The write was sent and not answered: it may have been done, or be done later.
    #[error("the platform's answer was lost ({cause}); read the key back before writing it again")]
    Unknown {
        /// What went wrong.
        cause: String,
    },
    /// The key is at another revision than the writer expected.
    #[error("the key is at revision {current}; read it again and redo the change")]
    Conflict {
        /// The key's revision now.
        current: KeyRevision,
    },
    /// The value is larger than the service accepts.
    #[error("the value for `{key}` has {size} bytes, more than {limit}; split it")]
    TooLarge {
        /// The key to be written.
        key: String,
        /// The value's size, in bytes.
        size: usize,
        /// The largest accepted size, in bytes.
        limit: usize,
    },
    /// The key can't be used in a path.
    #[error("the key `{0}` can't be used; take letters, digits and `-_.:/` only")]
    Key(String),
    /// The lease ran out or was revoked.
    #[error("lease {0} has ended; ask for a new one and claim its keys again")]
    LeaseEnded(LeaseId),
    /// The service refused the call.
    #[error("the platform refused the call with status {0}; check its address in the settings")]
    Refused(u16),
}

impl KvError {
    /// Returns whether the call, if it was a write, may have been done all the same.
    pub fn may_have_run(&self) -> bool {
        matches!(self, KvError::Unknown { .. })
    }
}
