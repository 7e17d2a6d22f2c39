//! The kernel: it starts each duty on a thread of its own and stops them in order.
//!
//! Duties register themselves with [`inventory::submit!`]; the kernel knows none by name.

use std::sync::Arc;
use std::thread::JoinHandle;

use tokio::sync::watch;

use crate::{DutyContext, DutyError, StopPhase};

/// Says in which kind of deployment a duty runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DutyScope {
    /// In every one.
    All,
    /// Where operators state workspaces through the daemon.
    Workspaces,
    /// Where the platform's store holds one configuration of routes.
    Routes,
}

impl DutyScope {
    fn includes(self, cx: &DutyContext) -> bool {
        match self {
            Self::All => true,
            Self::Workspaces => cx.settings.site.is_none(),
            Self::Routes => cx.settings.site.is_some(),
        }
    }
}

/// A duty that the kernel runs on a thread of its own.
pub struct Duty {
    /// The duty's name, which its thread carries.
    pub name: &'static str,
    /// Where it runs.
    pub scope: DutyScope,
    /// Runs the duty until its context says that it is time to stop.
    pub run: fn(DutyContext) -> Result<(), DutyError>,
}

inventory::collect!(Duty);

/// Runs the duties of one daemon.
pub struct Kernel {
    stop: Arc<watch::Sender<StopPhase>>,
    threads: Vec<(&'static str, JoinHandle<Result<(), DutyError>>)>,
}

impl Kernel {
    /// Starts every registered duty.
    ///
    /// # Errors
    ///
    /// Returns a [`DutyError`] where a thread cannot be started.
    pub fn start(cx: &DutyContext) -> Result<Self, DutyError> {
        let mut threads = Vec::new();
        for duty in inventory::iter::<Duty>.into_iter().filter(|duty| duty.scope.includes(cx)) {
            threads.push((duty.name, start_thread(duty, cx.clone())?));
        }
        Ok(Self { stop: cx.stop.clone(), threads })
    }

    /// Waits until every duty has ended, and ends the others once one has failed.
    ///
    /// # Errors
    ///
    /// Returns the first failure of a duty.
    pub fn join(self) -> Result<(), DutyError> {
        let mut outcome = Ok(());
        for (name, thread) in self.threads {
            let ended = thread.join().unwrap_or(Err(DutyError::Panicked { duty: name }));
            outcome = outcome.and(ended);
        }
        self.stop.send_replace(StopPhase::Stopped);
        outcome
    }
}

fn start_thread(
    duty: &'static Duty,
    cx: DutyContext,
) -> Result<JoinHandle<Result<(), DutyError>>, DutyError> {
    let run = move || {
        let on_failure = StopOnFailure { stop: cx.stop.clone(), succeeded: false };
        run_duty(duty, cx, on_failure)
    };
    std::thread::Builder::new()
        .name(duty.name.to_owned())
        .spawn(run)
        .map_err(|source| DutyError::Thread { duty: duty.name, source })
}

fn run_duty(duty: &Duty, cx: DutyContext, mut on_failure: StopOnFailure) -> Result<(), DutyError> {
    let outcome = (duty.run)(cx);
    match &outcome {
        Ok(()) => on_failure.succeeded = true,
        Err(err) => log::error!(duty = duty.name; "duty failed: {err}"),
    }
    outcome
}

/// Stops the daemon when a duty ends otherwise than it should, by panic included.
struct StopOnFailure {
    stop: Arc<watch::Sender<StopPhase>>,
    succeeded: bool,
}

impl Drop for StopOnFailure {
    fn drop(&mut self) {
        if !self.succeeded {
            self.stop.send_replace(StopPhase::Stopped);
        }
    }
}
