//! A text that is generated whether or not it has a listener.

use {
    super::{
        batch::Batch,
        server::Opts,
        text::{
            seed,
            tokens_asked, //
        },
    },
    async_std::{
        channel::{
            bounded,
            Receiver,
            Sender, //
        },
        task::sleep,
    },
    std::{
        sync::{
            Arc,
            Mutex, //
        },
        time::{
            Duration,
            Instant, //
        },
    },
};

/// A text that is being generated.
#[derive(Debug)]
pub(crate) struct Generation {
    pub(crate) id: String,
    pub(crate) seed: u64,
    pub(crate) of: u32,
    progress: Mutex<Progress>,
}

#[derive(Debug)]
struct Progress {
    made: u32,
    stopped: bool,
    listener: Option<Sender<()>>,
    alone: Option<Instant>,
}

impl Generation {
    pub(crate) fn new(id: &str, body: &[u8]) -> Generation {
        Generation {
            id: id.to_owned(),
            seed: seed(body),
            of: tokens_asked(body),
            progress: Mutex::new(Progress {
                made: 0,
                stopped: false,
                listener: None,
                alone: Some(Instant::now()),
            }),
        }
    }

    /// Replaces the listener; an earlier one receives nothing more.
    pub(crate) fn listen(&self) -> Receiver<()> {
        let (tx, rx) = bounded(1);
        let mut progress = self.progress.lock().unwrap();
        let _ = tx.try_send(());
        progress.listener = Some(tx);
        progress.alone = None;
        rx
    }

    /// Removes the listener that `rx` belongs to.
    pub(crate) fn leave(&self, rx: &Receiver<()>) {
        let mut progress = self.progress.lock().unwrap();
        if rx.is_closed() {
            return;
        }
        progress.listener = None;
        progress.alone = Some(Instant::now());
    }

    /// Stops the generation.
    pub(crate) fn stop(&self) {
        let mut progress = self.progress.lock().unwrap();
        progress.stopped = true;
        progress.listener = None;
    }

    /// Returns how many tokens there are, and whether it was stopped before the end.
    pub(crate) fn state(&self) -> (u32, bool) {
        let progress = self.progress.lock().unwrap();
        (progress.made, progress.stopped)
    }

    /// Generates the text token by token, at the speed that the batch allows.
    ///
    /// The batch has counted it as running before.
    pub(crate) async fn produce(&self, opts: &Opts, batch: &Arc<Mutex<Batch>>) {
        let mut made = 0;
        while made < self.of {
            let base = if made == 0 { opts.first } else { opts.gap };
            let stretch = batch.lock().unwrap().stretch();
            sleep(base.mul_f64(stretch)).await;
            if !self.advance(opts.linger) {
                break;
            }
            batch.lock().unwrap().token(made == 0);
            made += 1;
        }
        batch.lock().unwrap().exit(made > 0);
    }

    /// Adds a token and wakes the listener. Returns false if the text ends early.
    fn advance(&self, linger: Duration) -> bool {
        let mut progress = self.progress.lock().unwrap();
        if progress.alone.is_some_and(|since| since.elapsed() > linger) {
            progress.stopped = true;
        }
        if progress.stopped {
            return false;
        }
        progress.made += 1;
        if let Some(tx) = &progress.listener {
            let _ = tx.try_send(());
        }
        true
    }
}
