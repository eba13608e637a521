//! Revisions of the platform's store.

use {
    crate::Era,
    serde::{
        Deserialize,
        Serialize, //
    },
    std::{
        fmt,
        str::FromStr, //
    },
    thiserror::Error, //
};

/// The number of changes to the store, in one of its eras.
///
/// # Examples
///
/// ```
/// use policy::{Era, Revision};
///
/// let before = Revision { era: Era(1), number: 40 };
/// assert!(Revision { number: 12, ..before }.fell_since(before));
/// assert!(!Revision { era: Era(2), number: 12 }.fell_since(before));
/// assert_eq!(before.to_string(), "1.40");
/// // Revisions of a later era come after all of an earlier one.
/// assert!(Revision { era: Era(2), number: 12 } > before);
/// ```
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct Revision {
    /// The era that the number belongs to.
    pub era: Era,
    /// The number of changes.
    pub number: u64,
}

impl Revision {
    /// Returns whether the number is lower than in an earlier answer of the same era, which means
    /// that the store came back from an older copy and doesn't report eras.
    pub fn fell_since(self, before: Revision) -> bool {
        self.era == before.era && self.number < before.number
    }
}

/// The text is no revision.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("a revision is an era and a number with a dot between them, such as 1.40")]
pub struct RevisionError;

impl FromStr for Revision {
    type Err = RevisionError;

    fn from_str(text: &str) -> Result<Revision, RevisionError> {
        let (era, number) = text.split_once('.').ok_or(RevisionError)?;
        let parse = |part: &str| part.parse().map_err(|_| RevisionError);
        Ok(Revision {
            era: Era(parse(era)?),
            number: parse(number)?,
        })
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.number)
    }
}
