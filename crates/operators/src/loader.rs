//! Loading the configuration from its parts, again and again as it changes.

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

/// Loads configurations and remembers the parts of the last one.
///
/// A change of one workspace changes a part or two out of many, so only these are parsed
/// again. The result is always that of parsing the whole text.
#[derive(Debug, Clone, Default)]
pub struct Loader {
    pieces: BTreeMap<PartHash, Arc<Piece>>,
}

/// What one part says.
#[derive(Debug)]
struct Piece {
    document: Document,
    /// The part has a `[policy]`.
    policy: bool,
}

impl Loader {
    /// Loads a configuration.
    ///
    /// # Errors
    ///
    /// Every problem that was found. The one loaded before stays good.
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
        let pieces = self.parse_pieces(&config.parts);
        let document = match pieces.as_ref().and_then(|p| merge(p)) {
            Some(document) => document,
            None => parse_whole(config)?,
        };
        let hashes = config.parts.iter().map(Part::hash);
        self.pieces = hashes.zip(pieces.unwrap_or_default()).collect();
        Ok(Fleet::new(document))
    }

    /// Parses the parts that are not known yet; none where one of them can't stand alone.
    fn parse_pieces(&self, parts: &[Part]) -> Option<Vec<Arc<Piece>>> {
        let mut pieces = Vec::with_capacity(parts.len());
        for part in parts {
            let piece = match self.pieces.get(&part.hash()) {
                Some(piece) => piece.clone(),
                None => Arc::new(Piece::parse(part)?),
            };
            pieces.push(piece);
        }
        Some(pieces)
    }
}

impl Piece {
    fn parse(part: &Part) -> Option<Piece> {
        if !stands_alone(&part.text) {
            return None;
        }
        let source = Source::from_text(&part.name, &part.text);
        let (document, policy) = Document::parse_piece(&source).ok()?;
        Some(Piece { document, policy })
    }
}

/// Says whether a part means the same by itself as among the others.
///
/// A part that was cut out of the middle of a table begins with keys of a table that the part
/// before names; it would show as keys in the wrong table. A header such as `[workspace]` may
/// stand once in the whole text. So every part must begin with a header, and all headers but
/// that of the policy must name a table within another.
fn stands_alone(text: &str) -> bool {
    let mut lines = text.lines().map(str::trim_start);
    let mut significant = lines
        .clone()
        .filter(|l| !l.is_empty() && !l.starts_with('#'));
    let begins = significant.next().is_none_or(|l| l.starts_with('['));
    let names_inner = |l: &str| {
        let name = l[1..].split(']').next().unwrap_or_default();
        name.contains('.') || name.trim() == "policy"
    };
    begins && lines.all(|l| !l.starts_with('[') || names_inner(l))
}

/// Puts pieces together; none where they don't fit, so that the whole must tell why.
fn merge(pieces: &[Arc<Piece>]) -> Option<Document> {
    let mut whole = Document::default();
    let mut policies = 0;
    for piece in pieces {
        let part = &piece.document;
        if piece.policy {
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
