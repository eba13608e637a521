//! The text of a streamed chat completion, piece by piece.

use serde::Deserialize;

/// Starts a line that carries an event's data.
const DATA: &str = "data:";

/// Takes the pieces of a stream of server-sent events and gives the text in them.
#[derive(Debug, Default)]
pub(crate) struct ChatText {
    /// The start of a line whose end has not come yet.
    line: Vec<u8>,
}

#[derive(Deserialize)]
struct Event {
    choices: Vec<Choice>,
}

#[derive(Deserialize)]
struct Choice {
    delta: Delta,
}

#[derive(Deserialize)]
struct Delta {
    content: Option<String>,
}

impl ChatText {
    /// Takes a piece and returns the text that it completes.
    pub(crate) fn take(&mut self, piece: &[u8]) -> String {
        let mut text = String::new();
        for byte in piece {
            if *byte != b'\n' {
                self.line.push(*byte);
                continue;
            }
            text += &text_of(&self.line);
            self.line.clear();
        }
        text
    }
}

/// Returns the text of one line; none where it holds something else.
fn text_of(line: &[u8]) -> String {
    let line = String::from_utf8_lossy(line);
    let data = line.strip_prefix(DATA).unwrap_or_default();
    let event: Result<Event, _> = serde_json::from_str(data);
    let choices = event.map_or_else(|_| Vec::new(), |e| e.choices);
    choices
        .into_iter()
        .filter_map(|c| c.delta.content)
        .collect()
}

#[cfg(test)]
mod tests;
