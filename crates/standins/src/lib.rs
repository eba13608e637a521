//! Small stand-ins for the platform, model engines and plain services, with faults on request.

pub mod platform;
