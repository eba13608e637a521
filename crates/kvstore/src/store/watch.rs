//! Waits for a new configuration.

use {
    super::{
        config::Config,
        error::ReadError,
        head::{
            parse_head,
            Found,
            HEAD_KEY, //
        },
        read::complete,
        Revision, //
    },
    crate::{
        kv::{
            Kv,
            Watched, //
        },
        types::KeyRevision,
    },
    async_std::task,
    policy::Span,
    std::cmp::Ordering, //
};

/// How long one call waits.
///
/// A watch whose connection fell silent is noticed after this time and that of one answer, which
/// bounds the delay of a change. Each wait costs a call.
const WAIT: Span = Span::secs(2);

/// How often a watch is replaced by a plain read. A restored platform gives out the same key
/// revisions again; a watch can then wait for a revision that was already passed.
const READ_EVERY: u32 = 5;
/// Pause after a failure, so that a missing part is not requested in a tight loop.
const PAUSE: Span = Span::millis(500);

/// Watches the head, and remembers the key revision of the last one.
#[derive(Debug, Clone, Default)]
pub struct Watcher {
    seen: KeyRevision,
    calls: u32,
    failed: bool,
}

/// The platform's configuration, compared with that of the watcher.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Seen {
    /// Nothing changed.
    Same,
    /// A later configuration.
    Newer(Config),
    /// An older one, or none, as the platform was restored. The one in force stays and is to be repaired.
    Older {
        /// Its revision.
        revision: Revision,
    },
    /// Another configuration of the same revision: the platform was restored, and an operator who did
    /// not know the one in force wrote to it. The one in force stays.
    Other {
        /// Who wrote it.
        writer: String,
    },
}

impl Watcher {
    /// Makes a watcher that has read nothing yet.
    pub fn new() -> Watcher {
        Watcher::default()
    }

    /// Waits up to a few seconds for something other than `have`.
    ///
    /// # Errors
    ///
    /// [`ReadError`]; the next call pauses as long as necessary.
    pub async fn next(&mut self, kv: &Kv, have: Option<&Config>) -> Result<Seen, ReadError> {
        if self.failed {
            task::sleep(PAUSE.into()).await;
        }
        let seen = self.step(kv, have).await;
        self.failed = seen.is_err();
        seen
    }

    async fn step(&mut self, kv: &Kv, have: Option<&Config>) -> Result<Seen, ReadError> {
        self.calls += 1;
        // After a failure a read shows sooner than a watch whether the platform is back.
        let read = self.failed || self.calls % READ_EVERY == 0;
        let watched = match read {
            true => match kv.get(HEAD_KEY).await? {
                Some(entry) => Watched::Changed(entry),
                None => Watched::Gone,
            },
            false => kv.watch(HEAD_KEY, self.seen, WAIT).await?,
        };
        let entry = match watched {
            Watched::Same => return Ok(Seen::Same),
            Watched::Gone => {
                self.seen = KeyRevision::NONE;
                return Ok(against_none(have));
            }
            Watched::Changed(entry) => entry,
        };
        let found = parse_head(&entry)?;
        let seen = compare(kv, found, have).await?;
        self.seen = entry.revision;
        Ok(seen)
    }
}

fn against_none(have: Option<&Config>) -> Seen {
    match have {
        Some(_) => Seen::Older {
            revision: Revision::NONE,
        },
        None => Seen::Same,
    }
}

async fn compare(kv: &Kv, found: Found, have: Option<&Config>) -> Result<Seen, ReadError> {
    let Some(head) = &found.head else {
        return Ok(against_none(have));
    };
    if let Some(have) = have {
        let writer = head.writer.clone();
        match head.revision.cmp(&have.revision) {
            Ordering::Less => {
                let revision = head.revision;
                return Ok(Seen::Older { revision });
            }
            Ordering::Equal if head.write != have.write => return Ok(Seen::Other { writer }),
            Ordering::Equal => return Ok(Seen::Same),
            Ordering::Greater => {}
        }
    }
    let parts = have.map_or(&[][..], |c| &c.parts);
    let config = complete(kv, found, parts).await?;
    Ok(config.map_or(Seen::Same, Seen::Newer))
}
