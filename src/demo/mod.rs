//! A small fleet in one process, for demonstration.

mod load;
mod show;
mod stage;
mod watch;

use {
    self::{
        load::run_load,
        show::{
            show_json,
            show_tables, //
        },
        stage::Stage,
        watch::Watch, //
    },
    crate::errors::Error,
    async_std::task,
    std::time::Instant, //
};

/// The result of a run.
#[derive(Debug)]
pub(crate) struct Report {
    /// Results by workspace, ordered by name.
    pub(crate) rows: Vec<Row>,
    /// The widest fairness gap seen, in tokens divided by share.
    pub(crate) gap: f64,
    /// The same, without the time in which the first callers still have a lead.
    pub(crate) settled: f64,
    /// Fraction of the engines' capacity in use while requests were queued.
    pub(crate) utilisation: f64,
    /// Control traffic of each router, sent and received.
    pub(crate) control: Vec<Control>,
    /// Answers that were wrong, lost or doubled.
    pub(crate) faults: Vec<String>,
    /// How long the load ran, in seconds.
    pub(crate) seconds: f64,
}

/// The requests of one workspace.
#[derive(Debug, Clone, Default)]
pub(crate) struct Row {
    /// The workspace.
    pub(crate) workspace: String,
    /// Its share.
    pub(crate) share: f64,
    /// Requests sent.
    pub(crate) asked: u32,
    /// Requests with a complete and correct answer.
    pub(crate) answered: u32,
    /// Requests rejected as not run.
    pub(crate) refused: u32,
    /// Tokens received.
    pub(crate) service: f64,
    /// Median time to the last byte of its answers, in milliseconds.
    pub(crate) median: f64,
}

/// The control traffic of one router.
#[derive(Debug, Clone)]
pub(crate) struct Control {
    /// The router.
    pub(crate) router: String,
    /// Bytes per second, sent and received.
    pub(crate) rate: f64,
}

/// Runs the demo; `json` prints JSON instead of tables.
pub(crate) fn run(json: bool) -> Result<(), Error> {
    let report = task::block_on(measure())?;
    if json {
        show_json(&report);
    } else {
        show_tables(&report);
    }
    if report.faults.is_empty() {
        return Ok(());
    }
    Err(Error::Failed(
        format!(
            "{} answers were wrong, lost or doubled",
            report.faults.len()
        ),
        "please report it with the lines above".to_owned(),
    ))
}

async fn measure() -> Result<Report, Error> {
    let stage = Stage::start().await?;
    let watch = Watch::start(&stage);
    let begin = Instant::now();
    let (rows, mut faults) = run_load(&stage).await;
    let seconds = begin.elapsed().as_secs_f64();
    let seen = watch.stop().await;
    faults.extend(stage.doubled());
    let control = stage.control(seconds);
    stage.end().await;
    Ok(Report {
        rows,
        gap: seen.gap,
        settled: seen.settled,
        utilisation: seen.utilisation,
        control,
        faults,
        seconds,
    })
}
