//! Tests of gateways on loopback, with replicas that fail on request.

mod answers;
mod broken_answers;
mod caller;
mod endless;
mod evacuation;
mod fleet;
mod harness;
mod head_requests;
mod leaving;
mod notices;
mod once;
mod quarantine;
mod quarantine_parts;
mod replacements;
mod replica;
mod requests;
mod resume;
mod speeds;
mod standby;
mod store_restore;
mod streams;
mod versions;
mod warmup;
