//! How many retries may be spent.

mod budget;

pub use self::budget::{
    Budget,
    BudgetLimits, //
};
