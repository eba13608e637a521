//! Tasks that outlive a panic.

use {
    async_std::task,
    futures_lite::FutureExt,
    std::{
        future::Future,
        panic::AssertUnwindSafe,
        time::{
            Duration,
            Instant, //
        },
    },
};

/// Delay before a task that panicked is restarted. It doubles up to the longest one while the task
/// panics sooner than that, so that what the task calls first isn't called all the time.
const RESTART_DELAY: Duration = Duration::from_millis(100);
const RESTART_DELAY_MAX: Duration = Duration::from_millis(3_200);

/// Spawns a task and restarts it after a panic, which `on_panic` is to log.
///
/// A panic ends only the task, and the process would go on without what the task does.
///
/// # Examples
///
/// ```
/// use std::sync::atomic::{AtomicU32, Ordering};
///
/// static RUNS: AtomicU32 = AtomicU32::new(0);
/// let (done, ended) = async_std::channel::bounded(1);
/// gateway::supervise(
///     move || {
///         let done = done.clone();
///         async move {
///             let run = RUNS.fetch_add(1, Ordering::SeqCst);
///             assert!(run > 0, "the first run panics");
///             done.send(run).await.unwrap();
///         }
///     },
///     || eprintln!("it is restarted"),
/// );
/// assert_eq!(ended.recv_blocking(), Ok(1));
/// ```
pub fn supervise<F>(run: impl Fn() -> F + Send + 'static, on_panic: impl Fn() + Send + 'static)
where
    F: Future<Output = ()> + Send + 'static,
{
    task::spawn(async move {
        let mut delay = RESTART_DELAY;
        let mut begun = Instant::now();
        while AssertUnwindSafe(run()).catch_unwind().await.is_err() {
            on_panic();
            if begun.elapsed() > RESTART_DELAY_MAX {
                delay = RESTART_DELAY;
            }
            task::sleep(delay).await;
            delay = (delay * 2).min(RESTART_DELAY_MAX);
            begun = Instant::now();
        }
    });
}
