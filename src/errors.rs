//! Errors of commands, and their exit codes.

use {
    crate::conf::{
        ListenError,
        SettingsError, //
    },
    callers::{
        Reason,
        Refused, //
    },
    kvstore::store::{
        ApplyError,
        ReadError, //
    },
    miette::Diagnostic,
    operators::{
        CheckError,
        FileError, //
        QueryError,
    },
    policy::Outcome,
    std::{
        io,
        process::ExitCode, //
    },
    thiserror::Error, //
};

/// Why a command failed.
#[derive(Debug, Error, Diagnostic)]
pub(crate) enum Error {
    /// It did what it should, with a bad end: what happened, and the remedy.
    #[error("{0}")]
    #[diagnostic(help("{1}"))]
    Failed(String, String),
    /// The arguments don't fit together: what is wrong, and the remedy.
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
    /// A gateway's settings file is wrong.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Gateway(#[from] gateway::SettingsError),
    /// An address can't be had.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Listen(#[from] ListenError),
    /// The input or output failed.
    #[error("{0}: {1}")]
    #[diagnostic(help("mend what the system names, then run the command again"))]
    Io(&'static str, io::Error),
    /// A router's operators' address gave no answer.
    #[error(transparent)]
    #[diagnostic(help("give the operators' address of a running router, such as 127.0.0.1:7402"))]
    Ask(#[from] QueryError),
    /// The platform's configuration could not be read.
    #[error(transparent)]
    #[diagnostic(help("nothing was changed; check the platform's address and try again"))]
    Read(#[from] ReadError),
    /// The configuration was not written.
    #[error(transparent)]
    Apply(#[from] ApplyError),
    /// A request ended without an answer.
    #[error("{0}: {1}")]
    Request(Outcome, String),
    /// No router answered at the callers' address.
    #[error("{0}")]
    #[diagnostic(help("give the callers' address of a running router, such as 127.0.0.1:7400"))]
    NoRouter(String),
    /// The configuration was written, but some routers don't have it yet.
    #[error("revision {0} is written, but not in force yet at {1}")]
    #[diagnostic(help("look at these routers with `chervilwind status`; they take it by themselves when they can reach the platform or another router"))]
    NotInForce(u64, String),
}

impl Error {
    /// Makes an error of a refusal that no request was sent for.
    pub(crate) fn from_refused(refused: &Refused) -> Error {
        let message = refused.message.clone();
        match refused.reason {
            Reason::NoEndpoint => Error::NoRouter(message),
            _ => Error::Request(Outcome::NotRun, message),
        }
    }

    /// Returns the exit code, as `chervilwind --help` lists them.
    pub(crate) fn code(&self) -> ExitCode {
        ExitCode::from(match self {
            Error::Failed(..) | Error::Listen(_) | Error::Io(..) => 1,
            Error::Usage(..)
            | Error::File(_)
            | Error::Check(_)
            | Error::Settings(_)
            | Error::Gateway(_) => 2,
            Error::Ask(_) | Error::Read(_) | Error::NoRouter(_) => 3,
            Error::Apply(error) => apply_code(error),
            Error::Request(Outcome::NotRun, _) => 5,
            Error::Request(Outcome::MayHaveRun, _) => 6,
            Error::Request(..) => 1,
            Error::NotInForce(..) => 7,
        })
    }
}

fn apply_code(error: &ApplyError) -> u8 {
    match error {
        ApplyError::Conflict { .. } | ApplyError::Behind { .. } => 4,
        ApplyError::NotApplied(_) | ApplyError::Read(_) => 3,
        ApplyError::TooLarge { .. } | ApplyError::Doubled(_) => 2,
        ApplyError::Unknown { .. } => 6,
    }
}
