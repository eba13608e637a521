//! Printing what came of the demo.

use {
    super::Report,
    comfy_table::{
        presets::UTF8_BORDERS_ONLY,
        CellAlignment,
        Table, //
    },
    serde_json::json,
};

/// Prints the report as tables.
pub(crate) fn show_tables(r: &Report) {
    let mut table = table(&[
        "workspace", "share", "asked", "answered", "refused", "tokens", "tokens/share", "median ms",
    ]);
    for row in &r.rows {
        table.add_row([
            row.workspace.clone(),
            format!("{}", row.share),
            row.asked.to_string(),
            row.answered.to_string(),
            row.refused.to_string(),
            format!("{:.0}", row.service),
            format!("{:.0}", row.service / row.share),
            format!("{:.0}", row.median),
        ]);
    }
    println!("{table}");
    let mut control = self::table(&["router", "control bytes/s"]);
    for c in &r.control {
        control.add_row([c.router.clone(), format!("{:.0}", c.rate)]);
    }
    println!("{control}");
    println!("fairness gap     {:.0} tokens/share, the widest between two backlogged", r.gap);
    println!("utilisation      {:.1}% while work waited", r.utilisation * 100.0);
    println!("time             {:.1} s", r.seconds);
    for fault in &r.faults {
        println!("fault            {fault}");
    }
    println!("answered {} of {}", answered(r), admitted(r));
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
    let control = r.control.iter().map(|c| json!({"router": c.router, "bytes_per_s": c.rate}));
    let report = json!({
        "workspaces": rows.collect::<Vec<_>>(),
        "control": control.collect::<Vec<_>>(),
        "gap": r.gap,
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

/// Requests that were not refused as not run.
fn admitted(r: &Report) -> u32 {
    r.rows.iter().map(|row| row.asked - row.refused).sum()
}

fn table(head: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_preset(UTF8_BORDERS_ONLY).set_header(head.iter().copied());
    for column in table.column_iter_mut().skip(1) {
        column.set_cell_alignment(CellAlignment::Right);
    }
    table
}
