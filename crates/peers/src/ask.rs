//! A question to a peer that needs an answer.

use {
    crate::{
        counted::{
            Counted,
            Traffic, //
        },
        errors::AskError, //
    },
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

/// How long the connection for a question may take to come about.
const CONNECT: Duration = Duration::from_millis(500);

/// Asks on a connection of its own, so that no silent one is ever trusted.
pub(crate) async fn ask<Q, A>(
    me: &RouterId,
    addr: SocketAddr,
    question: &Q,
    bound: Duration,
    traffic: Arc<Traffic>,
) -> Result<A, AskError>
where
    Q: Serialize,
    A: DeserializeOwned,
{
    let req = request(me, addr, question)?;
    let socket = connect(addr, bound.min(CONNECT)).await?;
    let counted = Counted::new(socket, traffic);
    let answer = async {
        let mut res: Response = async_h1::connect(counted, req).await?;
        let body = res.body_bytes().await?;
        Ok::<_, http_types::Error>((res.status(), body))
    };
    let (status, body) = timeout(bound, answer)
        .await
        .map_err(|_| AskError::Lost(format!("nothing within {bound:?}")))?
        .map_err(|e| AskError::Lost(e.to_string()))?;
    if !status.is_success() {
        return Err(AskError::Form(format!("status {status}")));
    }
    rmp_serde::from_slice(&body).map_err(|e| AskError::Form(e.to_string()))
}

async fn connect(addr: SocketAddr, bound: Duration) -> Result<TcpStream, AskError> {
    let socket = timeout(bound, TcpStream::connect(addr))
        .await
        .map_err(|_| AskError::Connect(format!("nothing within {bound:?}")))?
        .map_err(|e| AskError::Connect(e.to_string()))?;
    let _ = socket.set_nodelay(true);
    Ok(socket)
}

fn request<Q: Serialize>(
    me: &RouterId,
    addr: SocketAddr,
    question: &Q,
) -> Result<Request, AskError> {
    let url = Url::parse(&format!("http://{addr}/a")).map_err(|e| AskError::Form(e.to_string()))?;
    let body = rmp_serde::to_vec(question).map_err(|e| AskError::Form(e.to_string()))?;
    let mut req = Request::new(Method::Post, url);
    req.insert_header("chervilwind-from", me.as_str());
    req.insert_header("connection", "close");
    req.set_body(body);
    Ok(req)
}
