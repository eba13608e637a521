//! Gateway processes.

use std::{
    fmt::Display,
    fs,
    path::PathBuf,
    process::{
        Child,
        Command,
        Stdio, //
    },
};

/// Writes the settings of a gateway at an address, and starts it. No two tests use one address.
pub(crate) fn spawn_gateway(ip: impl Display, settings: &str) -> Child {
    let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("spawned-{ip}.toml"));
    fs::write(&file, settings).unwrap();
    let child = Command::new(env!("CARGO_BIN_EXE_chervilwind"))
        .args(["gateway", "--settings"])
        .arg(&file)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .spawn();
    child.unwrap()
}
