//! Selection of the routers that watch the platform on behalf of the fleet.

use crate::{
    members::Member,
    rendezvous,
    RouterId, //
};

/// Number of routers that watch one key, so that the failure of one has no effect.
pub const WATCHER_COUNT: usize = 3;

/// Returns the `k` routers that watch `key`, the same at every router with the same view.
///
/// If three watchers lost the platform while the others reach it, the whole fleet would stay at
/// an old configuration: changes would be accepted and come into force nowhere. Routers that
/// report that they reach the platform are therefore preferred. If none does, all rank equally,
/// and the same few keep trying.
///
/// Each pending watch counts as a call to the platform, so not all routers may watch. A watcher
/// that is suspect or leaving is replaced at once, as an extra watch for a while does no harm. A
/// router that sees no others watches by itself.
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
