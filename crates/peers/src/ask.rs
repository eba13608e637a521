//! Sends a question to a peer and waits for the answer.

use {
    crate::{
        errors::AskError,
        traffic::{
            CountedStream,
            Traffic, //
        },
    },
    answers::Capped,
    async_std::{
        future::timeout,
        net::TcpStream, //
    },
    http_types::{
        Method,
        Request,
        Response,
        Url, //
    },
    policy::RouterId,
    resources::Bytes,
    serde::{
        de::DeserializeOwned,
        Serialize, //
    },
    std::{
        net::SocketAddr,
        sync::Arc,
        time::Duration, //
    },
};

/// Longest answer, with its head.
const ANSWER_MAX: Bytes = Bytes(16 << 20);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Sends a question on a new connection, so that it never depends on one that may be dead.
pub(crate) async fn ask<Q, A>(
    local: &RouterId,
    addr: SocketAddr,
    question: &Q,
    max_wait: Duration,
    traffic: Arc<Traffic>,
) -> Result<A, AskError>
where
    Q: Serialize,
    A: DeserializeOwned,
{
    let req = new_request(local, addr, question)?;
    let socket = connect(addr, max_wait.min(CONNECT_TIMEOUT)).await?;
    let capped = Capped::new(socket, ANSWER_MAX, "peer");
    let counted = CountedStream::new(capped, traffic);
    let answer = async {
        let mut res: Response = async_h1::connect(counted, req).await?;
        let body = res.body_bytes().await?;
        Ok::<_, http_types::Error>((res.status(), body))
    };
    let (status, body) = timeout(max_wait, answer)
        .await
        .map_err(|_| AskError::Lost(format!("nothing within {max_wait:?}")))?
        .map_err(|e| AskError::Lost(e.to_string()))?;
    if !status.is_success() {
        return Err(AskError::Form(format!("status {status}")));
    }
    rmp_serde::from_slice(&body).map_err(|e| AskError::Form(e.to_string()))
}

async fn connect(addr: SocketAddr, max_wait: Duration) -> Result<TcpStream, AskError> {
    let socket = timeout(max_wait, TcpStream::connect(addr))
        .await
        .map_err(|_| AskError::Connect(format!("nothing within {max_wait:?}")))?
        .map_err(|e| AskError::Connect(e.to_string()))?;
    let _ = socket.set_nodelay(true);
    Ok(socket)
}

fn new_request<Q: Serialize>(
    local: &RouterId,
    addr: SocketAddr,
    question: &Q,
) -> Result<Request, AskError> {
    let url = Url::parse(&format!("http://{addr}/a")).map_err(|e| AskError::Form(e.to_string()))?;
    let body = rmp_serde::to_vec(question).map_err(|e| AskError::Form(e.to_string()))?;
    let mut req = Request::new(Method::Post, url);
    req.insert_header("chervilwind-from", local.as_str());
    req.insert_header("connection", "close");
    req.set_body(body);
    Ok(req)
}
