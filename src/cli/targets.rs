//! The addresses that a command works with, given one by one or by a settings file.

use {
    crate::{
        conf::Settings,
        errors::Error, //
    },
    std::{
        net::SocketAddr,
        path::Path, //
    },
};

/// Returns the platform's address.
pub(crate) fn platform_of(
    given: Option<SocketAddr>,
    settings: Option<&Path>,
) -> Result<SocketAddr, Error> {
    let from = read(settings)?.map(|s| s.platform);
    given.or(from).ok_or_else(|| {
        Error::Usage(
            "the platform's address is not given".to_owned(),
            "give --platform ADDRESS, or --settings FILE of a router".to_owned(),
        )
    })
}

/// Returns the operators' address of a router, where one is given.
pub(crate) fn router_of(
    given: Option<SocketAddr>,
    settings: Option<&Path>,
) -> Result<Option<SocketAddr>, Error> {
    let from = read(settings)?.map(|s| s.operators.advertise);
    Ok(given.or(from))
}

fn read(settings: Option<&Path>) -> Result<Option<Settings>, Error> {
    Ok(settings.map(Settings::from_file).transpose()?)
}
