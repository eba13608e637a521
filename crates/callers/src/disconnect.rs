//! The signal that a caller disconnected.

use {
    async_std::channel::{
        bounded,
        Receiver,
        Sender, //
    },
    std::sync::Arc, //
};

/// Notifies the handler of a request that its caller has disconnected.
///
/// It fires at most once: when the caller closes its side of the connection, the connection
/// fails, or the router closes it because the caller does not read. It does not fire when the
/// request ends otherwise.
#[derive(Debug, Clone)]
pub struct DisconnectSignal(Arc<Inner>);

#[derive(Debug)]
struct Inner {
    sender: Sender<()>,
    receiver: Receiver<()>,
}

impl DisconnectSignal {
    /// Creates a signal that has not fired.
    pub fn new() -> DisconnectSignal {
        let (sender, receiver) = bounded(1);
        DisconnectSignal(Arc::new(Inner { sender, receiver }))
    }

    /// Waits until the signal fires.
    pub async fn wait(&self) {
        // Nothing is ever sent, so this returns only when the channel is closed.
        let _ = self.0.receiver.recv().await;
    }

    /// Returns whether the signal has fired.
    pub fn has_fired(&self) -> bool {
        self.0.sender.is_closed()
    }

    /// Fires the signal and wakes all waiters. Tests and other entry points may call it too.
    pub fn fire(&self) {
        self.0.sender.close();
    }
}

impl Default for DisconnectSignal {
    fn default() -> DisconnectSignal {
        DisconnectSignal::new()
    }
}
