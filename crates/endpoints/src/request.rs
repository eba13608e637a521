//! Encodes a call as an HTTP request.

use {
    crate::{
        body::is_framing_header,
        header_names,
        Call,
        CallError, //
    },
    async_h1::client::Encoder,
    async_std::io::ReadExt,
    http_types::{
        Request,
        Url, //
    },
};

/// Returns the encoded request; with `from`, it asks for the answer from that token on.
pub(crate) async fn encode(call: &Call, from: Option<u32>) -> Result<Vec<u8>, CallError> {
    let url = format!("http://{}{}", call.replica, call.path);
    let url = Url::parse(&url).map_err(|e| CallError::InvalidRequest(e.to_string()))?;
    let mut req = Request::new(call.method, url);
    for h in &call.headers {
        if is_framing_header(&h.name) || h.name == header_names::RESUME_FROM {
            continue;
        }
        if !is_valid_header(&h.name, &h.value) {
            return Err(CallError::InvalidRequest(format!("header `{}`", h.name)));
        }
        req.append_header(h.name.as_str(), h.value.as_str());
    }
    req.insert_header(header_names::ID, call.id.as_str());
    if let Some(n) = from {
        req.insert_header(header_names::RESUME_FROM, n.to_string());
    }
    if !call.body.is_empty() {
        let typed = req.content_type().is_some();
        req.set_body(&call.body[..]);
        if !typed {
            req.remove_header("content-type");
        }
    }
    let mut buf = Vec::with_capacity(call.body.len() + 512);
    Encoder::new(req)
        .read_to_end(&mut buf)
        .await
        .map_err(|e| CallError::InvalidRequest(e.to_string()))?;
    Ok(buf)
}

/// Returns whether a header can be encoded safely.
///
/// The library panics on a name or value that is not ASCII, and writes line ends
/// unescaped, which would let a caller inject headers or a second request.
fn is_valid_header(name: &str, value: &str) -> bool {
    let token = |c: char| c.is_ascii_alphanumeric() || "!#$%&'*+-.^_`|~".contains(c);
    let text = |c: char| c == '\t' || (' '..='~').contains(&c);
    !name.is_empty() && name.chars().all(token) && value.chars().all(text)
}
