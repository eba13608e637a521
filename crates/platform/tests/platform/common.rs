//! Starts the stand-in and clients for the tests.

use {
    ::platform::{
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

/// A client whose timeouts are short, so that faults are seen soon.
pub(crate) fn client(platform: &Handle, name: &str) -> Kv {
    let mut opts = Options::new(platform.addr, name);
    opts.answer = Span::millis(300);
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
