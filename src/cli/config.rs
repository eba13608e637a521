//! Printing the configuration that the platform holds, or a router has in force.

use {
    super::{
        base_line::BaseLine,
        flags::Config as ConfigFlags,
        print::{
            line,
            put, //
        },
        targets::platform_of, //
    },
    crate::errors::Error,
    kvstore::{
        store::{
            join,
            read,
            Config, //
        },
        Kv,
        Options, //
    },
    operators::{
        query,
        read_view, //
    },
    serde_json::json,
    std::net::SocketAddr,
};

/// The name by which the platform counts this program's calls.
const CLIENT: &str = "chervilwind-config";

/// Prints the configuration, to be edited and applied.
pub(crate) async fn config(flags: &ConfigFlags) -> Result<(), Error> {
    let found = match flags.router {
        Some(router) => in_force(router).await?,
        None => on_platform(flags).await?,
    };
    let Some(config) = found else {
        return Err(Error::Failed(
            "there is no configuration".to_owned(),
            "write one with `chervilwind apply`; `chervilwind defaults fleet` prints an example"
                .to_owned(),
        ));
    };
    let base = BaseLine::of(&config);
    let text = join(&config.parts);
    if flags.json {
        let json = json!({
            "revision": config.revision,
            "write": config.write,
            "writer": config.writer,
            "text": text,
        });
        line(json)
    } else {
        line(base)?;
        put(text.as_bytes())
    }
}

/// Asks a router, which knows the latest also while the platform is down or was restored.
async fn in_force(router: SocketAddr) -> Result<Option<Config>, Error> {
    let body = query(router, "/config").await?;
    Ok(read_view(router, &body)?)
}

async fn on_platform(flags: &ConfigFlags) -> Result<Option<Config>, Error> {
    let platform = platform_of(flags.platform, flags.settings.as_deref())?;
    let kv = Kv::new(Options::new(platform, CLIENT));
    Ok(read(&kv, &[]).await?)
}
