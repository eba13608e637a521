//! Prints runs of the fleet.

use {
    super::fleet::{
        Row,
        Run, //
    },
    super::snapshot::Rates,
    crate::cli::table,
    serde_json::{
        json,
        Value, //
    },
};

/// Faults and log lines that are printed of each run.
const LINES: usize = 10;
const ROWS: [&str; 10] = [
    "workspace",
    "share",
    "callers",
    "waiting %",
    "answered",
    "refused",
    "tokens",
    "tokens/share",
    "first p50 ms",
    "p99",
];
const ROUTERS: [&str; 6] = [
    "router",
    "sent B/s",
    "received B/s",
    "platform/s",
    "cpu %",
    "RSS MB",
];
const COURSE: [&str; 8] = [
    "at s", "limit", "running", "queued", "busy %", "tokens/s", "gap", "engines",
];
const MB: f64 = 1e6;

/// Prints one run.
pub(crate) fn show_run(run: &Run) {
    println!("== mode {}, service in {} ==", run.mode, run.unit);
    println!("{}", table(&ROWS, 1, run.rows.iter().map(row).collect()));
    let routers = run.routers.iter().enumerate();
    println!("{}", table(&ROUTERS, 1, routers.map(router).collect()));
    println!("{}", table(&COURSE, 0, course(run)));
    show_sums(run);
    for fault in run.faults.iter().take(LINES) {
        println!("fault         {fault}");
    }
    for line in run.logs.iter().take(LINES) {
        println!("log           {line}");
    }
}

fn show_sums(run: &Run) {
    let control: Vec<f64> = run.routers.iter().map(|r| r.sent + r.received).collect();
    let sent: Vec<f64> = run.routers.iter().map(|r| r.sent).collect();
    println!(
        "fairness gap  {:.1} from the start, {:.1} once settled",
        run.gap, run.gap_settled
    );
    println!(
        "utilisation   {:.1}% while work waited; engines held {:.2} of capacity",
        run.utilisation * 100.0,
        run.admitted
    );
    println!(
        "control       {:.0} B/s mean, {:.0} max; sent {:.0} mean, {:.0} max",
        mean(&control),
        max(&control),
        mean(&sent),
        max(&sent)
    );
    println!(
        "answers       {:.1}/s, {:.0} tokens/s",
        run.answered, run.tokens
    );
    let (s, f) = (run.first_small, run.first_floods);
    println!(
        "first byte    small p50 {:.0} p95 {:.0} p99 {:.0} ms; floods p50 {:.0} p95 {:.0} p99 {:.0}",
        s.p50, s.p95, s.p99, f.p50, f.p95, f.p99
    );
    println!(
        "refused       {} wrongly; in all {:?}",
        run.wrongly, run.refused
    );
    println!("wrong, lost   {}", run.faults.len());
}

/// Prints how the modes compare.
pub(crate) fn show_ratios(runs: &[Run]) {
    for (other, ratio, settled) in ratios(runs) {
        println!("gap of fleet / gap of {other}: {ratio:.3} from the start, {settled:.3} settled");
    }
}

/// Returns everything as JSON.
pub(crate) fn runs_json(runs: &[Run]) -> Value {
    let ratios = ratios(runs).into_iter().map(|(other, ratio, settled)| {
        json!({ "mode": other, "gap_ratio": ratio, "gap_ratio_settled": settled })
    });
    json!({ "runs": runs, "fleet_to": ratios.collect::<Vec<_>>() })
}

/// Returns the fleet's gap relative to the other modes'.
fn ratios(runs: &[Run]) -> Vec<(&str, f64, f64)> {
    let Some(fleet) = runs.iter().find(|r| r.mode == "fleet") else {
        return Vec::new();
    };
    let others = runs.iter().filter(|r| r.mode != "fleet");
    others
        .map(|o| {
            let settled = fleet.gap_settled / o.gap_settled;
            (o.mode.as_str(), fleet.gap / o.gap, settled)
        })
        .collect()
}

fn row(r: &Row) -> Vec<String> {
    vec![
        r.workspace.clone(),
        format!("{}", r.share),
        r.callers.to_string(),
        format!("{:.0}", r.backlogged * 100.0),
        r.answered.to_string(),
        r.refused.to_string(),
        r.tokens.to_string(),
        format!("{:.0}", r.tokens as f64 / r.share),
        format!("{:.0}", r.first.p50),
        format!("{:.0}", r.first.p99),
    ]
}

fn router((i, r): (usize, &Rates)) -> Vec<String> {
    vec![
        super::setup::router_name(i),
        format!("{:.0}", r.sent),
        format!("{:.0}", r.received),
        format!("{:.2}", r.calls),
        format!("{:.1}", r.cpu * 100.0),
        format!("{:.1}", r.memory / MB),
    ]
}

fn course(run: &Run) -> Vec<Vec<String>> {
    let lines = run.course.iter().map(|m| {
        vec![
            format!("{:.0}", m.at),
            m.limit.to_string(),
            m.running.to_string(),
            m.queued.to_string(),
            format!("{:.1}", m.busy * 100.0),
            format!("{:.0}", m.tokens),
            format!("{:.0}", m.gap),
            format!("{:?}", m.engines),
        ]
    });
    lines.collect()
}

/// Returns the mean of some values.
pub(crate) fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

/// Returns the largest of some values.
pub(crate) fn max(values: &[f64]) -> f64 {
    values.iter().copied().fold(0.0, f64::max)
}
