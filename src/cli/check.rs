//! Checking files, and printing the shipped ones.

use {
    super::{
        flags::{
            Check,
            Defaults, //
        },
        print::{
            line,
            put, //
        },
    },
    crate::{
        conf::{
            Settings,
            DEFAULT_SETTINGS, //
        },
        errors::Error, //
    },
    operators::{
        Document,
        Problem,
        Source,
        FLEET, //
    },
    serde_json::{
        json,
        Value, //
    },
};

/// Checks a configuration or settings.
pub(crate) fn check(flags: &Check) -> Result<(), Error> {
    let source = Source::from_file(&flags.file)?;
    let checked = if flags.settings {
        Settings::parse(&source).map(|s| format!("settings of {}", s.name))
    } else {
        Document::parse(&source).map(|d| summary(&d))
    };
    match (checked, flags.json) {
        (Ok(says), false) => line(format!("{}: good: {says}", flags.file.display())),
        (Ok(_), true) => line(problems_json(&[])),
        (Err(error), false) => Err(error.into()),
        (Err(error), true) => {
            line(problems_json(&error.problems))?;
            Err(error.into())
        }
    }
}

/// Prints a shipped file.
pub(crate) fn print_default(flags: &Defaults) -> Result<(), Error> {
    match flags.name.as_str() {
        "settings" => put(DEFAULT_SETTINGS.as_bytes()),
        "fleet" => put(FLEET.as_bytes()),
        other => {
            let message = format!("there is no default file `{other}`");
            let remedy = "give `settings` or `fleet`".to_owned();
            Err(Error::Usage(message, remedy))
        }
    }
}

fn summary(document: &Document) -> String {
    format!(
        "{} services, {} profiles, {} workspaces",
        document.services.len(),
        document.profiles.len(),
        document.workspaces.len()
    )
}

fn problems_json(problems: &[Problem]) -> Value {
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
