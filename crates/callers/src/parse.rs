//! Validates the HTTP library's requests and converts them.

use {
    crate::{
        headers::{
            is_forwarded,
            DEADLINE_MS,
            PROFILE,
            REQUEST_ID,
            RESERVED_PATHS,
            SERVICE,
            TICKET,
            WHERE_PATH,
            WORKSPACE, //
        },
        AddressListQuery,
        Limits,
        Reason,
        Refused,
        Request,
        RequestId, //
    },
    std::{
        fmt,
        net::SocketAddr,
        str::FromStr,
        time::Duration, //
    },
};

/// A parsed head; the body has not been read yet.
pub(crate) enum Parsed {
    Addresses(AddressListQuery),
    Request(Box<Request>),
}

/// The framing of the body.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Framing {
    Empty,
    Fixed(u64),
    Chunked,
}

/// Validates a complete head before it is passed to the HTTP library.
///
/// # Errors
///
/// A rejection if the head has too many headers or contains bytes that are not printable ASCII.
pub(crate) fn check_head(head: &[u8], limits: &Limits) -> Result<(), Refused> {
    // The library panics at header values that are not ASCII.
    let text = |b: &u8| matches!(b, b' '..=b'~' | b'\t' | b'\r' | b'\n');
    if !head.iter().all(text) {
        return Err(Refused::new(
            Reason::BadHeader,
            "the head holds bytes that are not text; use printable ASCII in headers",
        ));
    }
    // Excludes the request line, the empty line and the remainder after the last line end.
    let count = head.split(|b| *b == b'\n').count().saturating_sub(3);
    if count > limits.head_count {
        return Err(Refused::new(
            Reason::HeadTooLarge,
            format!(
                "the head has {count} headers; send at most {}",
                limits.head_count
            ),
        ));
    }
    Ok(())
}

/// Determines the framing of the body.
///
/// # Errors
///
/// A rejection if the body is too long or its framing is ambiguous.
pub(crate) fn framing(http: &http_types::Request, limits: &Limits) -> Result<Framing, Refused> {
    let lengths = http.header("content-length");
    let coding = http.header("transfer-encoding");
    let bad = |what: &str| Refused::new(Reason::BadRequest, what);
    match (lengths, coding) {
        (None, None) => Ok(Framing::Empty),
        (Some(_), Some(_)) => Err(bad(
            "give either `content-length` or `transfer-encoding`, not both",
        )),
        (None, Some(coding)) => {
            let one = coding.iter().count() == 1;
            if one && coding.as_str().eq_ignore_ascii_case("chunked") {
                Ok(Framing::Chunked)
            } else {
                Err(bad(
                    "the body's coding is not known; use `chunked` or `content-length`",
                ))
            }
        }
        (Some(lengths), None) => {
            let digits = |s: &str| !s.is_empty() && s.bytes().all(|b| b.is_ascii_digit());
            let len: u64 = match lengths.as_str() {
                s if lengths.iter().count() == 1 && digits(s) => s.parse().unwrap_or(u64::MAX),
                _ => return Err(bad("`content-length` must be one whole number")),
            };
            if len > limits.body_bytes as u64 {
                return Err(body_too_large(limits));
            }
            Ok(Framing::Fixed(len))
        }
    }
}

pub(crate) fn body_too_large(limits: &Limits) -> Refused {
    Refused::new(
        Reason::BodyTooLarge,
        format!(
            "the body is too long; send at most {} bytes",
            limits.body_bytes
        ),
    )
}

/// Parses a head.
///
/// # Errors
///
/// A rejection that names the missing or malformed header.
pub(crate) fn parse(http: &http_types::Request, peer: SocketAddr) -> Result<Parsed, Refused> {
    let path = http.url().path();
    if path == WHERE_PATH {
        return where_query(http).map(Parsed::Addresses);
    }
    if path.starts_with(RESERVED_PATHS) {
        return Err(Refused::new(
            Reason::UnknownPath,
            format!("no such path; ask for addresses at `{WHERE_PATH}?service=NAME`"),
        ));
    }
    let id = match optional::<RequestId>(http, REQUEST_ID)? {
        Some(id) => id,
        None => RequestId::random(),
    };
    Ok(Parsed::Request(Box::new(Request {
        service: required(http, SERVICE)?,
        workspace: required(http, WORKSPACE)?,
        profile: required(http, PROFILE)?,
        deadline: deadline(http)?,
        ticket: optional(http, TICKET)?,
        id,
        method: http.method().to_string(),
        target: target(http),
        headers: forwarded_headers(http),
        body: Vec::new(),
        peer,
    })))
}

fn where_query(http: &http_types::Request) -> Result<AddressListQuery, Refused> {
    if http.method() != http_types::Method::Get {
        return Err(Refused::new(
            Reason::BadRequest,
            format!("ask for addresses with `GET {WHERE_PATH}`"),
        ));
    }
    let pairs: Vec<_> = http.url().query_pairs().collect();
    AddressListQuery::from_pairs(pairs.iter().map(|(n, v)| (n.as_ref(), v.as_ref())))
}

fn target(http: &http_types::Request) -> String {
    match http.url().query() {
        Some(query) => format!("{}?{query}", http.url().path()),
        None => http.url().path().to_owned(),
    }
}

fn forwarded_headers(http: &http_types::Request) -> Vec<(String, String)> {
    let connection_options: Vec<String> = http
        .header("connection")
        .map(|v| v.as_str().split(',').map(to_trimmed_lowercase).collect())
        .unwrap_or_default();
    let mut headers = Vec::new();
    for (name, values) in http.iter() {
        let name = name.as_str();
        if is_forwarded(name) && !connection_options.iter().any(|d| d == name) {
            headers.extend(values.iter().map(|v| (name.to_owned(), v.to_string())));
        }
    }
    headers
}

fn to_trimmed_lowercase(s: &str) -> String {
    s.trim().to_ascii_lowercase()
}

fn deadline(http: &http_types::Request) -> Result<Option<Duration>, Refused> {
    let Some(text) = single_value(http, DEADLINE_MS)? else {
        return Ok(None);
    };
    let ms: i64 = text.parse().map_err(|_| {
        Refused::new(
            Reason::BadDeadline,
            format!("`{DEADLINE_MS}: {text}` is no whole number; give the milliseconds left"),
        )
    })?;
    match u64::try_from(ms) {
        Ok(ms) if ms > 0 => Ok(Some(Duration::from_millis(ms))),
        _ => Err(expired()),
    }
}

/// Returns the rejection of a request whose deadline passed before it reached an endpoint.
pub(crate) fn expired() -> Refused {
    Refused::new(
        Reason::Expired,
        format!("the deadline has passed; give the milliseconds left in `{DEADLINE_MS}`"),
    )
}

fn required<T: FromStr>(http: &http_types::Request, name: &str) -> Result<T, Refused>
where
    T::Err: fmt::Display,
{
    optional(http, name)?.ok_or_else(|| {
        Refused::new(
            Reason::BadHeader,
            format!("the header `{name}` is missing; add it"),
        )
    })
}

fn optional<T: FromStr>(http: &http_types::Request, name: &str) -> Result<Option<T>, Refused>
where
    T::Err: fmt::Display,
{
    let Some(text) = single_value(http, name)? else {
        return Ok(None);
    };
    text.parse().map(Some).map_err(|e: T::Err| {
        Refused::new(
            Reason::BadHeader,
            format!("the header `{name}` is not usable: {e}"),
        )
    })
}

fn single_value<'a>(http: &'a http_types::Request, name: &str) -> Result<Option<&'a str>, Refused> {
    match http.header(name) {
        None => Ok(None),
        Some(values) if values.iter().count() == 1 => Ok(Some(values.as_str().trim())),
        Some(_) => Err(Refused::new(
            Reason::BadHeader,
            format!("the header `{name}` stands twice; send it once"),
        )),
    }
}
