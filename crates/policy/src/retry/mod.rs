//! The retry budget.

mod budget;

pub use self::budget::{
    Budget,
    BudgetLimits, //
};
