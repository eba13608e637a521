//! Printing the configuration that the platform holds.

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
    platform::{
        store::{
            join,
            read, //
        },
        Kv,
        Options, //
    },
    serde_json::json,
};

/// The name by which the platform counts this program's calls.
const CLIENT: &str = "chervilwind-config";

/// Prints the configuration, to be edited and applied.
pub(crate) async fn config(flags: &ConfigFlags) -> Result<(), Error> {
    let platform = platform_of(flags.platform, flags.settings.as_deref())?;
    let kv = Kv::new(Options::new(platform, CLIENT));
    let Some(config) = read(&kv, &[]).await? else {
        return Err(Error::Failed(
            "the platform holds no configuration".to_owned(),
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
