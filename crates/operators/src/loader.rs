//! Loads the configuration from its parts, and reloads the parts that changed.

use {
    crate::{
        document::Document,
        fleet::Fleet,
        problem::CheckError,
        source::Source, //
    },
    kvstore::store::{
        join,
        Config,
        Part,
        PartHash, //
    },
    std::{
        collections::BTreeMap,
        sync::Arc, //
    },
};

/// Loads configurations, and caches the parsed parts of the last one.
///
/// A change of one workspace changes one or two of many parts, and only these are parsed again. The
/// result is always the same as that of parsing the whole text.
#[derive(Debug, Clone, Default)]
pub struct Loader {
    cached: BTreeMap<PartHash, Arc<ParsedPart>>,
}

/// A part that was parsed by itself.
#[derive(Debug)]
struct ParsedPart {
    document: Document,
    /// Whether the part has a `[policy]`.
    policy: bool,
}

impl Loader {
    /// Loads a configuration.
    ///
    /// # Errors
    ///
    /// All problems found. The configuration loaded before stays valid.
    ///
    /// # Examples
    ///
    /// ```
    /// use operators::{Loader, FLEET};
    /// use kvstore::store::{split, Config, Revision, WriteId};
    ///
    /// let config = Config {
    ///     revision: Revision(3),
    ///     writer: "ada".to_owned(),
    ///     write: WriteId::random(),
    ///     parts: split("fleet", FLEET),
    /// };
    /// let fleet = Loader::default().load(&config).unwrap();
    /// assert!(fleet.workspace("bristol").is_ok());
    /// ```
    pub fn load(&mut self, config: &Config) -> Result<Fleet, CheckError> {
        let parsed = self.parse_parts(&config.parts);
        let document = match parsed.as_ref().and_then(|p| merge(p)) {
            Some(document) => document,
            None => parse_whole(config)?,
        };
        let hashes = config.parts.iter().map(Part::hash);
        self.cached = hashes.zip(parsed.unwrap_or_default()).collect();
        Ok(Fleet::new(document))
    }

    /// Parses the parts that are not cached; none if one of them can't be parsed by itself.
    fn parse_parts(&self, parts: &[Part]) -> Option<Vec<Arc<ParsedPart>>> {
        let mut parsed = Vec::with_capacity(parts.len());
        for part in parts {
            let one = match self.cached.get(&part.hash()) {
                Some(one) => one.clone(),
                None => Arc::new(ParsedPart::parse(part)?),
            };
            parsed.push(one);
        }
        Some(parsed)
    }
}

impl ParsedPart {
    fn parse(part: &Part) -> Option<ParsedPart> {
        if !is_self_contained(&part.text) {
            return None;
        }
        let source = Source::from_text(&part.name, &part.text);
        let (document, policy) = Document::parse_part(&source).ok()?;
        Some(ParsedPart { document, policy })
    }
}

/// Returns whether a part has the same meaning by itself as within the whole text.
///
/// A part cut out of the middle of a table begins with keys whose table header is in the part
/// before, so they would be parsed as keys of another table. A header such as `[workspace]` may occur
/// once in the whole text. So every part must begin with a header, and all headers but that of the
/// policy must name a nested table.
fn is_self_contained(text: &str) -> bool {
    let mut lines = text.lines().map(str::trim_start);
    let mut significant = lines
        .clone()
        .filter(|l| !l.is_empty() && !l.starts_with('#'));
    let starts_with_header = significant.next().is_none_or(|l| l.starts_with('['));
    let names_nested_table = |l: &str| {
        let name = l[1..].split(']').next().unwrap_or_default();
        name.contains('.') || name.trim() == "policy"
    };
    starts_with_header && lines.all(|l| !l.starts_with('[') || names_nested_table(l))
}

/// Merges parsed parts; none if they conflict, so that the whole text is parsed to report why.
fn merge(parsed: &[Arc<ParsedPart>]) -> Option<Document> {
    let mut whole = Document::default();
    let mut policies = 0;
    for one in parsed {
        let part = &one.document;
        if one.policy {
            policies += 1;
            whole.policy = part.policy;
        }
        add(&mut whole.services, &part.services)?;
        add(&mut whole.profiles, &part.profiles)?;
        add(&mut whole.workspaces, &part.workspaces)?;
    }
    let complete =
        !(whole.services.is_empty() || whole.profiles.is_empty() || whole.workspaces.is_empty());
    (complete && policies <= 1).then_some(whole)
}

fn add<K: Clone + Ord, V: Clone>(to: &mut BTreeMap<K, V>, from: &BTreeMap<K, V>) -> Option<()> {
    for (name, value) in from {
        if to.insert(name.clone(), value.clone()).is_some() {
            return None;
        }
    }
    Some(())
}

fn parse_whole(config: &Config) -> Result<Document, CheckError> {
    let name = format!("revision {}", config.revision);
    let source = Source::from_text(&name, &join(&config.parts));
    Document::parse(&source)
}
