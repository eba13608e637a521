//! A lease whose holder knows when it has ended.

use {
    super::{
        error::KvError,
        kv::Kv,
        types::{
            KeyRevision,
            LeaseId, //
        },
    },
    policy::{
        Span,
        Time, //
    },
    thiserror::Error, //
};

/// A lease on the platform, from its holder's point of view.
///
/// For its holder it ends a margin earlier than it can end for the platform: the deadline counts from
/// before the platform was called.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Lease {
    id: LeaseId,
    ttl: Span,
    margin: Span,
    deadline: Time,
}

/// A key that a lease holds, and its fencing number.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Claim {
    /// Higher for each later holder; endpoints that check orders compare it.
    pub fence: KeyRevision,
}

/// Why a lease can't be used.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum LeaseError {
    /// The lease has ended, or ends before the work could be done.
    #[error("lease {id} has {left} left and {need} are needed; renew it, or claim its key again")]
    Short {
        /// The lease.
        id: LeaseId,
        /// Time left.
        left: Span,
        /// Time needed.
        need: Span,
    },
    /// Another holds the key.
    #[error("the key is held by `{0}`; wait until it is free")]
    Held(String),
    /// The platform did not execute the call.
    #[error(transparent)]
    Kv(#[from] KvError),
}

impl Lease {
    /// Asks for a lease; `margin` is how long before its end the holder stops.
    ///
    /// # Errors
    ///
    /// As for [`Kv::put`]. After [`KvError::Unknown`] ask again: the lost one ends by itself.
    pub async fn grant(
        kv: &Kv,
        ttl: Span,
        margin: Span,
        clock: impl Fn() -> Time,
    ) -> Result<Lease, KvError> {
        let sent = clock();
        let id = kv.grant(ttl).await?;
        Ok(Lease {
            id,
            ttl,
            margin,
            deadline: sent + ttl,
        })
    }

    /// Returns the lease's number.
    pub fn id(&self) -> LeaseId {
        self.id
    }

    /// Renews the lease for `ttl` from now.
    ///
    /// # Errors
    ///
    /// As for [`Kv::put`]; the deadline then stays as it was.
    pub async fn renew(&mut self, kv: &Kv, clock: impl Fn() -> Time) -> Result<(), KvError> {
        // A paused holder can wake up after its lease lapsed and act on it. It shows as two
        // orders from two holders. The check holds because the deadline counts from the
        // monotonic clock before the platform was asked, so it is never later than the
        // platform's own, and a lost answer leaves it where it was.
        let sent = clock();
        kv.renew(self.id).await?;
        self.deadline = sent + self.ttl;
        Ok(())
    }

    /// Ends the lease; its keys go with it.
    ///
    /// # Errors
    ///
    /// As for [`Kv::put`].
    pub async fn revoke(self, kv: &Kv) -> Result<(), KvError> {
        kv.revoke(self.id).await
    }

    /// Returns how long the lease may still be acted on, or none where it may not.
    pub fn valid_for(&self, now: Time) -> Option<Span> {
        let left = self.deadline.since(now + self.margin);
        (left > Span::ZERO).then_some(left)
    }

    /// Checks right before each use that the lease lasts for work of length `need`.
    ///
    /// # Errors
    ///
    /// [`LeaseError::Short`] where it does not.
    pub fn check(&self, now: Time, need: Span) -> Result<(), LeaseError> {
        let left = self.valid_for(now).unwrap_or(Span::ZERO);
        if left > Span::ZERO && left >= need {
            return Ok(());
        }
        Err(LeaseError::Short {
            id: self.id,
            left,
            need,
        })
    }

    /// Takes a key that nobody holds, for as long as the lease lasts.
    ///
    /// # Errors
    ///
    /// [`LeaseError::Held`] where another holds it; else what the platform said.
    pub async fn claim(&self, kv: &Kv, key: &str, holder: &str) -> Result<Claim, LeaseError> {
        let value = format!("{holder}/{}", self.id);
        let put = kv.put(key, value.as_str().into(), KeyRevision::NONE, Some(self.id));
        match put.await {
            Ok(fence) => Ok(Claim { fence }),
            Err(KvError::Conflict { .. } | KvError::Unknown { .. }) => {
                self.settle(kv, key, &value).await
            }
            Err(e) => Err(e.into()),
        }
    }

    /// Finds out by reading whether the key is held by this lease.
    async fn settle(&self, kv: &Kv, key: &str, value: &str) -> Result<Claim, LeaseError> {
        match kv.get(key).await? {
            Some(e) if &*e.value == value => Ok(Claim { fence: e.revision }),
            Some(e) => Err(LeaseError::Held(e.value.to_string())),
            None => Err(LeaseError::Kv(KvError::Unknown {
                cause: "the key is free, the write may still come".to_owned(),
            })),
        }
    }
}
