//! Finds out what began a stream that is taken up at this router.

use {
    super::{
        KnownStream,
        StreamOrigin, //
    },
    crate::Span,
    serde::{
        Deserialize,
        Serialize, //
    },
    std::{
        collections::BTreeSet,
        fmt, //
    },
};

/// A list of replicas that was made longer ago may lack a version.
const LIST_AGE_MAX: Span = Span::secs(10);
/// Routers that may be out of contact while the others decide that there is one version only. The router
/// that began a stream may have ended, but those that it told of the stream have not ended with it.
const MISSING_MAX: usize = 1;

/// What one router knows of a stream, and of the versions that may have begun it.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Knowledge {
    /// The router's record of it, if there is one.
    pub record: Option<KnownStream>,
    /// The services and versions that may have begun a stream that still goes on.
    pub recent: Vec<StreamOrigin>,
    /// For how long the router has known the versions.
    pub known_for: Span,
    /// How long ago its list of replicas was made, if it has one.
    pub list_age: Option<Span>,
}

/// How it is known what began a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OriginSource {
    /// This router recorded it.
    Own,
    /// Another router recorded it.
    Peer,
    /// There has been one version only for longer than any stream lasts.
    OnlyVersion,
}

/// What began a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Found {
    /// The service and version.
    pub origin: StreamOrigin,
    /// How that is known.
    pub source: OriginSource,
    /// How long ago the stream was recorded, or for how long there has been no other version.
    pub age: Span,
}

/// Why it is not known what began a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unknown {
    /// No router that may have a record of the stream answered.
    Unreached,
    /// No router that answered has a record of it, and there may have been several versions.
    NotRecorded,
    /// The same, and those that may have a record, or know of another version, are out of contact.
    OutOfContact,
}

/// The answers to the question what began a stream.
///
/// A guess would join what two versions write, so it is only decided by a record, or if there was
/// nothing else that could have begun the stream.
///
/// # Examples
///
/// ```
/// use policy::streams::{KnownStream, Knowledge, Lookup, OriginSource, StreamOrigin};
/// use policy::Span;
///
/// let origin = StreamOrigin { service: "drafting-llm".parse()?, version: None };
/// let record = KnownStream { origin: origin.clone(), age: Span::secs(1) };
/// let mut lookup = Lookup::new(Knowledge::default(), 2, 0, Span::secs(30));
/// lookup.add(Knowledge { record: Some(record), ..Knowledge::default() });
/// assert!(lookup.is_complete());
/// let found = lookup.finish().unwrap();
/// assert_eq!((found.origin, found.source), (origin, OriginSource::Peer));
/// # Ok::<(), policy::IdError>(())
/// ```
#[derive(Debug, Clone)]
pub struct Lookup {
    found: Option<Found>,
    recent: BTreeSet<StreamOrigin>,
    /// For how long a router with a fresh list has known the versions.
    known_for: Span,
    /// Routers that were asked, and those of them that answered.
    asked: usize,
    answered: usize,
    /// Routers that are known and were not asked, as they are out of contact.
    silent: usize,
    /// Longer than any stream lasts.
    span: Span,
}

impl Lookup {
    /// Starts with what this router knows. `asked` is the number of other routers that are asked,
    /// `silent` that of others that are out of contact, and `span` longer than any stream lasts.
    pub fn new(own: Knowledge, asked: usize, silent: usize, span: Span) -> Lookup {
        let mut lookup = Lookup {
            found: None,
            recent: BTreeSet::new(),
            known_for: Span::ZERO,
            asked,
            answered: 0,
            silent,
            span,
        };
        lookup.merge(own, OriginSource::Own);
        lookup
    }

    /// Adds the answer of another router.
    pub fn add(&mut self, answer: Knowledge) {
        self.answered += 1;
        self.merge(answer, OriginSource::Peer);
    }

    /// Adds what this router knows from a list that was made after the stream was taken up. Such a list
    /// has the version that began the stream, whoever is out of contact.
    pub fn confirm(&mut self, own: Knowledge) {
        self.silent = 0;
        self.asked = self.answered;
        self.merge(own, OriginSource::Own);
    }

    fn merge(&mut self, known: Knowledge, source: OriginSource) {
        let found = known.record.map(|record| Found::of(record, source));
        self.found = self.found.take().or(found);
        self.recent.extend(known.recent);
        if known.list_age.is_some_and(|age| age <= LIST_AGE_MAX) {
            self.known_for = self.known_for.max(known.known_for);
        }
    }

    /// Returns whether further answers would change nothing.
    pub fn is_complete(&self) -> bool {
        self.found.is_some() || self.answered >= self.asked
    }

    /// Returns what began the stream.
    ///
    /// # Errors
    ///
    /// Why it is not known.
    pub fn finish(&self) -> Result<Found, Unknown> {
        if let Some(found) = &self.found {
            return Ok(found.clone());
        }
        if self.asked > 0 && self.answered == 0 {
            return Err(Unknown::Unreached);
        }
        let mut recent = self.recent.iter();
        match (recent.next(), recent.next()) {
            (Some(_), None) if self.missing() > MISSING_MAX => Err(Unknown::OutOfContact),
            (Some(origin), None) if self.known_for >= self.span => Ok(Found {
                origin: origin.clone(),
                source: OriginSource::OnlyVersion,
                age: self.known_for,
            }),
            _ => Err(Unknown::NotRecorded),
        }
    }

    /// Returns the number of routers that gave no answer.
    fn missing(&self) -> usize {
        self.asked.saturating_sub(self.answered) + self.silent
    }
}

impl Found {
    fn of(record: KnownStream, source: OriginSource) -> Found {
        Found {
            origin: record.origin,
            source,
            age: record.age,
        }
    }
}

impl fmt::Display for OriginSource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            OriginSource::Own => "own",
            OriginSource::Peer => "peer",
            OriginSource::OnlyVersion => "only-version",
        })
    }
}

impl fmt::Display for Unknown {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Unknown::Unreached => "unreached",
            Unknown::NotRecorded => "not-recorded",
            Unknown::OutOfContact => "out-of-contact",
        })
    }
}
