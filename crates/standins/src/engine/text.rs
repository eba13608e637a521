//! The text for a request, which depends on its content only.

use {
    serde_json::{
        json,
        Value, //
    },
    xxhash_rust::xxh3::xxh3_64,
};

/// Number of tokens if a request has no `max_tokens`.
const TOKENS: u32 = 16;

/// Words that the text is made of.
const WORDS: [&str; 16] = [
    "the", "cover", "tide", "renewal", "claim", "dock", "grain", "seal", "audit", "notice",
    "berth", "draft", "policy", "record", "lot", "note",
];

/// Returns the number of tokens that a request asks for.
///
/// # Examples
///
/// ```
/// assert_eq!(standins::engine::tokens_asked(br#"{"max_tokens": 3}"#), 3);
/// ```
pub fn tokens_asked(body: &[u8]) -> u32 {
    let value: Value = serde_json::from_slice(body).unwrap_or_default();
    match value["max_tokens"].as_u64() {
        Some(n) => n.min(1 << 20) as u32,
        None => TOKENS,
    }
}

/// Returns the whole text that a request must get.
///
/// # Examples
///
/// ```
/// let body = br#"{"max_tokens": 2, "messages": [{"role": "user", "content": "draft it"}]}"#;
/// assert_eq!(standins::engine::expected(body).split_whitespace().count(), 2);
/// ```
pub fn expected(body: &[u8]) -> String {
    let seed = seed(body);
    (0..tokens_asked(body)).map(|n| token(seed, n)).collect()
}

/// Returns a hash of the content of a request.
pub(crate) fn seed(body: &[u8]) -> u64 {
    let value: Value = serde_json::from_slice(body).unwrap_or_default();
    xxh3_64(value["messages"].to_string().as_bytes())
}

/// Returns token number `n` of a text, with its leading space.
pub(crate) fn token(seed: u64, n: u32) -> String {
    let mut bytes = seed.to_le_bytes().to_vec();
    bytes.extend_from_slice(&n.to_le_bytes());
    let h = xxh3_64(&bytes);
    format!(" {}{:x}", WORDS[(h % 16) as usize], (h >> 8) & 0xff)
}

/// Returns the server-sent event that carries token number `n` of `of`.
pub(crate) fn event(id: &str, seed: u64, n: u32, of: u32) -> String {
    let end = if n + 1 == of {
        json!("length")
    } else {
        Value::Null
    };
    let chunk = json!({
        "id": id,
        "object": "chat.completion.chunk",
        "choices": [{
            "index": 0,
            "delta": {"content": token(seed, n)},
            "finish_reason": end,
        }],
    });
    format!("id: {n}\ndata: {chunk}\n\n")
}
