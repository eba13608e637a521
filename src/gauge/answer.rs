//! Reading a streamed answer.

/// Returns the text that a stream of chat-completion events carries.
pub(crate) fn text_of(stream: &[u8]) -> String {
    let stream = String::from_utf8_lossy(stream);
    let data = stream.lines().filter_map(|l| l.strip_prefix("data: "));
    let pieces = data.filter_map(|d| {
        let chunk: serde_json::Value = serde_json::from_str(d).ok()?;
        let text = chunk["choices"][0]["delta"]["content"].as_str()?;
        Some(text.to_owned())
    });
    pieces.collect()
}
