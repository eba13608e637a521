//! Printing slopes.

use {
    super::series::Series,
    crate::cli::table,
    serde_json::json, //
};

const HEADER: [&str; 8] = [
    "role",
    "cost",
    "size",
    "from",
    "to",
    "per one more",
    "target",
    "there",
];

pub(crate) fn show_table(all: &[Series]) {
    println!("{}", table(&HEADER, 3, all.iter().map(cells).collect()));
}

fn cells(s: &Series) -> Vec<String> {
    let sizes = || s.points.iter().map(|p| p.size);
    vec![
        s.role.to_owned(),
        s.cost.to_owned(),
        s.size.to_owned(),
        format!("{:.0}", sizes().fold(f64::INFINITY, f64::min)),
        format!("{:.0}", sizes().fold(0.0, f64::max)),
        format!("{:.4}", s.line().slope),
        format!("{:.0}", s.target),
        format!("{:.3}", s.at_target()),
    ]
}

pub(crate) fn show_json(all: &[Series]) {
    let list = all.iter().map(|s| {
        let points = s.points.iter().map(|p| json!([p.size, p.cost]));
        json!({
            "name": s.name,
            "role": s.role,
            "size": s.size,
            "cost": s.cost,
            "slope": s.line().slope,
            "base": s.line().base,
            "target": s.target,
            "at_target": s.at_target(),
            "points": points.collect::<Vec<_>>(),
        })
    });
    println!("{:#}", json!(list.collect::<Vec<_>>()));
}
