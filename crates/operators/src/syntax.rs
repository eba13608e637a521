//! Converts errors of the TOML parser to problems with a remedy.

use {
    crate::{
        problem::Problem,
        section::MAX_PROBLEMS,
        source::Source, //
    },
    std::ops::Range,
};

/// Converts the parser's errors to problems.
///
/// For a duplicate table the parser also reports each of its keys as a duplicate; only the problem
/// of the table itself is kept.
pub(crate) fn syntax_problems(source: &Source, errors: &[toml::de::Error]) -> Vec<Problem> {
    let mut problems: Vec<Problem> = Vec::new();
    let mut twice = None;
    for error in errors.iter().take(MAX_PROBLEMS) {
        let place = error.span().unwrap_or(0..0);
        if !error.message().contains("duplicate key") {
            problems.push(syntax_problem(source, place, error.message()));
            continue;
        }
        let table = header_before(source.text(), place.start);
        if twice.is_some() && table == twice {
            continue;
        }
        let on_header = table.as_ref().is_some_and(|h| h.contains(&place.start));
        if on_header {
            twice = table;
        }
        problems.push(duplicate_problem(source, place, on_header));
    }
    problems
}

fn syntax_problem(source: &Source, place: Range<usize>, says: &str) -> Problem {
    let message = format!("this is not valid TOML: {says}");
    let remedy = "mend this line; text values need quotes, tables a header in brackets".to_owned();
    Problem::new(source, place, message, remedy)
}

fn duplicate_problem(source: &Source, place: Range<usize>, table: bool) -> Problem {
    let key = source.text().get(place.clone()).unwrap_or_default();
    let name = match header_before(source.text(), place.start) {
        Some(header) if table => source.text()[header].trim_end(),
        _ => key,
    };
    let message = format!("`{name}` is given twice");
    let remedy = "keep one of the two, or give the other its own name".to_owned();
    Problem::new(source, place, message, remedy)
}

/// Returns the range of the last table header at or before a byte.
fn header_before(text: &str, byte: usize) -> Option<Range<usize>> {
    let mut start = 0;
    let mut last = None;
    for line in text.split_inclusive('\n') {
        if start > byte {
            break;
        }
        let end = start + line.len();
        if line.trim_start().starts_with('[') {
            last = Some(start..end);
        }
        start = end;
    }
    last
}
