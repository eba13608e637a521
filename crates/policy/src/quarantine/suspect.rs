//! Identification of what may crash replicas.

use {
    crate::{
        ServiceId,
        WorkspaceId, //
    },
    serde::{
        Deserialize,
        Serialize, //
    },
    std::{
        fmt,
        num::ParseIntError,
        str::FromStr, //
    },
    xxhash_rust::xxh3::Xxh3, //
};

/// Something that may crash replicas, the same at any router: a request with all its content, or a
/// part that the prompts of several requests share.
///
/// The caller's request id can't serve for a request, since each attempt has a new one.
///
/// # Examples
///
/// ```
/// use policy::quarantine::{Suspect, SuspectKind};
///
/// let workspace = "harbour".parse()?;
/// let head = [&b"POST"[..], b"a.example", b"/draft"];
/// let body = [&b"a "[..], b"clause"];
/// let first = Suspect::request(Some(&workspace), &head, body);
/// assert_eq!(first, Suspect::request(Some(&workspace), &head, [&b"a clause"[..]]));
/// assert_ne!(first, Suspect::request(None, &head, body));
/// assert_eq!(first.to_string().parse(), Ok(first));
///
/// let part = Suspect::prompt_part(&"drafting".parse()?, 0x5c1e);
/// assert_eq!((first.kind(), part.kind()), (SuspectKind::Request, SuspectKind::PromptPart));
/// # Ok::<(), policy::IdError>(())
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Suspect(pub u64);

/// The kinds of suspects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SuspectKind {
    /// A request with all its content.
    Request,
    /// A part of prompts at one service.
    PromptPart,
}

/// Marks a part of prompts. The kind is a bit of the number, so that reports of routers contain it.
const PROMPT_PART_BIT: u64 = 1 << 63;

impl Suspect {
    /// Returns the suspect for a workspace's request: the relevant parts of its head, and the slices
    /// of its body.
    pub fn request<'a, B>(workspace: Option<&WorkspaceId>, head: &[&[u8]], body: B) -> Suspect
    where
        B: IntoIterator<Item = &'a [u8]> + Clone,
    {
        let workspace = workspace.map_or("", |w| w.as_str()).as_bytes();
        let fields = [workspace].into_iter().chain(head.iter().copied());
        let mut hash = hash_fields(fields);
        let length: usize = body.clone().into_iter().map(<[u8]>::len).sum();
        hash.update(&(length as u64).to_le_bytes());
        body.into_iter().for_each(|slice| hash.update(slice));
        Suspect(hash.digest() & !PROMPT_PART_BIT)
    }

    /// Returns the suspect for a part of prompts at a service, whichever workspace sends it.
    pub fn prompt_part(service: &ServiceId, part: u64) -> Suspect {
        let fields = [service.as_str().as_bytes(), &part.to_le_bytes()];
        Suspect(hash_fields(fields).digest() | PROMPT_PART_BIT)
    }

    /// Returns what kind of suspect it is.
    pub fn kind(self) -> SuspectKind {
        match self.0 & PROMPT_PART_BIT {
            0 => SuspectKind::Request,
            _ => SuspectKind::PromptPart,
        }
    }
}

/// Hashes fields. The lengths are included so that moving a byte from one field to the next changes
/// the hash.
fn hash_fields<'a>(fields: impl IntoIterator<Item = &'a [u8]>) -> Xxh3 {
    let mut hash = Xxh3::new();
    for field in fields {
        hash.update(&(field.len() as u64).to_le_bytes());
        hash.update(field);
    }
    hash
}

impl fmt::Display for Suspect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for Suspect {
    type Err = ParseIntError;

    fn from_str(s: &str) -> Result<Suspect, ParseIntError> {
        u64::from_str_radix(s, 16).map(Suspect)
    }
}

impl fmt::Display for SuspectKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            SuspectKind::Request => "request",
            SuspectKind::PromptPart => "prompt-part",
        })
    }
}
