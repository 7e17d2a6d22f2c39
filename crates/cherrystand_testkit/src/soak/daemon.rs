//! A daemon under test: a real process that is started, paused, stopped and killed by its process id.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use crate::soak::run_record::RETRY_SLACK;
use crate::{NodeSettings, free_addresses, spawn};

/// Number of addresses that one daemon listens on.
const ADDRESSES_PER_DAEMON: usize = 5;

/// One daemon; its process is killed when this value is dropped.
pub(crate) struct Daemon {
    settings: NodeSettings,
    dir: PathBuf,
    program: PathBuf,
    child: Option<Child>,
    incarnation: u32,
}

impl Daemon {
    /// Chooses free addresses for a daemon that uses a store, without starting it.
    pub(crate) fn new(
        number: usize,
        program: &Path,
        dir: &Path,
        store: SocketAddr,
    ) -> std::io::Result<Self> {
        let addresses = free_addresses(ADDRESSES_PER_DAEMON)?;
        let settings = NodeSettings {
            name: format!("n{number}"),
            seeds: Vec::new(),
            callers: addresses[0],
            ready: addresses[1],
            operators: addresses[2],
            peers: addresses[3],
            changes: addresses[4],
            store,
            first_start: true,
            retry_slack: RETRY_SLACK,
            reads_store: false,
            suspended_ms: 0,
        };
        let (program, dir) = (program.to_owned(), dir.to_owned());
        Ok(Self { settings, dir, program, child: None, incarnation: 0 })
    }

    /// Returns the address on which it accepts requests of callers.
    pub(crate) fn caller_address(&self) -> SocketAddr {
        self.settings.callers
    }

    /// Returns the address on which it accepts messages of peers.
    pub(crate) fn peer_address(&self) -> SocketAddr {
        self.settings.peers
    }

    /// Sets the peers that it contacts first.
    pub(crate) fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.settings.seeds = seeds;
    }

    /// Sets whether it reads the store itself.
    pub(crate) fn set_reads_store(&mut self, reads_store: bool) {
        self.settings.reads_store = reads_store;
    }

    /// Starts the process, with a separate log file for each incarnation.
    pub(crate) fn start(&mut self) -> std::io::Result<()> {
        self.incarnation += 1;
        self.settings.first_start = self.incarnation == 1;
        let name = &self.settings.name;
        let file = self.dir.join(format!("{name}.toml"));
        std::fs::write(&file, self.settings.to_string())?;
        let log = self.log_of(self.incarnation);
        let mut command = Command::new(&self.program);
        command.arg("--settings").arg(&file).stdout(Stdio::null());
        self.child = Some(spawn(command.stderr(std::fs::File::create(log)?))?);
        Ok(())
    }

    fn log_of(&self, incarnation: u32) -> PathBuf {
        self.dir.join(format!("{}-{incarnation}.log", self.settings.name))
    }

    /// Returns the log files of all its incarnations so far.
    pub(crate) fn logs(&self) -> impl Iterator<Item = PathBuf> {
        (1..=self.incarnation).map(|incarnation| self.log_of(incarnation))
    }

    /// Returns the number of its current incarnation: how often it was started.
    pub(crate) fn incarnation(&self) -> u32 {
        self.incarnation
    }

    /// Sends the process a signal if it was started.
    pub(crate) fn signal(&self, name: &str) {
        if let Some(child) = &self.child {
            let id = child.id().to_string();
            // This fails if the process has just exited by itself, which `has_ended` reports.
            let _ = Command::new("kill").args([&format!("-{name}"), &id]).status();
        }
    }

    /// Kills the process and waits until it has exited.
    pub(crate) fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // This fails if the process has already exited by itself.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Tells whether the process has exited or was never started.
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
