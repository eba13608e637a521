//! Rendezvous hashing: which member owns a key, computed without coordination.
//!
//! Each member gets a score for the key, and the highest score wins. When a member leaves, only the
//! keys that it owned move; when one joins, only the keys that it wins move. Every process that
//! knows the same members computes the same owner, without an election.

use {
    std::cmp::Reverse,
    xxhash_rust::xxh3::{
        xxh3_64,
        xxh3_64_with_seed, //
    },
};

/// Returns the score of a member for a key; the highest wins.
///
/// # Examples
///
/// ```
/// use policy::rendezvous;
///
/// assert_eq!(rendezvous::score("pool", "r1"), rendezvous::score("pool", "r1"));
/// assert_ne!(rendezvous::score("pool", "r1"), rendezvous::score("pool", "r2"));
/// ```
pub fn score(key: &str, member: &str) -> u64 {
    xxh3_64_with_seed(member.as_bytes(), xxh3_64(key.as_bytes()))
}

/// Returns the `k` members with the highest scores, best first.
///
/// `name` returns the text that a member is hashed by. Members with equal scores are ordered by
/// name, so the order of the input doesn't matter.
///
/// # Examples
///
/// ```
/// use policy::rendezvous;
///
/// let top = rendezvous::top("pool", ["a", "b", "c"], 2, |m| m);
/// assert_eq!(top.len(), 2);
/// assert_eq!(top, rendezvous::top("pool", ["c", "b", "a"], 2, |m| m));
/// ```
pub fn top<T, I, F>(key: &str, members: I, k: usize, name: F) -> Vec<T>
where
    I: IntoIterator<Item = T>,
    F: Fn(&T) -> &str,
{
    top_near(key, members, k, name, |_| true)
}

/// Returns the member with the highest score, if there is any member.
///
/// # Examples
///
/// ```
/// use policy::rendezvous;
///
/// let owner = rendezvous::best("pool", ["a", "b", "c"], |m| m).unwrap();
/// let rest: Vec<&str> = ["a", "b", "c"].into_iter().filter(|m| *m != owner).collect();
/// assert!(rendezvous::best("pool", rest, |m| m).is_some());
/// assert_eq!(rendezvous::best("pool", Vec::<&str>::new(), |m| m), None);
/// ```
pub fn best<T, I, F>(key: &str, members: I, name: F) -> Option<T>
where
    I: IntoIterator<Item = T>,
    F: Fn(&T) -> &str,
{
    best_near(key, members, name, |_| true)
}

/// Like [`top`], but all members that are `near` come before those that are not.
///
/// # Examples
///
/// ```
/// use policy::rendezvous;
///
/// let members = [("a", "hall-a"), ("b", "hall-b"), ("c", "hall-b")];
/// let top = rendezvous::top_near("pool", members, 3, |m| m.0, |m| m.1 == "hall-a");
/// assert_eq!(top[0].0, "a");
/// ```
pub fn top_near<T, I, F, N>(key: &str, members: I, k: usize, name: F, near: N) -> Vec<T>
where
    I: IntoIterator<Item = T>,
    F: Fn(&T) -> &str,
    N: Fn(&T) -> bool,
{
    let mut ranked = ranked(xxh3_64(key.as_bytes()), members, name, near);
    ranked.truncate(k);
    ranked
}

/// Returns all members, best first, for a key that is already a hash.
///
/// # Examples
///
/// ```
/// use policy::rendezvous;
///
/// let all = rendezvous::rank_by_hash(7, ["a", "b", "c"], |m| m);
/// assert_eq!(all, rendezvous::rank_by_hash(7, ["c", "b", "a"], |m| m));
/// ```
pub fn rank_by_hash<T, I, F>(hash: u64, members: I, name: F) -> Vec<T>
where
    I: IntoIterator<Item = T>,
    F: Fn(&T) -> &str,
{
    ranked(hash, members, name, |_| true)
}

fn ranked<T, I, F, N>(seed: u64, members: I, name: F, near: N) -> Vec<T>
where
    I: IntoIterator<Item = T>,
    F: Fn(&T) -> &str,
    N: Fn(&T) -> bool,
{
    let mut ranked: Vec<(bool, u64, T)> = members
        .into_iter()
        .map(|m| (near(&m), xxh3_64_with_seed(name(&m).as_bytes(), seed), m))
        .collect();
    ranked.sort_unstable_by(|a, b| {
        let rank = (b.0, b.1).cmp(&(a.0, a.1));
        rank.then_with(|| name(&a.2).cmp(name(&b.2)))
    });
    ranked.into_iter().map(|r| r.2).collect()
}

/// Like [`best`], but a member that is `near` wins over any that is not.
///
/// # Examples
///
/// ```
/// use policy::rendezvous;
///
/// let members = [("a", "hall-a"), ("b", "hall-b")];
/// let owner = rendezvous::best_near("pool", members, |m| m.0, |m| m.1 == "hall-b");
/// assert_eq!(owner.map(|m| m.0), Some("b"));
/// ```
pub fn best_near<T, I, F, N>(key: &str, members: I, name: F, near: N) -> Option<T>
where
    I: IntoIterator<Item = T>,
    F: Fn(&T) -> &str,
    N: Fn(&T) -> bool,
{
    let seed = xxh3_64(key.as_bytes());
    let mut best: Option<(bool, u64, T)> = None;
    for m in members {
        let rank = (near(&m), xxh3_64_with_seed(name(&m).as_bytes(), seed));
        let wins = match &best {
            None => true,
            Some(b) => (rank.0, rank.1, Reverse(name(&m))) > (b.0, b.1, Reverse(name(&b.2))),
        };
        if wins {
            best = Some((rank.0, rank.1, m));
        }
    }
    best.map(|b| b.2)
}
