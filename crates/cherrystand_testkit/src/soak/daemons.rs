//! The daemons of a soak: real processes, started, paused, stopped and killed by their ids.

use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};

use crate::soak::seen::{RETRY_RATIO, RETRY_SLACK, RETRY_WINDOW};

/// How long a daemon that stops keeps taking requests, in milliseconds.
const LINGER_MS: u64 = 300;

/// How long a planned stop may take, in milliseconds.
const GRACE_MS: u64 = 8_000;

/// One daemon, which ends with this value.
pub(crate) struct Daemon {
    name: String,
    dir: PathBuf,
    program: PathBuf,
    child: Option<Child>,
    /// Where callers reach it.
    pub(crate) callers: SocketAddr,
    ready: SocketAddr,
    operators: SocketAddr,
    /// Where peers reach it.
    pub(crate) peers: SocketAddr,
    changes: SocketAddr,
    store: SocketAddr,
    seeds: Vec<SocketAddr>,
    lives: u32,
}

impl Daemon {
    /// Chooses addresses for a daemon before a store; it is not started yet.
    pub(crate) fn new(
        number: usize,
        program: &Path,
        dir: &Path,
        store: SocketAddr,
    ) -> std::io::Result<Self> {
        let [callers, ready, operators, peers, changes] = free_addresses()?;
        Ok(Self {
            name: format!("n{number}"),
            dir: dir.to_owned(),
            program: program.to_owned(),
            child: None,
            callers,
            ready,
            operators,
            peers,
            changes,
            store,
            seeds: Vec::new(),
            lives: 0,
        })
    }

    /// Says which peers it gets in touch with first.
    pub(crate) fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
    }

    /// Starts the process, with a log of its own for each life.
    pub(crate) fn start(&mut self) -> std::io::Result<()> {
        self.lives += 1;
        let file = self.dir.join(format!("{}.toml", self.name));
        std::fs::write(&file, self.settings())?;
        let log = self.dir.join(format!("{}-{}.log", self.name, self.lives));
        let mut command = Command::new(&self.program);
        command.arg("--settings").arg(&file).stdout(Stdio::null());
        self.child = Some(command.stderr(std::fs::File::create(log)?).spawn()?);
        Ok(())
    }

    fn settings(&self) -> String {
        let seeds: Vec<String> = self.seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        format!(
            "node = \"{}\"\nzone = \"z1\"\nseeds = [{}]\n[listen]\ncallers = \"{}\"\n\
             operators = \"{}\"\npeers = \"{}\"\n[platform]\naddress = \"{}\"\n[stop]\n\
             linger_ms = {LINGER_MS}\n[site]\nready = \"{}\"\nchanges = \"{}\"\n\
             first_start = {}\ngrace_ms = {GRACE_MS}\nretry_ratio = {RETRY_RATIO:?}\n\
             retry_slack = {RETRY_SLACK:?}\nretry_window_s = {}\n",
            self.name,
            seeds.join(", "),
            self.callers,
            self.operators,
            self.peers,
            self.store,
            self.ready,
            self.changes,
            self.lives == 1,
            RETRY_WINDOW.as_secs(),
        )
    }

    /// Returns the number of its life: how often it was started.
    pub(crate) fn life(&self) -> u32 {
        self.lives
    }

    /// Sends the process a signal, where it runs.
    pub(crate) fn signal(&self, name: &str) {
        if let Some(child) = &self.child {
            let id = child.id().to_string();
            // One that has just ended by itself is told so by `has_ended`.
            let _ = Command::new("kill").args([&format!("-{name}"), &id]).status();
        }
    }

    /// Kills the process and waits until it is gone.
    pub(crate) fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // It may have ended by itself.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Tells whether the process has ended.
    pub(crate) fn has_ended(&mut self) -> bool {
        match self.child.as_mut().map(Child::try_wait) {
            Some(Ok(None)) => false,
            Some(_) => true,
            None => true,
        }
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The ports that daemons get: below those that the system gives to outgoing connections, which
/// could take a port between its choice and its use.
const PORTS: std::ops::Range<u16> = 11_000..31_000;

/// Returns addresses that this process was not given before and that nobody listens at.
fn free_addresses() -> std::io::Result<[SocketAddr; 5]> {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let span = u32::from(PORTS.end - PORTS.start);
    // Soaks that run side by side begin far apart.
    let first = std::process::id().wrapping_mul(257);
    let mut addresses = [SocketAddr::from(([127, 0, 0, 1], 0)); 5];
    for address in &mut addresses {
        *address = (0..span)
            .map(|_| first.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed)) % span)
            .map(|number| SocketAddr::from(([127, 0, 0, 1], PORTS.start + number as u16)))
            .find(|address| TcpListener::bind(address).is_ok())
            .ok_or(std::io::ErrorKind::AddrInUse)?;
    }
    Ok(addresses)
}
