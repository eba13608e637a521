//! The client's requests reach the router with their bodies.

mod common;

use {
    async_std::task,
    callers::{
        AddressList,
        Call,
        Client,
        ClientSettings,
        IncomingRequest,
        Limits,
        Response, //
    },
    common::{
        echo,
        start,
        with_timeout, //
    },
    policy::Outcome,
    std::{
        net::SocketAddr,
        sync::OnceLock, //
    },
};

static ADDRESS: OnceLock<SocketAddr> = OnceLock::new();

async fn router(request: IncomingRequest) -> Response {
    let IncomingRequest::Addresses { .. } = &request else {
        return echo(request).await;
    };
    let address = callers::Address {
        router: "r1".parse().unwrap(),
        address: *ADDRESS.get().unwrap(),
        zone: "a".parse().unwrap(),
        weight: 1.0,
    };
    (&AddressList {
        addresses: vec![address],
        keep_ms: 1_000,
        tickets: Vec::new(),
        ticket_ms: 0,
    })
        .into()
}

#[test]
fn call_with_body() {
    // A clone of the HTTP library's request has no body. A client that encodes a clone sends
    // the head only, and the endpoint answers an empty prompt.
    task::block_on(async {
        let (_server, address) = start(Limits::default(), router).await;
        ADDRESS.set(address).unwrap();
        let client = Client::new(ClientSettings::new(vec![address]));
        let call = Call::post(
            "desk".parse().unwrap(),
            "abbey".parse().unwrap(),
            "usual".parse().unwrap(),
            "/v1/x",
            b"draft a renewal".to_vec(),
        );
        let answer = with_timeout(client.call(&call)).await;
        assert_eq!(answer.outcome, Outcome::Answered);
        assert_eq!(String::from_utf8(answer.body).unwrap(), "draft a renewal");
    });
}
