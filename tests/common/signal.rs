//! Signals to processes that a test started.

use std::process::{
    Child,
    Command, //
};

/// A signal.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Signal {
    Term,
    Stop,
    Cont,
}

impl Signal {
    /// Sends the signal to a process.
    pub(crate) fn send(self, child: &Child) {
        let name = match self {
            Signal::Term => "-TERM",
            Signal::Stop => "-STOP",
            Signal::Cont => "-CONT",
        };
        let id = child.id().to_string();
        let sent = Command::new("kill").args([name, &id]).status().unwrap();
        assert!(sent.success());
    }
}
