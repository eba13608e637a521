//! Problems in a file, with their location and remedy.

use {
    crate::source::Source,
    miette::{
        Diagnostic,
        GraphicalReportHandler,
        GraphicalTheme,
        LabeledSpan,
        SourceCode, //
    },
    std::{
        fmt,
        ops::Range, //
    },
};

/// Width of a rendered error, in columns.
const RENDER_COLUMNS: usize = 100;

/// A problem in a file.
#[derive(Debug, Clone)]
pub struct Problem {
    /// Description of the problem.
    pub message: String,
    /// How to fix it.
    pub remedy: String,
    /// Byte range in the file.
    pub place: Range<usize>,
    source: Source,
}

/// All problems of one file.
#[derive(Debug, Clone)]
pub struct CheckError {
    /// The problems, in the order of the file; at least one.
    pub problems: Vec<Problem>,
    file: String,
}

impl Problem {
    pub(crate) fn new(
        source: &Source,
        place: Range<usize>,
        message: String,
        remedy: String,
    ) -> Problem {
        Problem {
            message,
            remedy,
            place,
            source: source.clone(),
        }
    }

    /// Returns the line of the file, counted from 1.
    pub fn line(&self) -> usize {
        self.source.line(self.place.start)
    }
}

impl CheckError {
    pub(crate) fn new(source: &Source, mut problems: Vec<Problem>) -> CheckError {
        problems.sort_by_key(|p| p.place.start);
        CheckError {
            problems,
            file: source.name().to_owned(),
        }
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)
    }
}

impl std::error::Error for Problem {}

impl Diagnostic for Problem {
    fn help<'a>(&'a self) -> Option<Box<dyn fmt::Display + 'a>> {
        Some(Box::new(&self.remedy))
    }

    fn source_code(&self) -> Option<&dyn SourceCode> {
        Some(self.source.code())
    }

    fn labels(&self) -> Option<Box<dyn Iterator<Item = LabeledSpan> + '_>> {
        let label = LabeledSpan::new_with_span(None, self.place.clone());
        Some(Box::new(std::iter::once(label)))
    }
}

/// One line per problem, for logs: `FILE:LINE: problem; remedy`.
impl fmt::Display for CheckError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, p) in self.problems.iter().enumerate() {
            if i > 0 {
                f.write_str("\n")?;
            }
            write!(f, "{}:{}: {}; {}", self.file, p.line(), p.message, p.remedy)?;
        }
        Ok(())
    }
}

impl std::error::Error for CheckError {}

impl Diagnostic for CheckError {
    fn related<'a>(&'a self) -> Option<Box<dyn Iterator<Item = &'a dyn Diagnostic> + 'a>> {
        Some(Box::new(self.problems.iter().map(|p| p as &dyn Diagnostic)))
    }
}

/// Renders an error for a terminal, with an excerpt of the file.
///
/// A [`CheckError`] is rendered problem by problem.
pub fn render(error: &dyn Diagnostic, colour: bool) -> String {
    let theme = if colour {
        GraphicalTheme::unicode()
    } else {
        GraphicalTheme::unicode_nocolor()
    };
    let handler = GraphicalReportHandler::new_themed(theme)
        .with_width(RENDER_COLUMNS)
        .with_links(false);
    let mut out = String::new();
    let mut one = |d: &dyn Diagnostic| {
        if handler.render_report(&mut out, d).is_err() {
            out.push_str(&d.to_string());
        }
    };
    match error.related() {
        Some(related) => related.for_each(&mut one),
        None => one(error),
    }
    out
}
