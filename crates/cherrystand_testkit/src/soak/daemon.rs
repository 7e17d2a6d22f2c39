//! The daemons of a soak: real processes, started, paused, stopped and killed by their ids.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use crate::soak::run_record::RETRY_SLACK;
use crate::{NodeSettings, free_addresses, spawn};

/// How many addresses one daemon listens at.
const ADDRESSES_PER_DAEMON: usize = 5;

/// One daemon, which ends with this value.
pub(crate) struct Daemon {
    settings: NodeSettings,
    dir: PathBuf,
    program: PathBuf,
    child: Option<Child>,
    incarnation: u32,
}

impl Daemon {
    /// Chooses addresses for a daemon before a store; it is not started yet.
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
            suspended_ms: 0,
        };
        let (program, dir) = (program.to_owned(), dir.to_owned());
        Ok(Self { settings, dir, program, child: None, incarnation: 0 })
    }

    /// Returns where callers reach it.
    pub(crate) fn caller_address(&self) -> SocketAddr {
        self.settings.callers
    }

    /// Returns where peers reach it.
    pub(crate) fn peer_address(&self) -> SocketAddr {
        self.settings.peers
    }

    /// Says which peers it gets in touch with first.
    pub(crate) fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.settings.seeds = seeds;
    }

    /// Starts the process, with a log of its own for each life.
    pub(crate) fn start(&mut self) -> std::io::Result<()> {
        self.incarnation += 1;
        self.settings.first_start = self.incarnation == 1;
        let name = &self.settings.name;
        let file = self.dir.join(format!("{name}.toml"));
        std::fs::write(&file, self.settings.to_string())?;
        let log = self.dir.join(format!("{name}-{}.log", self.incarnation));
        let mut command = Command::new(&self.program);
        command.arg("--settings").arg(&file).stdout(Stdio::null());
        self.child = Some(spawn(command.stderr(std::fs::File::create(log)?))?);
        Ok(())
    }

    /// Returns the number of its life: how often it was started.
    pub(crate) fn incarnation(&self) -> u32 {
        self.incarnation
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
