//! Doing what the command line asks for.

use {
    super::{
        apply::apply,
        call::call,
        check::{
            check,
            print_default, //
        },
        config::config,
        flags::{
            Chervilwind,
            ChervilwindCmd,
            Gateway,
            Router, //
        },
        help::help_for,
        locate::locate,
        print::put,
        standin::standin,
        views::{
            dump,
            profiles,
            status, //
        },
    },
    crate::{
        conf::{
            start_logs,
            Settings, //
        },
        demo,
        errors::Error,
        measure,
        router, //
    },
    async_std::task::block_on,
    log::LevelFilter,
    operators::{
        render,
        start_metrics, //
    },
    std::{
        env,
        ffi::OsString,
        io::{
            self,
            IsTerminal,
            Write, //
        },
        process::ExitCode, //
    },
};

/// Exit code for arguments that can't be read.
const USAGE: u8 = 2;

/// Runs the program: parses the arguments, runs the command and prints any error.
pub fn run() -> ExitCode {
    let args: Vec<OsString> = env::args_os().skip(1).collect();
    let flags = match Chervilwind::from_vec(args.clone()) {
        Ok(flags) => flags,
        Err(error) if error.is_help() => {
            return end(put(help_for(&args, &error.to_string()).as_bytes()));
        }
        Err(error) => {
            complain(&format!(
                "{error}; `chervilwind --help` lists what may be given\n"
            ));
            return ExitCode::from(USAGE);
        }
    };
    end(run_command(flags.subcommand))
}

/// Prints the error, if there is one, and returns the exit code.
fn end(result: Result<(), Error>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            complain(&render(&error, io::stderr().is_terminal()));
            error.code()
        }
    }
}

/// Writes to the standard error stream. A failure to write is ignored, as the exit code reports the error too.
fn complain(text: &str) {
    let _ = io::stderr().write_all(text.as_bytes());
}

fn run_command(command: ChervilwindCmd) -> Result<(), Error> {
    let serves = matches!(
        command,
        ChervilwindCmd::Router(_) | ChervilwindCmd::Gateway(_)
    );
    if !serves {
        start_logs(LevelFilter::Warn);
    }
    match command {
        ChervilwindCmd::Router(flags) => run_router(&flags),
        ChervilwindCmd::Gateway(flags) => run_gateway(&flags),
        ChervilwindCmd::Demo(flags) => demo::run(flags.json),
        ChervilwindCmd::Where(flags) => block_on(locate(&flags)),
        ChervilwindCmd::Call(flags) => block_on(call(&flags)),
        ChervilwindCmd::Check(flags) => check(&flags),
        ChervilwindCmd::Config(flags) => block_on(config(&flags)),
        ChervilwindCmd::Apply(flags) => block_on(apply(&flags)),
        ChervilwindCmd::Profiles(flags) => block_on(profiles(&flags)),
        ChervilwindCmd::Status(flags) => block_on(status(&flags)),
        ChervilwindCmd::Dump(flags) => block_on(dump(&flags)),
        ChervilwindCmd::Defaults(flags) => print_default(&flags),
        ChervilwindCmd::Standin(flags) => block_on(standin(&flags)),
        ChervilwindCmd::Measure(flags) => measure::run(&flags),
    }
}

fn run_router(flags: &Router) -> Result<(), Error> {
    let settings = Settings::from_file(&flags.settings)?;
    start_logs(settings.log);
    start_metrics();
    router::run(settings)
}

fn run_gateway(flags: &Gateway) -> Result<(), Error> {
    let settings = gateway::Settings::from_file(&flags.settings)?;
    gateway::start_logs(LevelFilter::Info);
    let store = adapter::store(settings.store.address);
    gateway::run(settings, &flags.settings, adapter::dialect(), store)
        .map_err(|e| Error::Io("the gateway can't start", e))
}
