//! Runs `chervilwind measure`.

use {
    super::{
        control,
        fleet::{
            self,
            Script, //
        },
        latency,
        plan::{
            calm,
            uneven, //
        },
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
        router::receive_signals,
        slopes, //
    },
    async_std::task,
    futures_lite::future::or,
    std::{
        future::Future,
        time::Duration, //
    },
};

/// Default duration of each run.
const SECONDS: u32 = 15;
/// Tokens that could come in the time to the first one.
const FIRST: u32 = 5;
const LATENCY: u32 = 5;
const CONTROL: u32 = 6;
const MODES: &str = "fleet,alone,static";
const MODE_NAMES: [&str; 3] = ["fleet", "alone", "static"];
const UNIT_NAMES: [&str; 2] = ["tokens", "requests"];

/// Runs the measurement that the arguments name.
pub(crate) fn run(flags: &Measure) -> Result<(), Error> {
    match flags.what.as_str() {
        "fleet" => until_told(run_fleet(flags)),
        "latency" => until_told(latency::run(time(flags, LATENCY), flags.json)),
        "control" => until_told(control::run(time(flags, CONTROL), flags.json)),
        "slopes" => slopes::run(flags.plots.as_deref(), flags.json),
        other => Err(Error::Usage(
            format!("nothing is measured under `{other}`"),
            "give `fleet`, `latency`, `control` or `slopes`".to_owned(),
        )),
    }
}

/// Measures until the end of the run or a signal; the router processes end with it.
fn until_told(work: impl Future<Output = Result<(), Error>>) -> Result<(), Error> {
    let told = receive_signals().map_err(|e| Error::Io("signals can't be taken", e))?;
    task::block_on(or(work, async {
        let _ = told.recv().await;
        Err(Error::Failed(
            "the measuring was told to end".to_owned(),
            "run it again, or with fewer --seconds".to_owned(),
        ))
    }))
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
    if let Some(gap) = flags.gap {
        setup.gap = gap.into();
        setup.first = setup.gap * FIRST;
    }
    setup.plans = uneven(setup.routers);
    if flags.calm {
        setup.plans = calm(setup.plans);
    }
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
