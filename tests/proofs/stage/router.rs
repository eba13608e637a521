//! One router as a process of its own.

use {
    super::{
        signal::Signal,
        slots::Slot,
        wait::wait_for, //
    },
    async_std::task::block_on,
    operators::Status,
    standins::{
        platform::{
            Instance,
            Role,
            State, //
        },
        relay::Relay,
    },
    std::{
        fs,
        net::SocketAddr,
        path::PathBuf,
        process::{
            Child,
            Command,
            Stdio, //
        },
    },
};

const ZONES: [&str; 3] = ["hall-a", "hall-b", "hall-c"];

/// A router: its addresses, the way to it, and its process while it runs.
#[derive(Debug)]
pub(crate) struct Router {
    pub(crate) name: String,
    pub(crate) callers: SocketAddr,
    pub(crate) operators: SocketAddr,
    /// The way that the other routers take to it.
    pub(crate) way: Relay,
    zone: &'static str,
    file: PathBuf,
    child: Option<Child>,
}

impl Router {
    /// Prepares a router, without starting its process.
    pub(crate) fn new(slot: &Slot, n: usize, platform: SocketAddr) -> Router {
        let (callers, peers, operators) =
            (slot.address(n, 0), slot.address(n, 1), slot.address(n, 2));
        let name = format!("router-{}", n + 1);
        let way = block_on(Relay::start(peers)).unwrap();
        let zone = ZONES[n % ZONES.len()];
        let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
        let file = dir.join(format!(
            "{}.toml",
            callers.to_string().replace([':', '.'], "-")
        ));
        let router = Router {
            name,
            callers,
            operators,
            way,
            zone,
            file,
            child: None,
        };
        router.write_settings(peers, platform, &[]);
        router
    }

    /// Writes its settings; `seeds` are other routers' addresses.
    pub(crate) fn write_settings(
        &self,
        peers: SocketAddr,
        platform: SocketAddr,
        seeds: &[SocketAddr],
    ) {
        let seeds: Vec<String> = seeds.iter().map(ToString::to_string).collect();
        let log = std::env::var("CHERVILWIND_PROOFS_LOG").unwrap_or("off".to_owned());
        let text = format!(
            "name = {:?}\nzone = {:?}\nlog = {log:?}\n\
             [callers]\nlisten = \"{}\"\n\
             [peers]\nlisten = \"{peers}\"\nadvertise = \"{}\"\n\
             [operators]\nlisten = \"{}\"\n\
             [fleet]\nseeds = {seeds:?}\n\
             [platform]\naddress = \"{platform}\"\n",
            self.name, self.zone, self.callers, self.way.addr, self.operators,
        );
        fs::write(&self.file, text).unwrap();
    }

    /// Returns its entry in the platform's list.
    pub(crate) fn entry(&self) -> Instance {
        Instance {
            name: self.name.clone(),
            role: Role::Router,
            service: None,
            addr: self.way.addr,
            callers: Some(self.callers),
            zone: self.zone.to_owned(),
            state: State::Live,
        }
    }

    /// Starts its process, empty as any start, unless it runs.
    pub(crate) fn start(&mut self) {
        if self.child.is_some() {
            return;
        }
        let child = Command::new(env!("CARGO_BIN_EXE_chervilwind"))
            .args(["router", "--settings"])
            .arg(&self.file)
            .stdin(Stdio::null())
            .spawn()
            .unwrap();
        self.child = Some(child);
    }

    /// Kills its process at once.
    pub(crate) fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends its process a signal, if it runs.
    pub(crate) fn signal(&self, signal: Signal) {
        if let Some(child) = &self.child {
            signal.send(child);
        }
    }

    /// Waits until its process has ended by itself, and returns whether it ended well.
    pub(crate) fn ended(&mut self) -> bool {
        let child = self.child.as_mut().expect("it runs");
        let (status, _) = wait_for("a router has ended", || child.try_wait().unwrap());
        self.child = None;
        status.success()
    }

    /// Asks it how it is doing.
    pub(crate) fn status(&self) -> Option<Status> {
        let body = block_on(operators::query(self.operators, "/status")).ok()?;
        serde_json::from_str(&body).ok()
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        self.kill();
    }
}
