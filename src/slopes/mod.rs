//! How the cost of each role of a router grows: the figures of docs/CAPACITY.md.
//!
//! Each role's pure state is driven at growing sizes, with the messages it would really
//! send, and the time, memory and bytes it takes are printed as slopes.

mod config;
mod dispatch;
mod fit;
mod lists;
mod members;
mod memory;
mod model;
mod plot;
mod series;
mod show;
mod tickets;

pub(crate) use self::{
    fit::fit,
    series::Point, //
};

use {
    self::{
        plot::plot,
        series::Series,
        show::{
            show_json,
            show_table, //
        },
    },
    crate::errors::Error,
    std::path::Path, //
};

/// Measures all slopes, prints them, and writes their plots into a folder.
pub(crate) fn run(plots: Option<&Path>, json: bool) -> Result<(), Error> {
    let all = measure();
    if json {
        show_json(&all);
    } else {
        show_table(&all);
    }
    let Some(folder) = plots else {
        return Ok(());
    };
    for series in &all {
        plot(folder, series).map_err(|e| {
            Error::Failed(
                format!("the plot of {} can't be written: {e}", series.name),
                "give a folder that exists and can be written to".to_owned(),
            )
        })?;
    }
    Ok(())
}

fn measure() -> Vec<Series> {
    let mut all = Vec::new();
    all.extend(dispatch::memory());
    all.extend(members::memory());
    all.extend(config::memory());
    all.extend(lists::memory());
    all.extend(tickets::memory());
    all.extend(dispatch::measure());
    all.extend(members::measure());
    all.extend(config::measure());
    all.extend(lists::measure());
    all.extend(tickets::measure());
    all
}
