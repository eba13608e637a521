//! Requests to a router's operators' address.

use {
    answers::Capped,
    async_std::{
        future::timeout,
        net::TcpStream, //
    },
    http_types::{
        mime,
        Method,
        Request,
        Url, //
    },
    resources::Bytes,
    std::{
        net::SocketAddr,
        time::Duration, //
    },
    thiserror::Error, //
};

/// Longest answer, with its head.
const ANSWER_MAX: Bytes = Bytes(64 << 20);
/// Time limit for the complete answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);

/// Why there is no usable answer.
#[derive(Debug, Error)]
pub enum QueryError {
    /// Nothing listens at the address, or it is not an operators' address.
    #[error("no router answered at {address}: {cause}")]
    NotReached {
        /// The address of the request.
        address: SocketAddr,
        /// What went wrong.
        cause: String,
    },
    /// The answer has an error status.
    #[error("{address} answered `{path}` with status {status}")]
    Refused {
        /// The address of the request.
        address: SocketAddr,
        /// The path of the request.
        path: String,
        /// The status of the answer.
        status: u16,
    },
}

/// Sends a GET request to a router's operators' address and returns the body of the answer.
///
/// # Errors
///
/// If there is no answer within a few seconds, or it has an error status.
pub async fn query(address: SocketAddr, path: &str) -> Result<String, QueryError> {
    send(address, path, None).await
}

/// Posts JSON, such as to a stand-in's admin address, and returns the body of the answer.
///
/// # Errors
///
/// If there is no answer within a few seconds, or it has an error status.
pub async fn post(address: SocketAddr, path: &str, json: String) -> Result<String, QueryError> {
    send(address, path, Some(json)).await
}

async fn send(address: SocketAddr, path: &str, json: Option<String>) -> Result<String, QueryError> {
    let fail = |cause: String| QueryError::NotReached { address, cause };
    let exchange = timeout(ANSWER_TIMEOUT, exchange(address, path, json)).await;
    let (status, body) = exchange
        .map_err(|_| fail(format!("no answer within {ANSWER_TIMEOUT:?}")))?
        .map_err(|e| fail(e.to_string()))?;
    if status != 200 {
        return Err(QueryError::Refused {
            address,
            path: path.to_owned(),
            status,
        });
    }
    Ok(body)
}

async fn exchange(
    address: SocketAddr,
    path: &str,
    json: Option<String>,
) -> http_types::Result<(u16, String)> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let url = Url::parse(&format!("http://{address}{path}"))?;
    let mut request = Request::new(Method::Get, url);
    if let Some(json) = json {
        request.set_method(Method::Post);
        request.set_body(json);
        request.set_content_type(mime::JSON);
    }
    request.insert_header("connection", "close");
    let stream = Capped::new(stream, ANSWER_MAX, "router");
    let mut response = async_h1::connect(stream, request).await?;
    let status = response.status().into();
    let body = response.body_string().await?;
    Ok((status, body))
}

/// Parses a view from the body of an answer.
///
/// # Errors
///
/// If the body is not that view, for example because the router is of another release.
pub fn read_view<T: serde::de::DeserializeOwned>(
    address: SocketAddr,
    body: &str,
) -> Result<T, QueryError> {
    serde_json::from_str(body).map_err(|e| QueryError::NotReached {
        address,
        cause: format!("the answer can't be read: {e}"),
    })
}
