//! Gateway processes while entries of other writers stand in the store.

mod fleet;
#[path = "../common/gateway.rs"]
mod gateway;
#[allow(dead_code, reason = "the soak uses the rest")]
#[path = "../common/http.rs"]
mod http;
#[allow(dead_code, reason = "the tests of the store's client use the rest")]
#[path = "../common/replicas.rs"]
mod replicas;
#[path = "../common/settings.rs"]
mod settings;
#[allow(dead_code, reason = "the soak uses the rest")]
#[path = "../common/store.rs"]
mod store;
