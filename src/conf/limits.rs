//! What callers and peers may ask of a router before it turns them away.

use {
    callers::Limits,
    operators::{
        integer,
        span,
        Section, //
    },
    peers::PeerLimits,
    resources::Bytes,
    std::time::Duration,
    toml::de::DeValue, //
};

/// Largest head that the HTTP library takes.
const HEAD_MAX: Bytes = Bytes(8 * 1024 - 1);
/// Largest body that may be allowed.
const BODY_MAX: Bytes = Bytes(64 << 20);
/// Most memory for requests that may be allowed.
const MEMORY_MAX: Bytes = Bytes(16 << 30);
/// Least memory for peers that may be allowed: that of some long frames.
const PEER_MEMORY_MIN: Bytes = Bytes(4 << 20);
/// Most connections that may be allowed.
const CONNECTIONS_MAX: u64 = 100_000;
/// Default size limit of a head.
const HEAD: Bytes = Bytes(7 << 10);

/// Returns the default limits.
pub(crate) fn default_limits() -> Limits {
    Limits {
        head_bytes: HEAD.0 as usize,
        ..Limits::default()
    }
}

/// Reads the section `[limits]`.
pub(crate) fn read_limits(mut s: Section<'_>) -> (Limits, PeerLimits) {
    let d = default_limits();
    let head_bytes = size(&mut s, "head", d.head_bytes, HEAD_MAX);
    let body_bytes = size(&mut s, "body", d.body_bytes, BODY_MAX);
    let memory_bytes = d.memory_bytes.max(2 * body_bytes);
    let limits = Limits {
        head_bytes,
        body_bytes,
        memory_bytes: size(&mut s, "memory", memory_bytes, MEMORY_MAX),
        head_timeout: time(&mut s, "head-time", d.head_timeout),
        body_timeout: time(&mut s, "body-time", d.body_timeout),
        idle_timeout: time(&mut s, "idle", d.idle_timeout),
        stall_timeout: time(&mut s, "stall", d.stall_timeout),
        max_connections: count(&mut s, "connections", d.max_connections),
        max_connections_per_ip: count(&mut s, "per-address", d.max_connections_per_ip),
        ..d
    };
    // Three quarters of the memory are for long requests.
    if limits.memory_bytes / 4 * 3 < limits.body_bytes {
        s.wrong_at(
            "memory",
            "has `memory` for less than one body of the length that `body` allows",
            "give `memory` at least twice as much as `body`",
        );
    }
    let d = PeerLimits::default();
    let peer_limits = PeerLimits {
        max_connections: count(&mut s, "peer-connections", d.max_connections),
        memory: Bytes(size(&mut s, "peer-memory", d.memory.length(), MEMORY_MAX) as u64),
    };
    if peer_limits.memory < PEER_MEMORY_MIN {
        s.wrong_at(
            "peer-memory",
            &format!("has `peer-memory` of {}", peer_limits.memory),
            &format!("give at least `\"{PEER_MEMORY_MIN}\"`"),
        );
    }
    s.finish();
    (limits, peer_limits)
}

fn size(s: &mut Section<'_>, key: &'static str, default: usize, max: Bytes) -> usize {
    let size = s.take_or(key, Bytes(default as u64), |v| bytes(v, max));
    size.0 as usize
}

fn time(s: &mut Section<'_>, key: &'static str, default: Duration) -> Duration {
    s.take_or(key, default.into(), span).into()
}

fn count(s: &mut Section<'_>, key: &'static str, default: usize) -> usize {
    s.take_or(key, default as u64, integer(1..=CONNECTIONS_MAX)) as usize
}

fn bytes(v: &DeValue<'_>, max: Bytes) -> Result<Bytes, String> {
    let remedy = match v {
        DeValue::Integer(n) => format!("add a unit, in quotes: `\"{n}KiB\"` or `\"{n}B\"`"),
        _ => "write a whole number and a unit: `\"512B\"`, `\"7KiB\"` or `\"8MiB\"`".to_owned(),
    };
    let size: Bytes = v.as_str().and_then(|s| s.parse().ok()).ok_or(remedy)?;
    if size.0 == 0 || size > max {
        return Err(format!("give a size above 0 and of at most `\"{max}\"`"));
    }
    Ok(size)
}
