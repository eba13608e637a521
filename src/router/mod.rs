//! One router: its tables, workers and their wiring.

use crate::{
    conf::Settings,
    errors::Error, //
};

/// Runs a router until it is told to end.
pub(crate) fn run(mut settings: Settings) -> Result<(), Error> {
    let listeners = settings.bind()?;
    log::info!("router: {} is up: {listeners:?}", settings.name);
    Ok(())
}
