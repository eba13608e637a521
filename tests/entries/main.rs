//! Entries of other writers in the store: names and values of any text, and lists in pages.

mod fleet;
mod fuzz;
#[allow(dead_code, reason = "the soak uses the rest")]
#[path = "../common/http.rs"]
mod http;
mod lists;
mod pages;
mod replicas;
#[path = "../common/settings.rs"]
mod settings;
#[allow(dead_code, reason = "the soak uses the rest")]
#[path = "../common/store.rs"]
mod store;
