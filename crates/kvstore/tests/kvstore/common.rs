//! Starts the stand-in and clients for the tests.

use {
    kvstore::{
        store::{
            apply,
            Applied,
            ApplyError,
            Base,
            Change,
            Part,
            Revision, //
        },
        Kv,
        Options, //
    },
    policy::Span,
    standins::platform::{
        start,
        Handle, //
    },
    std::future::Future,
};

pub(crate) fn run<T>(test: impl Future<Output = T>) -> T {
    async_std::task::block_on(test)
}

pub(crate) async fn platform() -> Handle {
    start(Default::default()).await.expect("a free port")
}

/// A client that waits long enough for a busy machine.
pub(crate) fn client(platform: &Handle, name: &str) -> Kv {
    client_with(platform, name, Span::secs(20))
}

/// A client that gives up soon, for calls that get no answer.
pub(crate) fn hasty(platform: &Handle, name: &str) -> Kv {
    client_with(platform, name, Span::secs(1))
}

/// A client that gives up at once, for tests that bear with it when a machine is busy.
pub(crate) fn rash(platform: &Handle, name: &str) -> Kv {
    client_with(platform, name, Span::millis(300))
}

fn client_with(platform: &Handle, name: &str, answer: Span) -> Kv {
    let mut opts = Options::new(platform.addr, name);
    opts.connect = Span::secs(20);
    opts.answer = answer;
    Kv::new(opts)
}

pub(crate) async fn write(
    kv: &Kv,
    writer: &str,
    base: Base,
    floor: u64,
    text: &str,
) -> Result<Applied, ApplyError> {
    let change = Change {
        base,
        parts: vec![Part::new("fleet", text)],
        writer: writer.to_owned(),
        floor: Revision(floor),
    };
    apply(kv, change).await
}
