//! What a router tells operators: status, profiles and the dump of its state.

use {
    super::state::{
        lock,
        Router, //
    },
    operators::Views,
    serde::Serialize,
    std::sync::Arc, //
};
