//! The accept loop that the stand-ins share.

use {
    super::{
        http::unread,
        Ask,
        Conn,
        Fault,
        Faults, //
    },
    async_std::{
        net::{
            TcpListener,
            TcpStream, //
        },
        task::{
            spawn,
            JoinHandle, //
        },
    },
    socket2::SockRef,
    std::{
        collections::HashMap,
        future::Future,
        io,
        net::{
            Shutdown,
            SocketAddr, //
        },
        sync::{
            atomic::{
                AtomicU64,
                Ordering, //
            },
            Arc,
            Mutex, //
        },
    },
};

/// Whether the connection may carry another request.
pub(crate) type Keep = bool;

/// A listener and its connections, all of which end when it is dropped.
#[derive(Debug)]
pub(crate) struct Running {
    pub(crate) addr: SocketAddr,
    listener: Arc<TcpListener>,
    accept: Option<JoinHandle<()>>,
    conns: Arc<Mutex<HashMap<u64, Open>>>,
    opened: Arc<AtomicU64>,
}

/// A connection and the task that serves it.
#[derive(Debug)]
struct Open {
    stream: TcpStream,
    task: JoinHandle<()>,
}

impl Running {
    /// Returns how many connections were opened.
    pub(crate) fn connections(&self) -> u64 {
        self.opened.load(Ordering::SeqCst)
    }

    /// Returns how many connections are open.
    pub(crate) fn open(&self) -> usize {
        self.conns.lock().unwrap().len()
    }
}

// A task ends some time after it was cancelled, and until then its sockets are open: a test that
// ended an endpoint was still answered by it, and an address could not be bound again right
// after. So the sockets are shut down here, before the tasks are told to end.
impl Drop for Running {
    fn drop(&mut self) {
        let _ = SockRef::from(&*self.listener).shutdown(Shutdown::Both);
        if let Some(task) = self.accept.take() {
            stop(task);
        }
        self.conns.lock().unwrap().drain().for_each(|(_, open)| {
            let _ = open.stream.shutdown(Shutdown::Both);
            stop(open.task);
        });
    }
}

fn stop(task: JoinHandle<()>) {
    spawn(async move {
        task.cancel().await;
    });
}

/// Listens and passes each request to `work`, with the fault it is to play.
pub(crate) async fn listen<F, Fut>(addr: SocketAddr, faults: Faults, work: F) -> io::Result<Running>
where
    F: Fn(Conn, Ask, Option<Fault>) -> Fut + Clone + Send + Sync + 'static,
    Fut: Future<Output = io::Result<Keep>> + Send + 'static,
{
    let listener = Arc::new(TcpListener::bind(addr).await?);
    let addr = listener.local_addr()?;
    let conns = Arc::new(Mutex::new(HashMap::new()));
    let opened = Arc::new(AtomicU64::new(0));
    let (held, count) = (conns.clone(), opened.clone());
    let accepting = listener.clone();
    let accept = spawn(async move {
        while let Ok((stream, _)) = accepting.accept().await {
            let _ = stream.set_nodelay(true);
            let number = count.fetch_add(1, Ordering::SeqCst);
            let (work, faults) = (work.clone(), faults.clone());
            let ended = held.clone();
            let mut held = held.lock().unwrap();
            let conn = Conn {
                stream: stream.clone(),
            };
            let task = spawn(async move {
                converse(conn, faults, work).await;
                ended.lock().unwrap().remove(&number);
            });
            held.insert(number, Open { stream, task });
        }
    });
    Ok(Running {
        addr,
        listener,
        accept: Some(accept),
        conns,
        opened,
    })
}

async fn converse<F, Fut>(conn: Conn, faults: Faults, work: F)
where
    F: Fn(Conn, Ask, Option<Fault>) -> Fut,
    Fut: Future<Output = io::Result<Keep>>,
{
    while let Some(asks) = conn.arrival().await {
        let fault = if asks { faults.next() } else { None };
        if unread(fault) {
            conn.reset();
            return;
        }
        let Some(ask) = conn.ask().await else {
            return;
        };
        if !matches!(work(conn.clone(), ask, fault).await, Ok(true)) {
            return;
        }
    }
}
