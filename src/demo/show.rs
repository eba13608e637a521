//! Prints the result of the demo.

use {
    super::{
        Report,
        Row, //
    },
    crate::cli::table,
    serde_json::json,
};

/// Maximum number of printed faults; the last line and the exit code cover all.
const FAULTS: usize = 10;
const HEADER: [&str; 8] = [
    "workspace",
    "share",
    "asked",
    "answered",
    "refused",
    "tokens",
    "tokens/share",
    "median ms",
];

/// Prints the report as tables.
pub(crate) fn show_tables(r: &Report) {
    println!("{}", table(&HEADER, 1, r.rows.iter().map(cells).collect()));
    let control = r.control.iter();
    let control = control.map(|c| vec![c.router.clone(), format!("{:.0}", c.rate)]);
    println!(
        "{}",
        table(&["router", "control bytes/s"], 1, control.collect())
    );
    println!(
        "fairness gap  {:.0} tokens/share, the widest between two backlogged; {:.0} once settled",
        r.gap, r.settled
    );
    println!(
        "utilisation   {:.1}% while work waited",
        r.utilisation * 100.0
    );
    println!("time          {:.1} s", r.seconds);
    for fault in r.faults.iter().take(FAULTS) {
        println!("fault         {fault}");
    }
    println!("answered {} of {}", answered(r), admitted(r));
}

fn cells(row: &Row) -> Vec<String> {
    vec![
        row.workspace.clone(),
        format!("{}", row.share),
        row.asked.to_string(),
        row.answered.to_string(),
        row.refused.to_string(),
        format!("{:.0}", row.service),
        format!("{:.0}", row.service / row.share),
        format!("{:.0}", row.median),
    ]
}

/// Prints the report as JSON.
pub(crate) fn show_json(r: &Report) {
    let rows = r.rows.iter().map(|row| {
        json!({
            "workspace": row.workspace,
            "share": row.share,
            "asked": row.asked,
            "answered": row.answered,
            "refused": row.refused,
            "tokens": row.service,
            "median_ms": row.median,
        })
    });
    let control = r
        .control
        .iter()
        .map(|c| json!({"router": c.router, "bytes_per_s": c.rate}));
    let report = json!({
        "workspaces": rows.collect::<Vec<_>>(),
        "control": control.collect::<Vec<_>>(),
        "gap": r.gap,
        "gap_settled": r.settled,
        "utilisation": r.utilisation,
        "seconds": r.seconds,
        "faults": r.faults,
        "answered": answered(r),
        "admitted": admitted(r),
    });
    println!("{report:#}");
}

fn answered(r: &Report) -> u32 {
    r.rows.iter().map(|row| row.answered).sum()
}

/// Returns the requests that were not rejected as not run.
fn admitted(r: &Report) -> u32 {
    r.rows.iter().map(|row| row.asked - row.refused).sum()
}
