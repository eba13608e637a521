//! Which few routers watch the platform for the others.

use crate::{
    members::Member,
    rendezvous,
    RouterId, //
};

/// How many routers watch one key, so that one may fail unnoticed.
pub const WATCHER_COUNT: usize = 3;

/// Returns the `k` routers that watch `key`, the same at every router with the same view.
///
/// Three routers that lost the platform while the others reach it would keep the whole fleet
/// at an old configuration: changes are accepted and come into force nowhere. So those to
/// whom the platform answers, by their own word, go first; where it answers nobody, all rank
/// alike, and the same few go on trying.
///
/// Each waiting watch counts as a call to the platform, so not everyone may watch. One that
/// is suspect or leaving is replaced at once: a second watch too many does no harm. A
/// router that sees nobody else watches by itself.
///
/// # Examples
///
/// ```
/// use policy::head::watchers;
///
/// assert!(watchers(&[], "config", 3).is_empty());
/// ```
pub fn watchers(members: &[Member], key: &str, k: usize) -> Vec<RouterId> {
    let able = members.iter().filter(|m| m.takes_work());
    rendezvous::top_near(key, able, k, |m| m.id.as_str(), |m| !m.no_platform)
        .into_iter()
        .map(|m| m.id.clone())
        .collect()
}
