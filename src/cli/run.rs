//! Doing what the command line asks for.

use {
    super::flags::{
        Check,
        Chervilwind,
        ChervilwindCmd,
        Defaults,
        Router, //
    },
    crate::{
        conf::{
            start_logs,
            Settings,
            DEFAULT_SETTINGS, //
        },
        demo,
        errors::Error,
        router, //
    },
    log::LevelFilter,
    operators::{
        render,
        Document,
        Problem,
        Source, //
    },
    serde_json::json,
    std::{
        io::{
            self,
            IsTerminal, //
        },
        process::ExitCode, //
    },
};

/// Runs the program: reads the arguments, does what they say and prints any error.
pub fn run() -> ExitCode {
    let flags = Chervilwind::from_env_or_exit();
    match run_command(flags.subcommand) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprint!("{}", render(&error, io::stderr().is_terminal()));
            error.code()
        }
    }
}

fn run_command(command: ChervilwindCmd) -> Result<(), Error> {
    match command {
        ChervilwindCmd::Router(flags) => run_router(&flags),
        ChervilwindCmd::Demo(flags) => {
            start_logs(LevelFilter::Warn);
            demo::run(flags.json)
        }
        ChervilwindCmd::Check(flags) => check(&flags),
        ChervilwindCmd::Defaults(flags) => print_default(&flags),
    }
}

fn run_router(flags: &Router) -> Result<(), Error> {
    let settings = Settings::from_file(&flags.settings)?;
    start_logs(settings.log);
    router::run(settings)
}

fn check(flags: &Check) -> Result<(), Error> {
    let source = Source::from_file(&flags.file)?;
    let checked = if flags.settings {
        Settings::parse(&source).map(|s| format!("settings of {}", s.name))
    } else {
        Document::parse(&source).map(|d| summary(&d))
    };
    match (checked, flags.json) {
        (Ok(says), false) => println!("{}: good: {says}", flags.file.display()),
        (Ok(_), true) => println!("{}", problems_json(&[])),
        (Err(error), false) => return Err(error.into()),
        (Err(error), true) => {
            println!("{}", problems_json(&error.problems));
            return Err(error.into());
        }
    }
    Ok(())
}

fn summary(document: &Document) -> String {
    format!(
        "{} services, {} profiles, {} workspaces",
        document.services.len(),
        document.profiles.len(),
        document.workspaces.len()
    )
}

fn problems_json(problems: &[Problem]) -> serde_json::Value {
    let list = problems.iter().map(|p| {
        json!({
            "line": p.line(),
            "message": p.message,
            "remedy": p.remedy,
        })
    });
    json!({
        "good": problems.is_empty(),
        "problems": list.collect::<Vec<_>>(),
    })
}

fn print_default(flags: &Defaults) -> Result<(), Error> {
    match flags.name.as_str() {
        "settings" => print!("{DEFAULT_SETTINGS}"),
        "fleet" => print!("{}", operators::FLEET),
        other => {
            let message = format!("there is no default file `{other}`");
            let remedy = "give `settings` or `fleet`".to_owned();
            return Err(Error::Usage(message, remedy));
        }
    }
    Ok(())
}
