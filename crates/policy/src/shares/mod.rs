//! Fair-share accounting: the service that each workspace has received across the fleet.

mod account;
mod bound;
mod gossip;
mod key;
mod ledger;
mod table;
#[cfg(test)]
mod tests;
mod usage_updates;

pub(crate) use self::{
    account::Account,
    key::{
        Key,
        Writer, //
    },
    ledger::{
        Ledger,
        MILLI, //
    },
    table::ShareTable,
};
pub use self::{
    bound::{
        gap_bound,
        GapTerms, //
    },
    usage_updates::UsageUpdates, //
};
