//! Which connections are kept, and which requests may take them.

use {
    super::Pool,
    crate::http::Conn,
    async_std::{
        net::{
            TcpListener,
            TcpStream, //
        },
        task, //
    },
    std::time::Duration, //
};

/// Returns a loopback connection, and its other end.
async fn connection() -> (Conn, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let conn = Conn::open(addr, Duration::from_secs(20)).await.unwrap();
    (conn, listener.accept().await.unwrap().0)
}

#[test]
fn take_leaves_older_connection_for_others() {
    // A request that must not run twice found only connections that were idle for too long, and
    // closed them. The next request, which could have used them, had to open a new one.
    task::block_on(async {
        let pool = Pool::default();
        let replica = "i-1".parse().unwrap();
        let (conn, _other) = connection().await;
        pool.put(&replica, conn, Some(Duration::from_secs(60)));
        task::sleep(Duration::from_millis(20)).await;
        let recent = Duration::from_millis(10);
        assert!(pool.take(&replica, recent).await.is_none());
        assert!(pool.take(&replica, Duration::MAX).await.is_some());
    });
}

#[test]
fn take_skips_closed_connection() {
    // The replica has closed the most recently used connection. A request sent on it would be lost.
    task::block_on(async {
        let pool = Pool::default();
        let replica = "i-1".parse().unwrap();
        let (kept, _other) = connection().await;
        let (closed, other) = connection().await;
        pool.put(&replica, kept, None);
        pool.put(&replica, closed, None);
        drop(other);
        task::sleep(Duration::from_millis(20)).await;
        assert!(pool.take(&replica, Duration::MAX).await.is_some());
        assert!(pool.take(&replica, Duration::MAX).await.is_none());
    });
}

/// Guards against a request that is lost with its answer, since its task panics at a time that is too
/// long for the clock.
#[test]
fn put_with_any_time() {
    task::block_on(async {
        let pool = Pool::default();
        let replica = "i-1".parse().unwrap();
        for secs in [u64::MAX, i64::MAX as u64, 86_400 * 365, 60] {
            let (conn, _other) = connection().await;
            pool.put(&replica, conn, Some(Duration::from_secs(secs)));
            assert!(pool.take(&replica, Duration::MAX).await.is_some(), "{secs}");
        }
        let (conn, _other) = connection().await;
        pool.put(&replica, conn, Some(Duration::ZERO));
        assert!(pool.take(&replica, Duration::MAX).await.is_none());
    });
}
