//! Stand-ins and drivers of the scripts under review/.

mod cases;
mod fleet;
mod http;
mod json;
mod server;
mod store;

use std::{env, panic, path::Path, process, process::ExitCode, thread, time::Duration};

/// A case that takes longer could not run. `run.sh` ends what it has started.
const LENGTH_MAX: Duration = Duration::from_secs(110);

/// What a case found.
pub enum Verdict {
    /// The rule held; what was seen.
    Held(String),
    /// The rule was broken; what was seen.
    Broken(String),
}

fn main() -> ExitCode {
    let args: Vec<String> = env::args().skip(1).collect();
    let trouble = env::var("TROUBLE").map_or(true, |text| text != "0");
    match args.first().map(String::as_str) {
        Some("server") => match server::run(server::Options::parse(&args[1..])) {
            Ok(()) => ExitCode::SUCCESS,
            Err(_) => ExitCode::from(2),
        },
        Some(case) if args.len() == 2 => {
            let record = Path::new(&args[1]);
            thread::spawn(|| {
                thread::sleep(LENGTH_MAX);
                println!("could not run: not done within {LENGTH_MAX:?}");
                process::exit(2);
            });
            let found = panic::catch_unwind(|| match case {
                "leaving-server" => cases::leaving_server::run(trouble, record),
                "event-ids" => cases::event_ids::run(trouble, record),
                "uploads" => cases::uploads::run(trouble, record),
                _ => Err("there is no such case".to_owned()),
            });
            let found = found.unwrap_or_else(|_| Err("the driver failed".to_owned()));
            match found {
                Ok(Verdict::Held(text)) => {
                    println!("held: {text}");
                    ExitCode::SUCCESS
                }
                Ok(Verdict::Broken(text)) => {
                    println!("broken: {text}");
                    ExitCode::from(1)
                }
                Err(text) => {
                    println!("could not run: {text}");
                    ExitCode::from(2)
                }
            }
        }
        _ => {
            eprintln!("usage: review-standin CASE RECORD");
            ExitCode::from(2)
        }
    }
}
