//! Measuring a fleet from outside: the fairness gap and the answers of requests.

mod answer;
mod gap;
mod points;
mod quantile;
#[cfg(test)]
mod tests;

pub(crate) use self::{
    answer::text_of,
    gap::{
        Gap,
        Point, //
    },
    points::{
        points,
        Used, //
    },
    quantile::Quantiles,
};
