//! Checking files, and printing the shipped ones.

use {
    super::flags::{
        Check,
        Defaults, //
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

/// Prints a shipped file.
pub(crate) fn print_default(flags: &Defaults) -> Result<(), Error> {
    match flags.name.as_str() {
        "settings" => print!("{DEFAULT_SETTINGS}"),
        "fleet" => print!("{FLEET}"),
        other => {
            let message = format!("there is no default file `{other}`");
            let remedy = "give `settings` or `fleet`".to_owned();
            return Err(Error::Usage(message, remedy));
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
