//! The `chervilwind` program: starts what the command line asks for.

use std::process::ExitCode;

fn main() -> ExitCode {
    chervilwind::run()
}
