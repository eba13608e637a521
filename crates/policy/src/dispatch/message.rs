//! What routers tell each other about shares and capacity.

use serde::{
    Deserialize,
    Serialize, //
};

/// A message between two routers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Nothing but a sign of life.
    Hello,
}
