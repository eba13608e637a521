//! Reads a TOML file table by table, and finds all its problems in one pass.

use {
    crate::{
        nearest::nearest,
        problem::{
            CheckError,
            Problem, //
        },
        source::Source,
        syntax::syntax_problems, //
    },
    std::{
        cell::RefCell,
        ops::Range, //
    },
    toml::de::{
        DeTable,
        DeValue, //
    },
};

/// Maximum number of problems reported for one file.
pub(crate) const MAX_PROBLEMS: usize = 100;

/// A table of a file, and the problems found in it so far.
///
/// Each key is taken once; [`Section::finish`] reports the keys that were not taken.
#[derive(Debug)]
pub struct Section<'t> {
    name: String,
    place: Range<usize>,
    table: Option<&'t DeTable<'t>>,
    /// The value is not a table, which was reported.
    wrong: bool,
    taken: Vec<&'static str>,
    findings: &'t Findings<'t>,
}

#[derive(Debug)]
struct Findings<'t> {
    source: &'t Source,
    problems: RefCell<Vec<Problem>>,
    /// The file is not valid TOML, so keys that seem to be missing may not have been parsed.
    broken: bool,
}

/// Parses a file and passes its root table to `read`.
///
/// # Errors
///
/// All problems found by the TOML parser and by `read`.
///
/// # Examples
///
/// ```
/// use operators::{parse, text, Source};
///
/// let source = Source::from_text("a.toml", "name = \"x\"\nsize = 3\n");
/// let error = parse(&source, "file", |root| {
///     let name = root.need::<String>("name", "name = \"NAME\"", text("a name"));
///     name
/// });
/// assert_eq!(
///     error.unwrap_err().to_string(),
///     "a.toml:2: the file has the unknown key `size`; remove it; known keys: `name`"
/// );
/// ```
pub fn parse<T>(
    source: &Source,
    what: &str,
    read: impl FnOnce(&mut Section<'_>) -> Option<T>,
) -> Result<T, CheckError> {
    let (root, errors) = DeTable::parse_recoverable(source.text());
    let syntax = syntax_problems(source, &errors);
    let findings = Findings {
        source,
        broken: !syntax.is_empty(),
        problems: RefCell::new(syntax),
    };
    let mut section = Section {
        name: format!("the {what}"),
        place: 0..0,
        table: Some(root.get_ref()),
        wrong: false,
        taken: Vec::new(),
        findings: &findings,
    };
    let value = read(&mut section);
    section.finish();
    let problems = findings.problems.into_inner();
    match value {
        Some(value) if problems.is_empty() => Ok(value),
        _ => Err(CheckError::new(source, problems)),
    }
}

impl<'t> Section<'t> {
    /// Takes a value; `read` returns it, or the remedy if it is invalid.
    pub fn take<T>(
        &mut self,
        key: &'static str,
        read: impl Fn(&DeValue<'_>) -> Result<T, String>,
    ) -> Option<T> {
        self.taken.push(key);
        let value = self.table?.get(key)?;
        match read(value.get_ref()) {
            Ok(value) => Some(value),
            Err(remedy) => {
                let written = &self.findings.source.text()[value.span()];
                let message = format!("{} has {key} {written}", self.name);
                self.report(value.span(), message, remedy);
                None
            }
        }
    }

    /// Takes a value, or the default if the key is missing or its value is invalid.
    ///
    /// An invalid value was reported, so the default does not take effect.
    pub fn take_or<T>(
        &mut self,
        key: &'static str,
        default: T,
        read: impl Fn(&DeValue<'_>) -> Result<T, String>,
    ) -> T {
        self.take(key, read).unwrap_or(default)
    }

    /// Takes a required value; `example` shows how to write it.
    pub fn need<T>(
        &mut self,
        key: &'static str,
        example: &str,
        read: impl Fn(&DeValue<'_>) -> Result<T, String>,
    ) -> Option<T> {
        let missing = self.table.is_none_or(|t| t.get(key).is_none());
        if missing && !self.wrong {
            self.missing(key, example);
        }
        self.take(key, read)
    }

    /// Takes a nested table. A missing one is treated as an empty one.
    pub fn section(&mut self, key: &'static str) -> Section<'t> {
        self.taken.push(key);
        let found = self.table.and_then(|t| t.get_key_value(key));
        let mut section = Section {
            name: format!("[{key}]"),
            place: self.place.clone(),
            table: None,
            wrong: false,
            taken: Vec::new(),
            findings: self.findings,
        };
        if let Some((key, value)) = found {
            section.place = key.span();
            section.table = value.get_ref().as_table();
            section.check_table(value.span());
        }
        section
    }

    /// Takes a table of named tables, such as `[profile.NAME]`, in the order of their names.
    pub fn sections(&mut self, key: &'static str) -> Vec<(&'t str, Section<'t>)> {
        let outer = self.section(key);
        let Some(table) = outer.table else {
            return Vec::new();
        };
        let named = table.iter().map(|(name, value)| {
            let mut section = Section {
                name: format!("{key} \"{}\"", name.get_ref()),
                place: name.span(),
                table: value.get_ref().as_table(),
                wrong: false,
                taken: Vec::new(),
                findings: self.findings,
            };
            section.check_table(value.span());
            (name.get_ref().as_ref(), section)
        });
        named.collect()
    }

    /// Returns the byte range of a value in the file.
    pub fn place_of(&self, key: &str) -> Option<Range<usize>> {
        Some(self.table?.get(key)?.span())
    }

    /// Returns the line of a value in the file, counted from 1.
    pub fn line_of(&self, key: &str) -> Option<usize> {
        let place = self.place_of(key)?;
        Some(self.findings.source.line(place.start))
    }

    /// Reports a problem of the whole table; the message is its name and `says`.
    pub fn wrong(&self, says: &str, remedy: &str) {
        let message = format!("{} {says}", self.name);
        self.report(self.place.clone(), message, remedy.to_owned());
    }

    /// Reports a problem of one value; the message is the table's name and `says`.
    pub fn wrong_at(&self, key: &str, says: &str, remedy: &str) {
        let place = self.place_of(key).unwrap_or(self.place.clone());
        let message = format!("{} {says}", self.name);
        self.report(place, message, remedy.to_owned());
    }

    /// Reports a missing key or table, unless the file could not be parsed.
    pub fn missing(&self, what: &str, example: &str) {
        let says = match self.table {
            Some(_) => format!("has no {what}"),
            None => "is missing".to_owned(),
        };
        if !self.findings.broken {
            self.wrong(&says, &format!("add `{example}`"));
        }
    }

    /// Reports the keys that were not taken.
    pub fn finish(&self) {
        for (key, _) in self.table.into_iter().flatten() {
            let name = key.get_ref().as_ref();
            if self.taken.contains(&name) {
                continue;
            }
            let message = format!("{} has the unknown key `{name}`", self.name);
            let advice = match nearest(name, &self.taken) {
                Some(k) => format!("did you mean `{k}`?"),
                None => "remove it;".to_owned(),
            };
            let known: Vec<String> = self.taken.iter().map(|k| format!("`{k}`")).collect();
            let remedy = format!("{advice} known keys: {}", known.join(", "));
            self.report(key.span(), message, remedy);
        }
    }

    fn check_table(&mut self, place: Range<usize>) {
        if self.table.is_some() {
            return;
        }
        self.wrong = true;
        let message = format!("{} is not a table", self.name);
        let remedy = "write a header in brackets and one `key = value` a line under it".to_owned();
        self.report(place, message, remedy);
    }

    fn report(&self, place: Range<usize>, message: String, remedy: String) {
        let problem = Problem::new(self.findings.source, place, message, remedy);
        let mut problems = self.findings.problems.borrow_mut();
        if problems.len() < MAX_PROBLEMS {
            problems.push(problem);
        }
    }
}
