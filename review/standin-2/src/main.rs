//! Stand-ins of clients, servers and the platform, and the drivers of the cases.

mod cases;
mod fleet;
mod http;
mod json;
mod record;
mod replica;
mod socket;
mod store;

use {
    cases::{head_answers, long_keep_alive, regions, slow_readers, tenant_name},
    record::Record,
    replica::Work,
    std::{env, process::ExitCode},
};

/// The rule held, was broken, or the case could not run.
const HELD: u8 = 0;
const BROKEN: u8 = 1;
const NOT_RUN: u8 = 2;

fn main() -> ExitCode {
    let args: Vec<String> = env::args().skip(1).collect();
    let Some(name) = args.first() else {
        eprintln!("usage: standin-2 CASE");
        return ExitCode::from(NOT_RUN);
    };
    if name == "replica" {
        let served = Work::parse(&args[1..]).map(replica::run);
        return ExitCode::from(if served.is_some() { HELD } else { NOT_RUN });
    }
    let record = Record::new();
    let trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let seen = match name.as_str() {
        "head-answers" => head_answers::run(trouble, &record),
        "long-keep-alive" => long_keep_alive::run(trouble, &record),
        "tenant-name" => tenant_name::run(trouble, &record),
        "regions" => regions::run(trouble, &record),
        "slow-readers" => slow_readers::run(trouble, &record),
        _ => {
            eprintln!("{name} is no case");
            return ExitCode::from(NOT_RUN);
        }
    };
    println!(
        "case {name}, {} the disruption",
        if trouble { "with" } else { "without" }
    );
    record.print();
    match seen {
        Ok(broken) if broken.is_empty() => {
            println!("verdict: the rule held");
            ExitCode::from(HELD)
        }
        Ok(broken) => {
            for line in &broken {
                println!("broken: {line}");
            }
            println!("verdict: the rule was broken {} times", broken.len());
            ExitCode::from(BROKEN)
        }
        Err(e) => {
            println!("verdict: the case could not run: {e}");
            ExitCode::from(NOT_RUN)
        }
    }
}
