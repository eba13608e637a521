//! The command line: what may be asked for, and doing it.

mod flags;
mod run;

pub use self::run::run;
