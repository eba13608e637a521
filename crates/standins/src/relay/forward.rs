//! Forwards the bytes of each connection.

use {
    super::handle::Faults,
    async_std::{
        net::{
            TcpListener,
            TcpStream, //
        },
        task, //
    },
    futures_lite::io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    std::{
        net::SocketAddr,
        sync::Arc, //
    },
};

const BUFFER: usize = 16 * 1024;

/// The header with the name of a router.
const FROM: &str = "chervilwind-from: ";

pub(crate) async fn accept(listener: TcpListener, target: SocketAddr, faults: Arc<Faults>) {
    while let Ok((socket, _)) = listener.accept().await {
        task::spawn(connection(socket, target, faults.clone()));
    }
}

async fn connection(mut near: TcpStream, target: SocketAddr, faults: Arc<Faults>) {
    let number = faults.open();
    let mut head = vec![0; BUFFER];
    let Ok(n) = near.read(&mut head).await else {
        return;
    };
    head.truncate(n);
    let from = origin(&head);
    if faults.lost(number, &from) {
        swallow(near).await;
        return;
    }
    let Ok(mut far) = TcpStream::connect(target).await else {
        return;
    };
    let _ = near.set_nodelay(true);
    let _ = far.set_nodelay(true);
    if far.write_all(&head).await.is_err() {
        return;
    }
    let there = pump(
        near.clone(),
        far.clone(),
        number,
        from.clone(),
        faults.clone(),
    );
    let back = pump(far, near, number, from, faults);
    futures_lite::future::zip(there, back).await;
}

/// Reads without forwarding anything, like a middlebox that lost the state of a connection.
async fn swallow(mut socket: TcpStream) {
    let mut buf = [0; 1024];
    while matches!(socket.read(&mut buf).await, Ok(n) if n > 0) {}
}

async fn pump(mut r: TcpStream, mut w: TcpStream, number: u64, from: String, faults: Arc<Faults>) {
    let mut buf = vec![0; BUFFER];
    loop {
        let read = r.read(&mut buf).await;
        if faults.lost(number, &from) {
            swallow(r).await;
            return;
        }
        match read {
            Ok(n) if n > 0 => {
                if w.write_all(&buf[..n]).await.is_err() {
                    return;
                }
            }
            _ => {
                let _ = w.shutdown(std::net::Shutdown::Write);
                return;
            }
        }
    }
}

fn origin(head: &[u8]) -> String {
    let text = String::from_utf8_lossy(head);
    text.lines()
        .find_map(|l| l.strip_prefix(FROM))
        .unwrap_or_default()
        .to_owned()
}
