//! Writes the configuration that routers have in force back to a restored platform.

use {
    super::{
        apply::put_blob,
        config::Config,
        error::ApplyError,
        head::{
            read_head,
            Head,
            PartRef,
            HEAD_KEY, //
        },
    },
    crate::kv::Kv,
};

/// The result of a repair.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Repaired {
    /// The platform had an older configuration or none, and has this one now.
    Written,
    /// The platform has this configuration or a later one.
    NotNeeded,
}

/// Writes a configuration in force back to a platform that has an older one.
///
/// Revision, write and writer stay the same, so nothing changes for routers that have it, and those
/// that restart without one find it.
///
/// # Errors
///
/// [`ApplyError`]; it is safe to try again.
pub async fn repair(kv: &Kv, config: &Config) -> Result<Repaired, ApplyError> {
    let found = read_head(kv).await?;
    let before = found.head.as_ref();
    if before.is_some_and(|h| h.revision >= config.revision) {
        return Ok(Repaired::NotNeeded);
    }
    let mut parts = Vec::with_capacity(config.parts.len());
    for part in &config.parts {
        // It is not known which parts the older state has, so all of them are written.
        let put = put_blob(kv, part.hash(), &part.text).await;
        let blob = put.map_err(ApplyError::NotApplied)?;
        let name = part.name.clone();
        parts.push(PartRef { name, blob });
    }
    let mut head = Head {
        revision: config.revision,
        writer: config.writer.clone(),
        write: config.write,
        parts,
        older: Vec::new(),
        writes: Vec::new(),
        dropped: Vec::new(),
    };
    if let Some(before) = before {
        head.follow(before, before.dropped.clone());
    }
    let text = head.to_text()?;
    let put = kv.put(HEAD_KEY, text.into(), found.key, None).await;
    put.map_err(ApplyError::NotApplied)?;
    Ok(Repaired::Written)
}
