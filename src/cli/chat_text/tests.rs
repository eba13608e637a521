//! Text out of streamed events.

use super::ChatText;

const STREAM: &str = "id: 0\ndata: {\"choices\":[{\"delta\":{\"role\":\"assistant\"}}]}\n\n\
    data: {\"choices\":[{\"delta\":{\"content\":\"Füll \"}}]}\r\n\n: still here\n\n\
    data:{\"choices\":[{\"delta\":{\"content\":\"dock\"}}]}\n\ndata: [DONE]\n\n";

#[test]
fn take_cut_anywhere() {
    for at in 0..STREAM.len() {
        let (a, b) = STREAM.as_bytes().split_at(at);
        let mut text = ChatText::default();
        assert_eq!(text.take(a) + &text.take(b), "Füll dock", "cut at {at}");
    }
}
