//! Which few routers watch the platform for the others.

use crate::{
    members::Member,
    rendezvous,
    RouterId, //
};

/// How many routers watch one key, so that one may fail unnoticed.
pub const WATCHERS: usize = 3;

/// Returns the `k` routers that watch `key`, the same at every router with the same view.
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
    rendezvous::top(key, able, k, |m| m.id.as_str())
        .into_iter()
        .map(|m| m.id.clone())
        .collect()
}
