//! The cases, each a function that returns the breaches of its rule.

pub mod head_answers;
pub mod long_keep_alive;
pub mod regions;
pub mod slow_readers;
pub mod tenant_name;
