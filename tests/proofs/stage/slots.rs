//! How many fleets run at once on this machine, and their addresses.

use std::{
    net::{
        Ipv4Addr,
        SocketAddr, //
    },
    sync::{
        Condvar,
        Mutex, //
    },
};

/// Fleets that one test process runs at once.
const AT_ONCE: u32 = 4;

static RUNNING: Mutex<u32> = Mutex::new(0);
static ENDED: Condvar = Condvar::new();
static FLEETS: Mutex<u8> = Mutex::new(0);

/// The right to run a fleet, and a loopback network of its own.
#[derive(Debug)]
pub(crate) struct Slot {
    fleet: u8,
}

impl Slot {
    /// Waits until fewer fleets run.
    pub(crate) fn take() -> Slot {
        let running = RUNNING.lock().unwrap();
        let mut running = ENDED.wait_while(running, |n| *n >= AT_ONCE).unwrap();
        *running += 1;
        let mut fleets = FLEETS.lock().unwrap();
        *fleets += 1;
        Slot { fleet: *fleets }
    }

    /// Returns an address for a router's `part`, the same at each of its starts. No other
    /// test process on the machine uses it, and it is below the ports that the system
    /// gives out.
    pub(crate) fn address(&self, router: usize, part: u16) -> SocketAddr {
        let pid = std::process::id();
        let net = 16 + (pid % 200) as u8;
        let port = 8_000 + (pid / 200 % 2_000) as u16 * 10 + part;
        let ip = Ipv4Addr::new(127, net, self.fleet, router as u8 + 1);
        SocketAddr::from((ip, port))
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        *RUNNING.lock().unwrap() -= 1;
        ENDED.notify_one();
    }
}
