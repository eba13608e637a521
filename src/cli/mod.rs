//! The command line: what may be asked for, and doing it.

mod apply;
mod call;
mod check;
mod flags;
mod help;
mod locate;
mod print;
mod run;
mod standin;
mod views;
mod wait;

pub(crate) use self::print::table;
pub use self::run::run;
