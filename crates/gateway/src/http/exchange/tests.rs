use {
    super::{
        exchange,
        ClientRequest,
        ExchangeError, //
    },
    async_std::task::block_on,
    std::{
        net::SocketAddr,
        time::Duration, //
    },
};

/// Guards against a target that ends in the request line and adds headers of its own.
#[test]
fn exchange_target_of_other_characters() {
    for target in ["/a b", "/a\r\nX-Other: 1", "/a\0", "/é"] {
        let request = ClientRequest {
            addr: SocketAddr::from(([127, 0, 0, 1], 9)),
            method: "GET",
            target: target.to_owned(),
            body: None,
            within: Duration::from_secs(1),
            max_body_bytes: 1,
        };
        let sent = block_on(exchange(&mut None, &request));
        assert!(
            matches!(sent, Err(ExchangeError::Target(_))),
            "{target:?}: {sent:?}"
        );
    }
}
