//! Routers as processes of their own.

use {
    super::{
        history::{
            History,
            RouterStarted, //
        },
        http::{
            Conn,
            Message, //
        },
        settings::gateway_settings,
        signal::Signal, //
    },
    adapter::testing::READY_PATH,
    std::{
        env, fs, io,
        net::SocketAddr,
        path::PathBuf,
        process::{
            Child,
            Command,
            Stdio, //
        },
        sync::{
            atomic::{
                AtomicU32,
                Ordering, //
            },
            Arc, //
        },
        time::Instant,
    },
};

/// A router.
#[derive(Debug)]
pub(crate) struct Router {
    number: usize,
    history: Arc<History>,
    ip: String,
    file: PathBuf,
    child: Option<Child>,
    /// How often its process was started or ended.
    starts: Arc<AtomicU32>,
}

/// What callers need of a router.
#[derive(Debug, Clone)]
pub(crate) struct RouterHandle {
    pub(crate) callers: SocketAddr,
    starts: Arc<AtomicU32>,
}

impl RouterHandle {
    /// Returns a number that differs if the process was ended in between.
    pub(crate) fn starts(&self) -> u32 {
        self.starts.load(Ordering::SeqCst)
    }
}

impl Router {
    /// Starts `count` routers in a loopback network of their own.
    pub(crate) fn start_all(
        count: usize,
        net: &str,
        store: SocketAddr,
        history: &Arc<History>,
    ) -> Vec<Router> {
        let ip = |n: usize| format!("{net}.{}", n + 1);
        let seeds: Vec<String> = (0..count).map(|n| format!("{}:7603", ip(n))).collect();
        let routers = (0..count).map(|n| {
            let ip = ip(n);
            let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("soak-{ip}.toml"));
            let (name, zone) = (format!("r{n}"), format!("hall-{}", n % 2));
            let text = gateway_settings(&name, &zone, &ip, &seeds, &store.to_string());
            fs::write(&file, text).unwrap();
            let mut router = Router {
                number: n,
                history: history.clone(),
                ip,
                file,
                child: None,
                starts: Arc::default(),
            };
            router.start();
            router
        });
        routers.collect()
    }

    pub(crate) fn handle(&self) -> RouterHandle {
        RouterHandle {
            callers: format!("{}:7600", self.ip).parse().unwrap(),
            starts: self.starts.clone(),
        }
    }

    /// Starts its process, with the program under test unless `SOAK_PROGRAM` names another build.
    pub(crate) fn start(&mut self) {
        let program = env::var("SOAK_PROGRAM");
        let program = program.unwrap_or(env!("CARGO_BIN_EXE_chervilwind").to_owned());
        let log = match env::var("SOAK_LOGS") {
            Ok(dir) => {
                let name = format!("{}-{}.log", self.ip, self.starts.load(Ordering::SeqCst));
                Stdio::from(fs::File::create(PathBuf::from(dir).join(name)).unwrap())
            }
            Err(_) => Stdio::null(),
        };
        let child = Command::new(program)
            .args(["gateway", "--settings"])
            .arg(&self.file)
            .stdin(Stdio::null())
            .stdout(log)
            .spawn();
        self.child = Some(child.unwrap());
        let started = RouterStarted {
            at: Instant::now(),
            router: self.number,
        };
        self.history.router_starts.lock().unwrap().push(started);
    }

    /// Kills its process.
    pub(crate) fn kill(&mut self) {
        self.starts.fetch_add(1, Ordering::SeqCst);
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Waits until its process has ended by itself.
    pub(crate) fn wait(&mut self) {
        self.starts.fetch_add(1, Ordering::SeqCst);
        if let Some(mut child) = self.child.take() {
            let _ = child.wait();
        }
    }

    pub(crate) fn signal(&self, signal: Signal) {
        if let Some(child) = &self.child {
            signal.send(child);
        }
    }

    /// Returns whether it is ready for callers.
    pub(crate) fn is_ready(&self) -> bool {
        let ask = || -> io::Result<Message> {
            let addr: SocketAddr = format!("{}:7601", self.ip).parse().unwrap();
            let mut conn = Conn::open(addr)?;
            let request = format!("GET {READY_PATH} HTTP/1.1\r\nHost: a\r\n\r\n");
            conn.send(request.as_bytes())?;
            conn.read_answer()
        };
        ask().is_ok_and(|answer| answer.status == 200)
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        self.kill();
    }
}
