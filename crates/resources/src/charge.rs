//! Memory that is counted.

use {
    crate::{
        account::Account,
        limiter::Limiter, //
    },
    std::mem,
};

/// Memory that counts toward a limiter until this is dropped.
#[derive(Debug)]
pub struct Charge {
    limiter: Limiter,
    /// The connection that holds the memory, if it may be evicted for it.
    account: Option<Account>,
    bytes: usize,
}

impl Charge {
    pub(crate) fn new(limiter: Limiter, account: Option<Account>) -> Charge {
        Charge {
            limiter,
            account,
            bytes: 0,
        }
    }

    /// Returns the limiter that it counts toward.
    pub fn limiter(&self) -> &Limiter {
        &self.limiter
    }

    /// Returns the bytes that are counted.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Counts this many bytes instead, whether there is room or not.
    pub fn resize(&mut self, bytes: usize) {
        let before = mem::replace(&mut self.bytes, bytes);
        if before != bytes {
            let key = self.account.as_ref().map(Account::key);
            self.limiter.recount(key, before, bytes);
        }
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.resize(0);
    }
}
