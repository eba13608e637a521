//! One run of the fleet under uneven load.

use {
    super::{
        load::{
            Load,
            Sums, //
        },
        plan::Plan,
        setup::{
            router_name,
            Setup, //
        },
        snapshot::{
            dump,
            Rates,
            Snapshot, //
        },
        stage::Stage,
        watch::{
            Moment,
            Scene,
            Seen,
            Watch, //
        },
    },
    crate::{
        errors::Error,
        gauge::Quantiles, //
    },
    async_std::task,
    serde::Serialize,
    std::{
        collections::BTreeMap,
        fs,
        path::PathBuf,
        time::Duration, //
    },
};

/// Time for the load to settle.
const WARM: Duration = Duration::from_secs(3);

/// The events of a run, apart from the load.
#[derive(Debug, Clone, Default)]
pub(crate) struct Script {
    /// How long it lasts once the load has settled.
    pub(crate) time: Duration,
    /// The first engine is slowed to half in the middle.
    pub(crate) slow: bool,
    /// The second replica leaves in the middle, and a new one comes.
    pub(crate) leave: bool,
    /// Folder for each router's dump.
    pub(crate) dumps: Option<PathBuf>,
}

/// The result of a run.
#[derive(Debug, Serialize)]
pub(crate) struct Run {
    /// The mode.
    pub(crate) mode: String,
    /// What counted as service.
    pub(crate) unit: String,
    /// The widest fairness gap, from the first request on and once settled, in units of
    /// service divided by share.
    pub(crate) gap: f64,
    pub(crate) gap_settled: f64,
    /// Fraction of the engines' capacity in use while requests were queued.
    pub(crate) utilisation: f64,
    /// Requests that engines held, relative to their capacity.
    pub(crate) admitted: f64,
    /// Answers and tokens per second, from the first request on.
    pub(crate) answered: f64,
    pub(crate) tokens: f64,
    /// Time to the first byte of the answers of small and of flooding workspaces.
    pub(crate) first_small: Quantiles,
    pub(crate) first_floods: Quantiles,
    /// Rejected requests, by cause.
    pub(crate) refused: BTreeMap<String, u64>,
    /// Those of workspaces that don't flood: each could have been served in time.
    pub(crate) wrongly: u64,
    /// Wrong and lost answers.
    pub(crate) faults: Vec<String>,
    /// What each router used.
    pub(crate) routers: Vec<Rates>,
    /// What each workspace got.
    pub(crate) rows: Vec<Row>,
    /// The course of the run.
    pub(crate) course: Vec<Moment>,
    /// Lines of the routers' logs.
    pub(crate) logs: Vec<String>,
}

/// What one workspace got.
#[derive(Debug, Serialize)]
pub(crate) struct Row {
    pub(crate) workspace: String,
    pub(crate) share: f64,
    pub(crate) callers: usize,
    /// Fraction of the time in which it had queued requests.
    pub(crate) backlogged: f64,
    pub(crate) answered: u64,
    pub(crate) refused: u64,
    pub(crate) tokens: i64,
    pub(crate) first: Quantiles,
}

/// Runs the load on a new fleet.
pub(crate) async fn run(setup: &Setup, script: &Script) -> Result<Run, Error> {
    let mut stage = Stage::start(setup).await?;
    let load = Load::start(&setup.plans, &stage.callers());
    let watch = Watch::start(Scene {
        plans: setup.plans.clone(),
        counts: load.counts.clone(),
        operators: stage.operators(),
        engines: stage.engines.clone(),
        tokens: setup.unit == "tokens",
        warm: WARM,
    });
    task::sleep(WARM).await;
    let before = Snapshot::take(&stage).await?;
    task::sleep(script.time / 2).await;
    turn(&mut stage, script, &setup.mode).await?;
    task::sleep(script.time / 2).await;
    let after = Snapshot::take(&stage).await?;
    let seen = watch.stop().await;
    let sums = load.stop().await;
    let seconds = (WARM + script.time).as_secs_f64();
    Ok(Run {
        routers: after.since(&before),
        logs: stage.logs(),
        ..report(setup, seen, &sums, seconds)
    })
}

/// Runs the script's step in the middle of the run.
async fn turn(stage: &mut Stage, script: &Script, mode: &str) -> Result<(), Error> {
    if let Some(folder) = &script.dumps {
        for (i, router) in stage.routers.iter().enumerate() {
            let file = folder.join(format!("{mode}-{}.json", router_name(i)));
            let text = format!("{:#}", dump(router.ports.operators).await?);
            fs::write(file, text).map_err(|e| Error::Io("a dump", e))?;
        }
    }
    if script.slow {
        stage.engines.slow(0, 2.0);
    }
    if script.leave {
        stage.leave_engine(1);
        stage.add_engine().await?;
    }
    Ok(())
}

fn report(setup: &Setup, seen: Seen, sums: &[Sums], seconds: f64) -> Run {
    let each = || setup.plans.iter().zip(sums);
    let first = |floods: bool| {
        let some = each().filter(|(p, _)| p.floods == floods);
        Quantiles::of(some.flat_map(|(_, s)| s.first.clone()).collect())
    };
    let mut refused = BTreeMap::new();
    for (why, n) in sums.iter().flat_map(|s| &s.refused) {
        *refused.entry(why.clone()).or_default() += n;
    }
    Run {
        mode: setup.mode.clone(),
        unit: setup.unit.clone(),
        gap: seen.gap,
        gap_settled: seen.settled,
        utilisation: seen.used.part(),
        admitted: seen.used.admitted / seen.used.whole.max(f64::MIN_POSITIVE),
        answered: sums.iter().map(|s| s.answered).sum::<u64>() as f64 / seconds,
        tokens: sums.iter().map(|s| s.tokens).sum::<i64>() as f64 / seconds,
        first_small: first(false),
        first_floods: first(true),
        refused,
        wrongly: each()
            .filter(|(p, _)| !p.floods)
            .flat_map(|(_, s)| s.refused.values())
            .sum(),
        faults: sums.iter().flat_map(|s| s.faults.clone()).collect(),
        routers: Vec::new(),
        rows: each()
            .zip(&seen.backlogged)
            .map(|((p, s), b)| row(p, s, *b))
            .collect(),
        course: seen.course,
        logs: Vec::new(),
    }
}

fn row(plan: &Plan, sums: &Sums, backlogged: f64) -> Row {
    Row {
        workspace: plan.name.clone(),
        share: plan.share,
        callers: plan.callers,
        backlogged,
        answered: sums.answered,
        refused: sums.refused.values().sum(),
        tokens: sums.tokens,
        first: Quantiles::of(sums.first.clone()),
    }
}
