//! Reads a whole configuration.

use {
    super::{
        config::Config,
        error::ReadError,
        head::{
            read_head,
            Blob,
            Found,
            Head,
            PartRef, //
        },
        part::{
            Part,
            PartHash, //
        },
    },
    crate::kv::Kv,
    std::sync::Arc, //
};

/// How often a read starts again because the configuration changed meanwhile.
const TRIES: usize = 4;

/// Reads the configuration on the platform, or none if none was ever written.
///
/// Parts in `have` are not fetched again.
///
/// # Errors
///
/// [`ReadError`]; the reader's configuration then stays in force.
pub async fn read(kv: &Kv, have: &[Part]) -> Result<Option<Config>, ReadError> {
    let found = read_head(kv).await?;
    complete(kv, found, have).await
}

/// Fetches the parts that a head names.
pub(crate) async fn complete(
    kv: &Kv,
    found: Found,
    have: &[Part],
) -> Result<Option<Config>, ReadError> {
    let mut found = found;
    let mut tries = 0;
    loop {
        let Some(head) = &found.head else {
            return Ok(None);
        };
        let missing = match fetch_all(kv, head, have).await {
            Err(e @ ReadError::Missing { .. }) => e,
            done => return done.map(Some),
        };
        // Parts may have been removed during a slow read, after several new heads were written.
        // The head has changed then, and the new one names parts that exist.
        tries += 1;
        let now = read_head(kv).await?;
        if tries == TRIES || now.key == found.key {
            return Err(missing);
        }
        found = now;
    }
}

async fn fetch_all(kv: &Kv, head: &Head, have: &[Part]) -> Result<Config, ReadError> {
    let known: Vec<(PartHash, &Part)> = have.iter().map(|p| (p.hash(), p)).collect();
    let mut parts = Vec::with_capacity(head.parts.len());
    for part in &head.parts {
        let held = known.iter().find(|(hash, _)| *hash == part.blob.hash);
        let text = match held {
            Some((_, p)) => p.text.clone(),
            None => fetch(kv, head, part).await?,
        };
        parts.push(Part::new(part.name.clone(), text));
    }
    Ok(Config {
        revision: head.revision,
        writer: head.writer.clone(),
        write: head.write,
        parts,
    })
}

async fn fetch(kv: &Kv, head: &Head, part: &PartRef) -> Result<Arc<str>, ReadError> {
    let hash = part.blob.hash;
    let entry = kv.get(&Blob::key_of(hash)).await?;
    // Content that does not match its hash counts as missing.
    let whole = entry.filter(|e| PartHash::of(&e.value) == hash);
    let missing = || ReadError::Missing {
        name: part.name.clone(),
        hash,
        revision: head.revision,
    };
    whole.map(|e| e.value).ok_or_else(missing)
}
