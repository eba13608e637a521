//! The client's requests reach the router whole.

mod common;

use {
    async_std::task,
    callers::{
        AddressList, //
        Call,
        Client,
        ClientSettings,
        IncomingRequest,
        Limits,
        Response,
    },
    common::{
        echo,
        soon,
        start, //
    },
    policy::Outcome,
    std::{
        net::SocketAddr,
        sync::OnceLock, //
    },
};

static ADDRESS: OnceLock<SocketAddr> = OnceLock::new();

async fn router(ask: IncomingRequest) -> Response {
    let IncomingRequest::Addresses { .. } = &ask else {
        return echo(ask).await;
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
    // An underwriter's request comes back answered, with the text for an empty prompt.
    // The client sent the head of the request and lost its body: it encoded a copy of the
    // HTTP library's request, and such a copy has no body.
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
        let answer = soon(client.call(&call)).await;
        assert_eq!(answer.outcome, Outcome::Answered);
        assert_eq!(String::from_utf8(answer.body).unwrap(), "draft a renewal");
    });
}
