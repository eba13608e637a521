//! Why a configuration was not read or not written.

use {
    super::{
        part::PartHash,
        revision::{
            WriteId, //
        },
        Revision, //
    },
    crate::error::KvError,
    thiserror::Error, //
};

/// Why the configuration was not read.
#[derive(Debug, Error, Clone, PartialEq, Eq)]
pub enum ReadError {
    /// The platform did not answer, or rejected the call.
    #[error(transparent)]
    Kv(#[from] KvError),
    /// The head can't be read.
    #[error("the configuration's head on the platform can't be read ({0}); remove the key `config/head`, and a router writes the configuration in force back")]
    Head(String),
    /// A part that the head names is not there.
    #[error("part `{name}` ({hash}) of revision {revision} is missing on the platform; remove the key `config/head`, and a router writes the configuration in force back")]
    Missing {
        /// The part's name.
        name: String,
        /// Its content's hash.
        hash: PartHash,
        /// The configuration that names it.
        revision: Revision,
    },
}

/// Why a change was not applied.
#[derive(Debug, Error, Clone, PartialEq, Eq)]
pub enum ApplyError {
    /// Another operator's change came first; nothing was changed.
    #[error("`{writer}` applied revision {revision} since you looked; look again, redo your change on it and apply again")]
    Conflict {
        /// The revision on the platform now.
        revision: Revision,
        /// Who wrote it.
        writer: String,
    },
    /// The change is based on an older configuration than routers have in force, as the platform was
    /// restored to an older state; nothing was changed.
    #[error("your change is on revision {base}, and routers have revision {floor} in force; look at a router's configuration, redo your change on it and apply again")]
    Behind {
        /// The revision that the change is based on.
        base: Revision,
        /// The highest revision that routers know.
        floor: Revision,
    },
    /// A part is too large; nothing was changed.
    #[error("part `{name}` has {size} bytes, more than {limit}; split it in two")]
    TooLarge {
        /// The part's name.
        name: String,
        /// Its size, in bytes.
        size: usize,
        /// The largest accepted size, in bytes.
        limit: usize,
    },
    /// Two parts have one name; nothing was changed.
    #[error("two parts are called `{0}`; rename one")]
    Doubled(String),
    /// The platform is down; the configuration in force was not changed.
    #[error("nothing was changed: {0}")]
    NotApplied(KvError),
    /// The write may be in force, or come into force later.
    #[error("it isn't known whether revision {revision} (write {write}) was applied ({cause}); ask a router for the revision in force before you apply again")]
    Unknown {
        /// The revision it would have.
        revision: Revision,
        /// The write.
        write: WriteId,
        /// What went wrong.
        cause: String,
    },
    /// The head on the platform can't be read; nothing was changed.
    #[error(transparent)]
    Read(ReadError),
}

impl From<ReadError> for ApplyError {
    fn from(e: ReadError) -> ApplyError {
        match e {
            ReadError::Kv(e) => ApplyError::NotApplied(e),
            e => ApplyError::Read(e),
        }
    }
}
