//! Identification of repeated requests.

use {
    crate::WorkspaceId,
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

/// A hash of the content of a request, the same at any router each time a caller repeats it.
///
/// The caller's request id can't serve for this, since each attempt has a new one.
///
/// # Examples
///
/// ```
/// use policy::quarantine::RequestDigest;
///
/// let workspace = "harbour".parse()?;
/// let parts = [&b"POST"[..], b"a.example", b"/draft"];
/// let first = RequestDigest::of(Some(&workspace), &parts, b"a clause");
/// assert_eq!(first, RequestDigest::of(Some(&workspace), &parts, b"a clause"));
/// assert_ne!(first, RequestDigest::of(None, &parts, b"a clause"));
/// assert_eq!(first.to_string().parse(), Ok(first));
/// # Ok::<(), policy::IdError>(())
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestDigest(pub u64);

impl RequestDigest {
    /// Returns the digest of a workspace's request: the relevant parts of its head, and its body.
    pub fn of(workspace: Option<&WorkspaceId>, head: &[&[u8]], body: &[u8]) -> RequestDigest {
        let mut hash = Xxh3::new();
        let workspace = workspace.map_or("", |w| w.as_str());
        for part in [workspace.as_bytes()].iter().chain(head).chain(&[body]) {
            // The lengths are included so that moving a byte from one part to the next changes the
            // digest.
            hash.update(&(part.len() as u64).to_le_bytes());
            hash.update(part);
        }
        RequestDigest(hash.digest())
    }
}

impl fmt::Display for RequestDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for RequestDigest {
    type Err = ParseIntError;

    fn from_str(s: &str) -> Result<RequestDigest, ParseIntError> {
        u64::from_str_radix(s, 16).map(RequestDigest)
    }
}
