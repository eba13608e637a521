//! Writes a new configuration.

use {
    super::{
        error::{
            ApplyError,
            ReadError, //
        },
        head::{
            read_head,
            Blob,
            Found,
            Head,
            PartRef,
            HEAD_KEY, //
        },
        part::{
            Part,
            PartHash,
            PART_MAX, //
        },
        revision::{
            Base,
            WriteId, //
        },
        Revision, //
    },
    crate::{
        error::KvError,
        kv::Kv,
        types::KeyRevision, //
    },
    async_std::task,
    policy::Span,
    std::{
        collections::HashSet,
        sync::Arc,
        time::Duration, //
    },
};

/// How often a write without an answer is repeated, to find out whether it was done.
const TRIES: usize = 10;
/// Pause before the second of them, no shorter than the circuit's first; it doubles each time.
const PAUSE: Span = Span::millis(100);
/// Longest pause.
const PAUSE_MAX: Span = Span::secs(2);

/// A complete new configuration.
#[derive(Debug, Clone)]
pub struct Change {
    /// The configuration that it is based on.
    pub base: Base,
    /// Its parts, in order.
    pub parts: Vec<Part>,
    /// The operator who writes it.
    pub writer: String,
    /// The highest revision known to any router; the platform may have been restored to an
    /// older state. A change on a base below it is refused.
    pub floor: Revision,
}

/// A configuration that was accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Applied {
    /// Its revision.
    pub revision: Revision,
    /// The write that made it.
    pub write: WriteId,
}

/// Writes a new configuration if its base is still the one in force.
///
/// A base above the head on the platform is accepted: the platform then was restored to an
/// older state, and the operator's base, which routers have in force, is the newer one. So
/// the revision of an accepted configuration is above all that the fleet knows.
///
/// # Errors
///
/// [`ApplyError`]; only after [`ApplyError::Unknown`] may the change be in force.
pub async fn apply(kv: &Kv, change: Change) -> Result<Applied, ApplyError> {
    check(&change.parts)?;
    let found = read_head(kv).await?;
    check_base(&found, &change)?;
    let left = clean(kv, found.head.as_ref()).await;
    let head = prepare(kv, &found, &change, left).await?;
    let key = commit(kv, &found, &head).await?;
    mend(kv, &head, key, &change.parts).await?;
    Ok(Applied {
        revision: head.revision,
        write: head.write,
    })
}

fn check(parts: &[Part]) -> Result<(), ApplyError> {
    let mut names = HashSet::new();
    for part in parts {
        if part.text.len() > PART_MAX {
            return Err(ApplyError::TooLarge {
                name: part.name.clone(),
                size: part.text.len(),
                limit: PART_MAX,
            });
        }
        if !names.insert(&part.name) {
            return Err(ApplyError::Doubled(part.name.clone()));
        }
    }
    Ok(())
}

fn check_base(found: &Found, change: &Change) -> Result<(), ApplyError> {
    let base = change.base;
    if let Some(head) = &found.head {
        let other = base.write.is_some_and(|w| w != head.write);
        if head.revision > base.revision || (head.revision == base.revision && other) {
            return Err(conflict(head));
        }
    }
    // A restored platform has an older configuration. A change based on it would revert what was
    // accepted since, and routers would apply it, as its revision is the highest. The highest
    // revision that the fleet knows shows that.
    if base.revision < change.floor {
        return Err(ApplyError::Behind {
            base: base.revision,
            floor: change.floor,
        });
    }
    Ok(())
}

fn conflict(head: &Head) -> ApplyError {
    ApplyError::Conflict {
        revision: head.revision,
        writer: head.writer.clone(),
    }
}

/// Removes the parts that no head names, and returns those that could not be removed yet.
///
/// A slow writer could remove a part that another one has written again meanwhile, which then would
/// be missing from the configuration in force. So parts are removed only at the revision that the
/// old head names, and a part that is used again is written again.
async fn clean(kv: &Kv, head: Option<&Head>) -> Vec<Blob> {
    let dropped = head.map_or(&[][..], |h| &h.dropped);
    for (i, blob) in dropped.iter().enumerate() {
        match kv.delete(&Blob::key_of(blob.hash), blob.key).await {
            Ok(()) | Err(KvError::Conflict { .. }) => {}
            Err(e) => {
                task::sleep(pause_after(1, &e)).await;
                return dropped[i..].to_vec();
            }
        }
    }
    Vec::new()
}

/// Writes the parts and returns the head that names them.
async fn prepare(
    kv: &Kv,
    found: &Found,
    change: &Change,
    left: Vec<Blob>,
) -> Result<Head, ApplyError> {
    let before = found.head.as_ref();
    // It is not known which parts a restored platform still has.
    let trusted = before.filter(|h| h.revision == change.base.revision);
    let mut parts = Vec::with_capacity(change.parts.len());
    for part in &change.parts {
        let hash = part.hash();
        let kept = trusted.and_then(|h| h.kept().find(|b| b.hash == hash));
        let blob = match kept {
            Some(blob) => *blob,
            None => put_blob(kv, hash, &part.text)
                .await
                .map_err(ApplyError::NotApplied)?,
        };
        parts.push(PartRef {
            name: part.name.clone(),
            blob,
        });
    }
    let last = before.map_or(Revision::NONE, |h| h.revision);
    let mut head = Head {
        revision: last.max(change.base.revision).next(),
        writer: change.writer.clone(),
        write: WriteId::random(),
        parts,
        older: Vec::new(),
        writes: Vec::new(),
        dropped: left.clone(),
    };
    if let Some(before) = before {
        head.follow(before, left);
    }
    Ok(head)
}

/// Writes a part, even if it exists already: see [`clean`].
pub(crate) async fn put_blob(kv: &Kv, hash: PartHash, text: &Arc<str>) -> Result<Blob, KvError> {
    let key = Blob::key_of(hash);
    let mut cas = KeyRevision::NONE;
    let mut lost = false;
    let mut last = None;
    for tries in 1..=TRIES {
        let e = match kv.put(&key, text.clone(), cas, None).await {
            Ok(key) => return Ok(Blob { hash, key }),
            Err(e) => e,
        };
        match &e {
            KvError::Conflict { current } => cas = *current,
            KvError::Unknown { .. } => lost = true,
            // The circuit pauses after a lost answer.
            KvError::Unavailable { .. } if lost => {}
            _ => return Err(e),
        }
        if !matches!(e, KvError::Conflict { .. }) {
            task::sleep(pause_after(tries, &e)).await;
        }
        last = Some(e);
    }
    Err(last.expect("there is at least one try"))
}

/// Writes the head, and finds out whether it was written if the answer is lost.
///
/// Returns the revision of the head's key.
async fn commit(kv: &Kv, found: &Found, head: &Head) -> Result<KeyRevision, ApplyError> {
    let text: Arc<str> = head.to_text().map_err(ApplyError::Read)?.into();
    let mut lost = None;
    for tries in 1..=TRIES {
        // A write whose answer was lost may still be done later, and reading the head back does
        // not rule that out. Repeating the write does: either it is done now, or the head's key
        // has another revision and the late one fails.
        let cause = match kv.put(HEAD_KEY, text.clone(), found.key, None).await {
            Ok(key) => return Ok(key),
            Err(KvError::Conflict { .. }) => match settle(kv, head.write).await {
                Ok(done) => return done,
                Err(e) => e,
            },
            Err(e @ KvError::TooLarge { .. }) => return Err(ApplyError::NotApplied(e)),
            Err(e) => e,
        };
        if !cause.may_have_run() && lost.is_none() {
            return Err(ApplyError::NotApplied(cause));
        }
        task::sleep(pause_after(tries, &cause)).await;
        lost = Some(cause);
    }
    Err(unknown(head, lost))
}

/// Reads the head after a conflict to find out whose write it was.
async fn settle(kv: &Kv, write: WriteId) -> Result<Result<KeyRevision, ApplyError>, KvError> {
    let found = match read_head(kv).await {
        Ok(found) => found,
        Err(ReadError::Kv(e)) => return Err(e),
        Err(e) => return Ok(Err(ApplyError::Read(e))),
    };
    Ok(match &found.head {
        Some(head) if head.made_by(write) => Ok(found.key),
        Some(head) => Err(conflict(head)),
        None => Err(ApplyError::Conflict {
            revision: Revision::NONE,
            writer: "a platform restored to nothing".to_owned(),
        }),
    })
}

/// Writes the parts again that a restore of the platform removed before the head was written.
///
/// They would be missing from the configuration in force. After a restore revisions are lower, so
/// that the head's is no higher than those of the parts written before it.
async fn mend(kv: &Kv, head: &Head, key: KeyRevision, parts: &[Part]) -> Result<(), ApplyError> {
    for (part, named) in parts.iter().zip(&head.parts) {
        if named.blob.key < key {
            continue;
        }
        let put = put_blob(kv, named.blob.hash, &part.text).await;
        put.map_err(|e| unknown(head, Some(e)))?;
    }
    Ok(())
}

fn unknown(head: &Head, cause: Option<KvError>) -> ApplyError {
    ApplyError::Unknown {
        revision: head.revision,
        write: head.write,
        cause: cause.map_or_else(String::new, |e| e.to_string()),
    }
}

/// Returns how long to wait after a number of attempts, the last of which failed.
fn pause_after(tries: usize, cause: &KvError) -> Duration {
    let doubled = Span(PAUSE.0 << (tries - 1).min(10)).min(PAUSE_MAX);
    match cause {
        KvError::Unavailable { retry, .. } => doubled.max(*retry).into(),
        _ => doubled.into(),
    }
}
