//! Why a command failed, and the exit code that says so.

use {
    crate::conf::{
        ListenError,
        SettingsError, //
    },
    miette::Diagnostic,
    operators::{
        CheckError,
        FileError, //
    },
    std::process::ExitCode,
    thiserror::Error, //
};

/// Why a command failed.
#[derive(Debug, Error, Diagnostic)]
pub(crate) enum Error {
    /// It did what it should, with a bad end.
    #[error("{0}")]
    #[diagnostic(help("{1}"))]
    Failed(String, String),
    /// The arguments don't fit together.
    #[error("{0}")]
    #[diagnostic(help("{1}"))]
    Usage(String, String),
    /// A file could not be read.
    #[error(transparent)]
    #[diagnostic(transparent)]
    File(#[from] FileError),
    /// A file is wrong.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Check(#[from] CheckError),
    /// A settings file is wrong.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Settings(#[from] SettingsError),
    /// An address can't be had.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Listen(#[from] ListenError),
}

impl Error {
    /// Returns the exit code, as `chervilwind --help` lists them.
    pub(crate) fn code(&self) -> ExitCode {
        ExitCode::from(match self {
            Error::Failed(..) | Error::Listen(_) => 1,
            Error::Usage(..) | Error::File(_) | Error::Check(_) | Error::Settings(_) => 2,
        })
    }
}
