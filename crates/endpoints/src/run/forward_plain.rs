//! Forwards the body of a plain answer as it arrives.

use {
    super::CallTask,
    crate::{
        body::Reply,
        CallError,
        End,
        Event, //
    },
};

impl CallTask {
    pub(super) async fn forward_plain(&mut self, mut reply: Reply) -> Result<End, CallError> {
        self.send_head(&reply).await?;
        while let Some(bytes) = self.wait(reply.read_next()).await? {
            self.send_event(Event::Data { bytes, tokens: 0 }).await?;
        }
        let status = reply.status;
        if let Some(conn) = reply.into_reusable() {
            self.inner.pool.put(conn);
        }
        let failed = (status >= 500).then_some(CallError::Status(status));
        Ok(self.progress.end(failed))
    }
}
