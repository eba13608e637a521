//! What callers may ask of a router before it turns them away.

use {
    super::bytes::Bytes,
    operators::{
        integer,
        span,
        Section, //
    },
    policy::Span,
    toml::de::DeValue, //
};

/// Most connections that may be allowed.
const CONNECTIONS_MAX: u64 = 100_000;
/// Largest head or body that may be allowed.
const BYTES_MAX: Bytes = Bytes(64 << 20);

/// What callers may ask of a router before it turns them away.
#[derive(Debug, Clone, PartialEq)]
pub struct Limits {
    /// Largest head of a request.
    pub head: Bytes,
    /// Largest body of a request.
    pub body: Bytes,
    /// Time within which the whole head must arrive.
    pub head_time: Span,
    /// Time within which the whole body must arrive.
    pub body_time: Span,
    /// Time after which an answer that the caller doesn't read is given up.
    pub write_time: Span,
    /// Time after which a connection without a request is closed.
    pub idle_time: Span,
    /// Connections of callers open at once.
    pub connections: u32,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            head: Bytes(16 << 10),
            body: Bytes(4 << 20),
            head_time: Span::secs(10),
            body_time: Span::secs(30),
            write_time: Span::secs(30),
            idle_time: Span::secs(75),
            connections: 4_000,
        }
    }
}

impl Limits {
    pub(crate) fn read(mut s: Section<'_>) -> Limits {
        let d = Limits::default();
        let limits = Limits {
            head: s.take_or("head", d.head, bytes),
            body: s.take_or("body", d.body, bytes),
            head_time: s.take_or("head-time", d.head_time, span),
            body_time: s.take_or("body-time", d.body_time, span),
            write_time: s.take_or("write-time", d.write_time, span),
            idle_time: s.take_or("idle-time", d.idle_time, span),
            connections: s.take_or(
                "connections",
                d.connections.into(),
                integer(1..=CONNECTIONS_MAX),
            ) as u32,
        };
        s.finish();
        limits
    }
}

fn bytes(v: &DeValue<'_>) -> Result<Bytes, String> {
    let remedy = match v {
        DeValue::Integer(n) => format!("add a unit, in quotes: `\"{n}KiB\"` or `\"{n}B\"`"),
        _ => "write a whole number and a unit: `\"512B\"`, `\"16KiB\"` or `\"8MiB\"`".to_owned(),
    };
    let size: Bytes = v.as_str().and_then(|s| s.parse().ok()).ok_or(remedy)?;
    if size.0 == 0 || size > BYTES_MAX {
        return Err(format!(
            "give a size above 0 and of at most `\"{BYTES_MAX}\"`"
        ));
    }
    Ok(size)
}
