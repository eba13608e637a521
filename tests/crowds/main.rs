//! Clients that stop midway, exceed the limits or don't read, before routers with little memory and
//! few descriptors.
//!
//! A test checks that the router's process lives, that its memory (with the bytes that it has not
//! read) and its descriptors stay within its settings, and that it answers an ordinary request
//! while the clients stay and after they left.

mod answers;
mod crowd;
#[path = "../common/gateway.rs"]
mod gateway;
#[allow(dead_code, reason = "the soak uses the rest")]
#[path = "../common/http.rs"]
mod http;
mod listeners;
mod own_interface;
mod process;
mod requests;
mod router;
#[path = "../common/settings.rs"]
mod settings;
#[allow(dead_code, reason = "the soak uses the rest")]
#[path = "../common/signal.rs"]
mod signal;
mod stop;
#[allow(dead_code, reason = "the soak uses the rest")]
#[path = "../common/store.rs"]
mod store;

use std::sync::{
    Mutex,
    MutexGuard,
    PoisonError, //
};

static SERIAL: Mutex<()> = Mutex::new(());

/// Lets one test run at a time. What a process takes in depends on what else the machine does.
fn serial() -> MutexGuard<'static, ()> {
    SERIAL.lock().unwrap_or_else(PoisonError::into_inner)
}
