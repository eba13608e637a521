//! What is wrong with a file, where, and the remedy.

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
const WIDTH: usize = 100;

/// One thing that is wrong in a file.
#[derive(Debug, Clone)]
pub struct Problem {
    /// What is wrong.
    pub message: String,
    /// What to do about it.
    pub remedy: String,
    /// The bytes of the file that it concerns.
    pub place: Range<usize>,
    source: Source,
}

/// Everything that is wrong in one file.
#[derive(Debug, Clone)]
pub struct CheckError {
    /// The problems, in the file's order. There is at least one.
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

/// One line a problem, for logs: `FILE:LINE: what is wrong; the remedy`.
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

/// Renders an error for a person, with the lines of the file that it concerns.
///
/// A [`CheckError`] is rendered problem by problem.
pub fn render(error: &dyn Diagnostic, colour: bool) -> String {
    let theme = if colour {
        GraphicalTheme::unicode()
    } else {
        GraphicalTheme::unicode_nocolor()
    };
    let handler = GraphicalReportHandler::new_themed(theme)
        .with_width(WIDTH)
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
