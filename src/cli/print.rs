//! Tables for people.

use {
    comfy_table::{
        presets::UTF8_HORIZONTAL_ONLY,
        CellAlignment,
        ContentArrangement,
        Table, //
    },
    policy::Span, //
};

/// Makes a table whose first `left` columns hold names, and the others numbers.
pub(crate) fn table(header: &[&str], left: usize, rows: Vec<Vec<String>>) -> Table {
    let mut table = Table::new();
    table
        .load_preset(UTF8_HORIZONTAL_ONLY)
        .set_content_arrangement(ContentArrangement::Disabled)
        .set_header(header)
        .add_rows(rows);
    for column in table.column_iter_mut().skip(left) {
        column.set_cell_alignment(CellAlignment::Right);
    }
    table
}

/// Writes a length of time as operators write it: `20s`, `250ms`.
pub(crate) fn time(span: Span) -> String {
    match span.0 {
        n if n % 60_000_000 == 0 && n > 0 => format!("{}m", n / 60_000_000),
        n if n % 1_000_000 == 0 => format!("{}s", n / 1_000_000),
        n if n % 1_000 == 0 => format!("{}ms", n / 1_000),
        _ => span.to_string(),
    }
}

/// Writes `yes` or `no`.
pub(crate) fn yes(flag: bool) -> String {
    if flag { "yes" } else { "no" }.to_owned()
}
