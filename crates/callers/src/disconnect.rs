//! The signal that a caller hung up.

use {
    async_std::channel::{
        bounded,
        Receiver,
        Sender, //
    },
    std::sync::Arc, //
};

/// Tells a request's handler that nobody waits for the answer any more.
///
/// It fires at most once: when the caller closed its side of the connection, the connection
/// broke, or it was cut because the caller did not read. It does not fire when the request
/// ends otherwise.
#[derive(Debug, Clone)]
pub struct DisconnectSignal(Arc<Inner>);

#[derive(Debug)]
struct Inner {
    sender: Sender<()>,
    receiver: Receiver<()>,
}

impl DisconnectSignal {
    /// Makes a signal that has not fired.
    pub fn new() -> DisconnectSignal {
        let (sender, receiver) = bounded(1);
        DisconnectSignal(Arc::new(Inner { sender, receiver }))
    }

    /// Waits until the caller hangs up.
    pub async fn wait(&self) {
        // Nothing is ever sent, so this ends only when the channel is closed.
        let _ = self.0.receiver.recv().await;
    }

    /// Returns whether the caller has hung up.
    pub fn has_fired(&self) -> bool {
        self.0.sender.is_closed()
    }

    /// Wakes all that wait. A test or another entry to the router may call it too.
    pub fn fire(&self) {
        self.0.sender.close();
    }
}

impl Default for DisconnectSignal {
    fn default() -> DisconnectSignal {
        DisconnectSignal::new()
    }
}
