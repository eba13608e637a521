//! The platform's key-value service and its list of instances.
