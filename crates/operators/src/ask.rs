//! Asking a router at its operators' address.

use {
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
    std::{
        net::SocketAddr,
        time::Duration, //
    },
    thiserror::Error, //
};

/// Time within which the whole answer must be there.
const ANSWER_TIME: Duration = Duration::from_secs(3);

/// Why a router's answer isn't known.
#[derive(Debug, Error)]
pub enum AskError {
    /// Nobody listens there, or what does is no router's operators' address.
    #[error("no router answered at {address}: {cause}")]
    NotReached {
        /// The address that was asked.
        address: SocketAddr,
        /// What went wrong.
        cause: String,
    },
    /// The answer says that something is wrong.
    #[error("{address} answered `{path}` with status {status}")]
    Refused {
        /// The address that was asked.
        address: SocketAddr,
        /// What was asked for.
        path: String,
        /// The status of the answer.
        status: u16,
    },
}

/// Asks a router's operators' address and returns the body of the answer.
///
/// # Errors
///
/// When there is no answer within a few seconds, or one that isn't good.
pub async fn ask(address: SocketAddr, path: &str) -> Result<String, AskError> {
    bounded(address, path, None).await
}

/// Posts JSON, such as to a stand-in's admin address, and returns the body of the answer.
///
/// # Errors
///
/// When there is no answer within a few seconds, or one that isn't good.
pub async fn post(address: SocketAddr, path: &str, json: String) -> Result<String, AskError> {
    bounded(address, path, Some(json)).await
}

async fn bounded(
    address: SocketAddr,
    path: &str,
    json: Option<String>,
) -> Result<String, AskError> {
    let fail = |cause: String| AskError::NotReached { address, cause };
    let exchange = timeout(ANSWER_TIME, exchange(address, path, json)).await;
    let (status, body) = exchange
        .map_err(|_| fail(format!("no answer within {ANSWER_TIME:?}")))?
        .map_err(|e| fail(e.to_string()))?;
    if status != 200 {
        return Err(AskError::Refused {
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
    let mut response = async_h1::connect(stream, request).await?;
    let status = response.status().into();
    let body = response.body_string().await?;
    Ok((status, body))
}

/// Reads a view from the body of an answer.
///
/// # Errors
///
/// When the body isn't that view, as from a router of another release.
pub fn read_view<T: serde::de::DeserializeOwned>(
    address: SocketAddr,
    body: &str,
) -> Result<T, AskError> {
    serde_json::from_str(body).map_err(|e| AskError::NotReached {
        address,
        cause: format!("the answer can't be read: {e}"),
    })
}
