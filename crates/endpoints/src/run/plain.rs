//! The body of a plain answer, passed on as it comes.

use {
    super::Run,
    crate::{
        body::Reply,
        CallError,
        End,
        Event, //
    },
};

impl Run {
    pub(super) async fn plain(&mut self, mut reply: Reply) -> Result<End, CallError> {
        self.pass_head(&reply).await?;
        while let Some(bytes) = self.wait(reply.piece()).await? {
            self.pass(Event::Data { bytes, tokens: 0 }).await?;
        }
        let status = reply.status;
        if let Some(conn) = reply.release() {
            self.inner.kept.put(conn);
        }
        let failed = (status >= 500).then_some(CallError::Status(status));
        Ok(self.state.end(failed))
    }
}
