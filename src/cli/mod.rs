//! The command line: what may be asked for, and doing it.

mod apply;
mod base_line;
mod call;
mod chat_text;
mod check;
mod config;
mod flags;
mod help;
mod locate;
mod print;
mod run;
mod standin;
mod targets;
mod views;
mod wait;

pub use self::run::run;
pub(crate) use self::{
    flags::Measure,
    print::table, //
};
