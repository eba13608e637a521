//! Parts of a document, each small enough for one value.

use {
    serde::{
        Deserialize,
        Serialize, //
    },
    std::sync::Arc,
    xxhash_rust::xxh3::{
        xxh3_128,
        xxh3_64, //
    },
};

/// Largest part, in bytes: a quarter of the service's limit.
pub const PART_MAX: usize = 256 << 10;
/// `split` cuts a part at the latest here, at the end of a line.
const SPLIT_MAX: usize = 64 << 10;
/// `split` cuts before one in this many table headers.
const SPLIT_ODDS: u64 = 64;

/// Hash of a part's content, under which it is kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct PartHash(u128);

/// A named piece of the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// Name, unique in the configuration.
    pub name: String,
    /// Content.
    pub text: Arc<str>,
}

impl Part {
    /// Makes a part.
    pub fn new(name: impl Into<String>, text: impl Into<Arc<str>>) -> Part {
        Part {
            name: name.into(),
            text: text.into(),
        }
    }

    /// Returns the hash of its content.
    pub fn hash(&self) -> PartHash {
        PartHash::of(&self.text)
    }
}

impl PartHash {
    /// Returns the hash of a text.
    pub fn of(text: &str) -> PartHash {
        PartHash(xxh3_128(text.as_bytes()))
    }
}

/// Splits a TOML document into parts that follow one another.
///
/// It cuts before some table headers, chosen by their text: a small change of the document
/// then changes one part or two, and the others need not be written again.
///
/// # Examples
///
/// ```
/// use kvstore::store::{join, split};
///
/// let text = "[workspaces.a]\nshare = 1\n[workspaces.b]\nshare = 2\n";
/// let parts = split("fleet", text);
/// assert_eq!(join(&parts), text);
/// ```
pub fn split(name: &str, text: &str) -> Vec<Part> {
    let mut pieces = vec![String::new()];
    for line in text.split_inclusive('\n') {
        let last = pieces.last().expect("there is always one piece");
        let full = last.len() + line.len() > SPLIT_MAX;
        if !last.is_empty() && (full || is_cut(line)) {
            pieces.push(String::new());
        }
        let last = pieces.last_mut().expect("there is always one piece");
        last.push_str(line);
    }
    let named = |(i, text): (usize, String)| Part::new(format!("{name}.{i}"), text);
    pieces.into_iter().enumerate().map(named).collect()
}

/// Joins the parts that `split` made.
pub fn join(parts: &[Part]) -> String {
    parts.iter().map(|p| &*p.text).collect()
}

fn is_cut(line: &str) -> bool {
    line.starts_with('[') && xxh3_64(line.as_bytes()) % SPLIT_ODDS == 0
}

hex_text!(PartHash, u128, "{:032x}");
