//! Tables for people.

use {
    crate::errors::Error,
    comfy_table::{
        presets::UTF8_HORIZONTAL_ONLY,
        CellAlignment,
        ContentArrangement,
        Table,
        TableComponent, //
    },
    policy::Span,
    std::{
        fmt::Display,
        io::{
            self,
            Write, //
        },
    },
};

/// Makes a table whose first `left` columns hold names, and the others numbers.
pub(crate) fn table(header: &[&str], left: usize, rows: Vec<Vec<String>>) -> Table {
    let mut table = Table::new();
    table
        .load_preset(UTF8_HORIZONTAL_ONLY)
        .remove_style(TableComponent::HorizontalLines)
        .remove_style(TableComponent::MiddleIntersections)
        .remove_style(TableComponent::LeftBorderIntersections)
        .remove_style(TableComponent::RightBorderIntersections)
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

/// Writes text and a line's end to the standard output.
pub(crate) fn line(text: impl Display) -> Result<(), Error> {
    put(format!("{text}\n").as_bytes())
}

/// Writes bytes to the standard output, at once.
///
/// A reader such as `head` closes the pipe when it has seen enough. It shows as a broken
/// pipe and is no failure: what the reader asked for is done.
pub(crate) fn put(bytes: &[u8]) -> Result<(), Error> {
    let mut out = io::stdout().lock();
    match out.write_all(bytes).and_then(|()| out.flush()) {
        Err(e) if e.kind() != io::ErrorKind::BrokenPipe => {
            Err(Error::Io("the output can't be written", e))
        }
        _ => Ok(()),
    }
}
