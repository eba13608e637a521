//! Requests that are withdrawn before they are sent.

use {
    super::{
        open,
        CallError,
        CallHooks,
        UpstreamRequest, //
    },
    crate::{
        http::Headers,
        model::{
            Replica,
            RouteKind,
            State, //
        },
        upstream::Pool,
    },
    async_std::{
        io::ReadExt,
        net::TcpListener,
        task, //
    },
    resources::{
        Bytes,
        Limiter,
        MemoryLimits,
        Segments, //
    },
    std::{
        net::SocketAddr,
        sync::Arc,
        time::{
            Duration,
            Instant, //
        },
    },
};

fn replica(addr: SocketAddr) -> Replica {
    Replica {
        id: "i-1".parse().unwrap(),
        started_at: None,
        service: "s".parse().unwrap(),
        addr,
        zone: "z1".parse().unwrap(),
        slots: 1,
        state: State::Ready,
        version: None,
        cold: None,
    }
}

/// Guards against a request that is sent to a replica which asked for a pause, or announced that it
/// leaves, while the request waited for its connection.
#[test]
fn open_withdrawn_while_connecting() {
    task::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let replica = replica(listener.local_addr().unwrap());
        let headers = Headers::default();
        let limiter = Limiter::new(MemoryLimits::of(Bytes::mib(1)));
        let request = UpstreamRequest {
            id: "1",
            method: "GET",
            target: "/",
            headers: &headers,
            workspace: None,
            last_event: None,
            cache_source: None,
            body: &Arc::new(Segments::new(limiter.charge(), 0)),
            until: Instant::now() + Duration::from_secs(60),
            kind: RouteKind::Single,
        };
        let pool = Pool::default();
        let hooks = CallHooks {
            may_send: &|| false,
            on_head: &|_| {},
        };
        let opened = open(&pool, &replica, &request, &hooks).await;
        assert!(matches!(opened, Err(CallError::Withdrawn)));
        let mut stream = listener.accept().await.unwrap().0;
        let mut received = Vec::new();
        stream.read_to_end(&mut received).await.unwrap();
        assert!(received.is_empty());
    });
}
