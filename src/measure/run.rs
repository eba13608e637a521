//! Doing what `chervilwind measure` is asked for.

use {
    super::{
        control,
        fleet::{
            self,
            Script, //
        },
        latency,
        plan::uneven,
        setup::Setup,
        show::{
            runs_json,
            show_ratios,
            show_run, //
        },
    },
    crate::{
        cli::Measure,
        errors::Error,
        slopes, //
    },
    async_std::task,
    std::time::Duration, //
};

/// How long each run lasts, where nothing is said.
const SECONDS: u32 = 15;
const LATENCY: u32 = 5;
const CONTROL: u32 = 6;
const MODES: &str = "fleet,alone,static";
const MODE_NAMES: [&str; 3] = ["fleet", "alone", "static"];
const UNIT_NAMES: [&str; 2] = ["tokens", "requests"];

/// Measures what the arguments name.
pub(crate) fn run(flags: &Measure) -> Result<(), Error> {
    match flags.what.as_str() {
        "fleet" => task::block_on(run_fleet(flags)),
        "slopes" => slopes::run(flags.plots.as_deref(), flags.json),
        "latency" => task::block_on(latency::run(time(flags, LATENCY), flags.json)),
        "control" => task::block_on(control::run(time(flags, CONTROL), flags.json)),
        other => Err(Error::Usage(
            format!("nothing is measured under `{other}`"),
            "give `fleet`, `latency`, `control` or `slopes`".to_owned(),
        )),
    }
}

async fn run_fleet(flags: &Measure) -> Result<(), Error> {
    let script = Script {
        time: time(flags, SECONDS),
        slow: flags.slow,
        leave: flags.leave,
        dumps: flags.dumps.clone(),
    };
    let modes = flags.modes.as_deref().unwrap_or(MODES);
    let mut setups = Vec::new();
    for mode in modes.split(',') {
        setups.push(setup(flags, one_of("--modes", mode, &MODE_NAMES)?)?);
    }
    let mut runs = Vec::new();
    for setup in setups {
        let run = fleet::run(&setup, &script).await?;
        if !flags.json {
            show_run(&run);
        }
        runs.push(run);
    }
    match flags.json {
        true => println!("{:#}", runs_json(&runs)),
        false => show_ratios(&runs),
    }
    Ok(())
}

fn setup(flags: &Measure, mode: &str) -> Result<Setup, Error> {
    let mut setup = Setup::new(mode, Vec::new());
    setup.routers = flags.routers.unwrap_or(setup.routers).max(1);
    setup.replicas = flags.replicas.unwrap_or(setup.replicas).max(2);
    if let Some(unit) = &flags.unit {
        setup.unit = one_of("--unit", unit, &UNIT_NAMES)?.to_owned();
    }
    setup.plans = uneven(setup.routers);
    Ok(setup)
}

/// Returns how long each run lasts.
pub(crate) fn time(flags: &Measure, usual: u32) -> Duration {
    Duration::from_secs(flags.seconds.unwrap_or(usual).into())
}

fn one_of<'a>(flag: &str, name: &'a str, names: &[&str]) -> Result<&'a str, Error> {
    if names.contains(&name) {
        return Ok(name);
    }
    Err(Error::Usage(
        format!("{flag} knows no `{name}`"),
        format!("give some of {}", names.join(", ")),
    ))
}
