//! A router in its own process, and the resources that it uses.

use {
    super::setup::Ports,
    crate::errors::Error,
    operators::{
        query,
        read_view,
        Status, //
    },
    std::{
        env,
        fs::{
            self,
            File, //
        },
        net::{
            SocketAddr,
            TcpListener, //
        },
        path::{
            Path,
            PathBuf, //
        },
        process::{
            Child,
            Command,
            Stdio, //
        },
    },
};

/// Clock ticks a second, in which Linux counts the time of processes.
const TICKS: f64 = 100.0;
/// Fields of `/proc/PID/stat` after the process's name: time in the program, in the kernel.
const TIMES: [usize; 2] = [11, 12];
const KIB: u64 = 1024;

/// A router process; it ends when this is dropped.
#[derive(Debug)]
pub(crate) struct RouterProcess {
    /// Its addresses.
    pub(crate) ports: Ports,
    child: Child,
    log: PathBuf,
}

/// The resources that a process has used.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Usage {
    /// Time on a core, in seconds.
    pub(crate) cpu: f64,
    /// Resident memory, in bytes.
    pub(crate) memory: u64,
}

impl RouterProcess {
    /// Starts a router of the running binary.
    pub(crate) fn start(
        folder: &Path,
        name: &str,
        settings: &str,
        ports: Ports,
    ) -> Result<Self, Error> {
        let file = folder.join(format!("{name}.toml"));
        let log = folder.join(format!("{name}.log"));
        fs::write(&file, settings).map_err(|e| Error::Io("settings of a router", e))?;
        let errors = File::create(&log).map_err(|e| Error::Io("log of a router", e))?;
        let program = env::current_exe().map_err(|e| Error::Io("this program's path", e))?;
        let child = Command::new(program)
            .args(["router", "--settings"])
            .arg(&file)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(errors)
            .spawn()
            .map_err(|e| Error::Io("a router can't be started", e))?;
        Ok(RouterProcess { ports, child, log })
    }

    /// Queries its status.
    pub(crate) async fn status(&self) -> Result<Status, Error> {
        status_of(self.ports.operators).await
    }

    /// Returns what it used since its start.
    pub(crate) fn usage(&self) -> Usage {
        Usage {
            cpu: cpu(self.child.id()).unwrap_or_default(),
            memory: memory(self.child.id()).unwrap_or_default(),
        }
    }

    /// Returns what it wrote to its log.
    pub(crate) fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for RouterProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Queries the status of a router.
pub(crate) async fn status_of(operators: SocketAddr) -> Result<Status, Error> {
    let body = query(operators, "/status").await?;
    Ok(read_view(operators, &body)?)
}

/// Finds free ports for `n` routers. All are held until the last is found, so that no two
/// are the same.
pub(crate) fn free_ports(n: usize) -> Result<Vec<Ports>, Error> {
    let bind = || TcpListener::bind("127.0.0.1:0");
    let held: Result<Vec<TcpListener>, _> = (0..3 * n).map(|_| bind()).collect();
    let held = held.map_err(|e| Error::Io("a free port", e))?;
    let addresses: Result<Vec<SocketAddr>, _> = held.iter().map(TcpListener::local_addr).collect();
    let addresses = addresses.map_err(|e| Error::Io("a free port", e))?;
    let ports = addresses.chunks_exact(3).map(|a| Ports {
        callers: a[0],
        peers: a[1],
        operators: a[2],
    });
    Ok(ports.collect())
}

fn cpu(pid: u32) -> Option<f64> {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    let (_, after) = stat.rsplit_once(')')?;
    let fields: Vec<&str> = after.split_whitespace().collect();
    let ticks = TIMES.iter().map(|i| fields.get(*i)?.parse::<f64>().ok());
    Some(ticks.sum::<Option<f64>>()? / TICKS)
}

fn memory(pid: u32) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"))?;
    let kib: u64 = line.split_whitespace().next()?.parse().ok()?;
    Some(kib * KIB)
}
