//! How many calls each client made.

use {
    serde::{
        Deserialize,
        Serialize, //
    },
    std::collections::BTreeMap,
};

/// Calls of one kind by one client.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallCount {
    /// The client's name, or `-` if it sent none.
    pub client: String,
    /// The kind: `get`, `watch`, `put`, `delete`, `grant`, `renew`, `revoke` or `list`.
    pub kind: String,
    /// Number of calls, including those that a fault left unanswered.
    pub calls: u64,
}

/// Counts since the start, or since they were last set to zero.
#[derive(Debug, Default)]
pub(crate) struct Counts {
    calls: BTreeMap<(String, &'static str), u64>,
}

impl Counts {
    pub(crate) fn add(&mut self, client: &str, kind: &'static str) {
        *self.calls.entry((client.to_owned(), kind)).or_default() += 1;
    }

    pub(crate) fn list(&self) -> Vec<CallCount> {
        let row = |((client, kind), calls): (&(String, &'static str), &u64)| CallCount {
            client: client.clone(),
            kind: (*kind).to_owned(),
            calls: *calls,
        };
        self.calls.iter().map(row).collect()
    }

    pub(crate) fn clear(&mut self) {
        self.calls.clear();
    }
}
