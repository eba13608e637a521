//! Between routers: messages, streams and heartbeats.
