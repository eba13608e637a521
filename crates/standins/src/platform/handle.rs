//! Starts the stand-in, and controls its faults from a test in the same process.

use {
    super::{
        app,
        counts::CallCount,
        faults::Down,
        instances::{
            Instance,
            State, //
        },
        server,
        state::Shared, //
    },
    async_std::{
        net::TcpListener,
        task, //
    },
    std::{
        io,
        net::SocketAddr,
        time::{
            Duration,
            Instant, //
        },
    },
};

/// Options of the stand-in.
#[derive(Debug, Clone)]
pub struct Options {
    /// Address for clients; port 0 selects a free one.
    pub addr: SocketAddr,
    /// Address for the admin paths; port 0 selects a free one.
    pub admin: SocketAddr,
    /// Lag of the list of instances.
    pub lag: Duration,
}

/// A running stand-in; it stops when this is dropped.
#[derive(Debug)]
pub struct Handle {
    /// Address for clients.
    pub addr: SocketAddr,
    /// Address for the admin paths.
    pub admin: SocketAddr,
    shared: Shared,
    tasks: Vec<task::JoinHandle<()>>,
}

impl Default for Options {
    fn default() -> Self {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            addr: any,
            admin: any,
            lag: Duration::ZERO,
        }
    }
}

/// Starts the platform on the addresses given.
///
/// # Errors
///
/// If an address can't be bound, usually because the port is in use.
pub async fn start(opts: Options) -> io::Result<Handle> {
    let shared = Shared::new(opts.lag);
    let clients = TcpListener::bind(opts.addr).await?;
    let admin = TcpListener::bind(opts.admin).await?;
    let (addr, admin_addr) = (clients.local_addr()?, admin.local_addr()?);
    let paths = app::clients(shared.clone());
    let admin_paths = app::admin(shared.clone());
    let tasks = vec![
        task::spawn(server::serve_clients(clients, shared.clone(), paths)),
        task::spawn(server::serve_admin(admin, admin_paths)),
    ];
    Ok(Handle {
        addr,
        admin: admin_addr,
        shared,
        tasks,
    })
}

impl Handle {
    /// Adds instances to the list, or changes those of the same name.
    pub fn put_instances(&self, list: Vec<Instance>) {
        self.shared.lock().list.put(list, Instant::now());
    }

    /// Removes an instance from the list. Returns whether it was there.
    pub fn remove_instance(&self, name: &str) -> bool {
        self.shared.lock().list.remove(name, Instant::now())
    }

    /// Changes the state of an instance in the list. Returns whether it is there.
    pub fn set_state(&self, name: &str, state: State) -> bool {
        let now = Instant::now();
        self.shared.lock().list.set_state(name, state, now)
    }

    /// Sets the lag of the list.
    pub fn set_lag(&self, lag: Duration) {
        self.shared.lock().list.set_lag(lag);
    }

    /// Makes the platform unavailable, or available again.
    pub fn set_down(&self, down: Option<Down>) {
        self.shared.lock().set_down(down);
    }

    /// Delays each call by this time, half of it before the call takes effect and half after.
    pub fn set_slow(&self, by: Duration) {
        self.shared.lock().faults.slow = by;
    }

    /// Applies each of the next `n` writes, and closes its connection unanswered.
    pub fn lose_answers(&self, n: u32) {
        self.shared.lock().faults.lose = n;
    }

    /// Holds each of the next `n` writes until they are released, and closes its connection
    /// unanswered: a write that is done after its writer has given up.
    pub fn hold_writes(&self, n: u32) {
        self.shared.lock().faults.hold = n;
    }

    /// Does the held writes in the order of their arrival.
    pub async fn release_writes(&self) {
        server::release(self.shared.clone()).await;
    }

    /// Leaves all calls of a client unanswered.
    pub fn cut(&self, client: &str) {
        self.shared.lock().faults.cut.insert(client.to_owned());
    }

    /// Answers the calls of a client again.
    pub fn heal(&self, client: &str) {
        self.shared.lock().faults.cut.remove(client);
    }

    /// Does a client's calls, and holds the answers until `let_go`.
    pub fn stall(&self, client: &str) {
        let faults = &mut self.shared.lock().faults;
        faults.stalled.insert(client.to_owned());
    }

    /// Sends a client the held answers.
    pub fn let_go(&self, client: &str) {
        self.shared.lock().faults.stalled.remove(client);
    }

    /// Makes the open connections silent for good; new ones work.
    pub fn silence(&self) {
        self.shared.lock().silence();
    }

    /// Ends all leases, as if they had expired.
    pub fn expire_leases(&self) {
        self.shared.lock().expire_leases();
    }

    /// Keeps a copy of all keys and leases.
    pub fn snapshot(&self) {
        self.shared.lock().snapshot();
    }

    /// Restores the last copy with its revisions. Returns whether there is one.
    pub fn restore(&self) -> bool {
        self.shared.lock().restore()
    }

    /// Starts over without keys, leases and instances, and with new revisions.
    pub fn restart_empty(&self) {
        self.shared.lock().restart_empty();
    }

    /// Returns the keys that begin with `prefix`.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        self.shared.lock().kv.keys(prefix)
    }

    /// Returns the number of calls by client and kind.
    pub fn counts(&self) -> Vec<CallCount> {
        self.shared.lock().counts.list()
    }

    /// Returns the number of calls of a kind by all clients.
    pub fn calls(&self, kind: &str) -> u64 {
        let counts = self.counts();
        let some = counts.iter().filter(|c| c.kind == kind);
        some.map(|c| c.calls).sum()
    }

    /// Sets the counts to zero.
    pub fn clear_counts(&self) {
        self.shared.lock().counts.clear();
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        for task in self.tasks.drain(..) {
            task::spawn(task.cancel());
        }
        self.shared.lock().set_down(Some(Down::Refuse));
    }
}
