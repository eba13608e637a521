//! The key-value service's data: keys with revisions, and leases.

use {
    serde::Serialize,
    std::{
        collections::{
            BTreeMap,
            HashMap, //
        },
        sync::Arc,
        time::{
            Duration,
            Instant, //
        },
    },
};

/// Largest accepted value, in bytes.
pub(crate) const VALUE_MAX: usize = 1 << 20;

/// All keys and leases; a clone of it is a snapshot.
#[derive(Debug, Clone, Default)]
pub(crate) struct Kv {
    revision: u64,
    keys: BTreeMap<String, Stored>,
    leases: HashMap<u64, Lease>,
    last_lease: u64,
}

/// A value and the global revision at which it was written.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct Stored {
    pub(crate) revision: u64,
    pub(crate) value: Arc<str>,
    #[serde(skip)]
    lease: Option<u64>,
}

#[derive(Debug, Clone)]
struct Lease {
    ttl: Duration,
    until: Instant,
}

/// Why a write was not done.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Refused {
    /// The key is at another revision (0: it does not exist).
    Conflict(u64),
    /// The value is too large.
    TooLarge,
    /// The lease does not exist or has expired.
    NoLease,
}

impl Kv {
    pub(crate) fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the keys that begin with `prefix`.
    pub(crate) fn keys(&self, prefix: &str) -> Vec<String> {
        let from = self.keys.range(prefix.to_owned()..);
        let some = from.map(|(k, _)| k).take_while(|k| k.starts_with(prefix));
        some.cloned().collect()
    }

    pub(crate) fn get(&self, key: &str) -> Option<&Stored> {
        self.keys.get(key)
    }

    /// Writes a value if the key is at revision `cas`, or at any revision if `cas` is none.
    pub(crate) fn put(
        &mut self,
        key: &str,
        value: String,
        cas: Option<u64>,
        lease: Option<u64>,
    ) -> Result<u64, Refused> {
        if value.len() > VALUE_MAX {
            return Err(Refused::TooLarge);
        }
        self.check(key, cas)?;
        if lease.is_some_and(|id| !self.leases.contains_key(&id)) {
            return Err(Refused::NoLease);
        }
        self.revision += 1;
        let stored = Stored {
            revision: self.revision,
            value: value.into(),
            lease,
        };
        self.keys.insert(key.to_owned(), stored);
        Ok(self.revision)
    }

    /// Removes a key that is at revision `cas`.
    pub(crate) fn delete(&mut self, key: &str, cas: Option<u64>) -> Result<u64, Refused> {
        self.check(key, cas)?;
        if self.keys.remove(key).is_some() {
            self.revision += 1;
        }
        Ok(self.revision)
    }

    fn check(&self, key: &str, cas: Option<u64>) -> Result<(), Refused> {
        let current = self.keys.get(key).map_or(0, |s| s.revision);
        match cas {
            Some(cas) if cas != current => Err(Refused::Conflict(current)),
            _ => Ok(()),
        }
    }

    pub(crate) fn grant(&mut self, ttl: Duration, now: Instant) -> u64 {
        self.last_lease += 1;
        let until = now + ttl;
        self.leases.insert(self.last_lease, Lease { ttl, until });
        self.last_lease
    }

    pub(crate) fn renew(&mut self, id: u64, now: Instant) -> Result<Duration, Refused> {
        let lease = self.leases.get_mut(&id).ok_or(Refused::NoLease)?;
        lease.until = now + lease.ttl;
        Ok(lease.ttl)
    }

    pub(crate) fn revoke(&mut self, id: u64) -> Result<(), Refused> {
        self.leases.remove(&id).ok_or(Refused::NoLease)?;
        self.drop_keys();
        Ok(())
    }

    /// Ends the leases that have expired, and returns whether there were any.
    pub(crate) fn expire(&mut self, now: Instant) -> bool {
        let before = self.leases.len();
        self.leases.retain(|_, l| l.until > now);
        let ended = self.leases.len() < before;
        if ended {
            self.drop_keys();
        }
        ended
    }

    /// Ends all leases, as if they had expired.
    pub(crate) fn expire_all(&mut self) {
        self.leases.clear();
        self.drop_keys();
    }

    fn drop_keys(&mut self) {
        let leases = &self.leases;
        let before = self.keys.len();
        self.keys
            .retain(|_, s| s.lease.is_none_or(|id| leases.contains_key(&id)));
        if self.keys.len() < before {
            self.revision += 1;
        }
    }
}
