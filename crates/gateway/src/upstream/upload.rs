//! Writes a request while its answer is read.

use {
    crate::http::Writer,
    futures_lite::future::{
        or,
        pending, //
    },
    resources::Segments,
    std::{
        future::Future,
        io::{
            self,
            IoSlice, //
        },
        sync::Arc, //
    },
};

/// Longest body that is sent together with its head. A longer one is not copied.
const JOIN_MAX_BYTES: usize = 64 * 1024;

/// A request that is being written.
///
/// A replica may answer before it has read the request, and read on while it answers.
#[derive(Debug)]
pub(super) struct Upload {
    writer: Writer,
    /// What is left of the head, and of the body if that is short.
    start: Vec<u8>,
    /// The body, if it is long.
    body: Option<Arc<Segments>>,
    /// Bytes of `body` that were written.
    written: usize,
    state: State,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Writing,
    Complete,
    /// The connection broke, or the replica reads no more.
    Failed,
}

impl Upload {
    pub(super) fn new(writer: Writer, head: Vec<u8>, body: &Arc<Segments>) -> Upload {
        let joined = body.len() <= JOIN_MAX_BYTES;
        let mut start = head;
        if joined {
            body.slices().for_each(|s| start.extend_from_slice(s));
        }
        Upload {
            writer,
            start,
            body: (!joined).then(|| body.clone()),
            written: 0,
            state: State::Writing,
        }
    }

    /// Returns whether the complete request was written.
    pub(super) fn is_complete(&self) -> bool {
        self.state == State::Complete
    }

    /// Runs `work` to its end, and writes the request meanwhile.
    ///
    /// Errors of writing are not reported: the answer of a replica that reads no more counts, and if
    /// the connection broke, reading the answer fails too.
    pub(super) async fn during<T>(&mut self, work: impl Future<Output = T>) -> T {
        if self.state != State::Writing {
            return work.await;
        }
        let write = async {
            self.state = match self.write().await {
                Ok(()) => State::Complete,
                Err(_) => State::Failed,
            };
            pending().await
        };
        or(work, write).await
    }

    /// Writes what is left.
    ///
    /// Cancel safe: if the future is dropped, the next one goes on where it stopped.
    async fn write(&mut self) -> io::Result<()> {
        while !self.start.is_empty() {
            let n = self.writer.write(&self.start).await?;
            self.start.drain(..n);
        }
        self.start = Vec::new();
        let Some(body) = &self.body else {
            return Ok(());
        };
        let mut slices: Vec<IoSlice<'_>> = body.io_slices().collect();
        let mut left = &mut slices[..];
        IoSlice::advance_slices(&mut left, self.written);
        while !left.is_empty() {
            let n = self.writer.write_vectored(left).await?;
            self.written += n;
            IoSlice::advance_slices(&mut left, n);
        }
        Ok(())
    }
}
