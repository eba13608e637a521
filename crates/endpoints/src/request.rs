//! A call as the bytes of a request.

use {
    crate::{
        body::frames,
        names,
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

/// Returns the whole request, which asks for the answer from a token on where given.
pub(crate) async fn bytes(call: &Call, from: Option<u32>) -> Result<Vec<u8>, CallError> {
    let url = format!("http://{}{}", call.replica, call.path);
    let url = Url::parse(&url).map_err(|e| CallError::Request(e.to_string()))?;
    let mut req = Request::new(call.method, url);
    for h in &call.headers {
        if frames(&h.name) || h.name == names::RESUME_FROM {
            continue;
        }
        if !valid(&h.name, &h.value) {
            return Err(CallError::Request(format!("header `{}`", h.name)));
        }
        req.append_header(h.name.as_str(), h.value.as_str());
    }
    req.insert_header(names::ID, call.id.as_str());
    if let Some(n) = from {
        req.insert_header(names::RESUME_FROM, n.to_string());
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
        .map_err(|e| CallError::Request(e.to_string()))?;
    Ok(buf)
}

/// Returns whether a header can be written.
///
/// The library panics on a name or value that is not ASCII and writes a line end as it
/// is, which would let a caller add headers or a second request of its own.
fn valid(name: &str, value: &str) -> bool {
    let token = |c: char| c.is_ascii_alphanumeric() || "!#$%&'*+-.^_`|~".contains(c);
    let text = |c: char| c == '\t' || (' '..='~').contains(&c);
    !name.is_empty() && name.chars().all(token) && value.chars().all(text)
}
