//! The kernel, which runs each duty on its own thread and stops all of them when one fails.
//!
//! Duties register themselves with [`inventory::submit!`], so the kernel has no list of them.

use std::sync::Arc;
use std::thread::JoinHandle;

use tokio::sync::watch;

use crate::{DutyContext, DutyError, StopPhase};

/// The kind of deployment in which a duty runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DutyScope {
    /// Every deployment.
    All,
    /// Deployments in which operators configure workspaces through the daemon.
    Workspaces,
    /// Deployments in which the platform's store holds one configuration of routes.
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

/// A task that the kernel runs on its own thread.
pub struct Duty {
    /// The name of the duty and of its thread.
    pub name: &'static str,
    /// The deployments in which it runs.
    pub scope: DutyScope,
    /// Runs the duty until its context's stop phase tells it to end.
    pub run: fn(DutyContext) -> Result<(), DutyError>,
}

inventory::collect!(Duty);

/// Runs the duties of one daemon.
pub struct Kernel {
    stop: Arc<watch::Sender<StopPhase>>,
    threads: Vec<(&'static str, JoinHandle<Result<(), DutyError>>)>,
}

impl Kernel {
    /// Starts every registered duty whose scope includes this deployment.
    ///
    /// # Errors
    ///
    /// Returns a [`DutyError`] if a thread cannot be started.
    pub fn start(cx: &DutyContext) -> Result<Self, DutyError> {
        let mut threads = Vec::new();
        for duty in inventory::iter::<Duty>.into_iter().filter(|duty| duty.scope.includes(cx)) {
            threads.push((duty.name, start_thread(duty, cx.clone())?));
        }
        Ok(Self { stop: cx.stop.clone(), threads })
    }

    /// Waits until every duty has ended. A duty that fails stops the others.
    ///
    /// # Errors
    ///
    /// Returns the error of the first failed duty, in the order in which they were started.
    pub fn join(self) -> Result<(), DutyError> {
        let mut outcome = Ok(());
        for (name, thread) in self.threads {
            let result = thread.join().unwrap_or(Err(DutyError::Panicked { duty: name }));
            outcome = outcome.and(result);
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

/// Stops the daemon when dropped, unless the duty has succeeded. A duty that panics drops it too.
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
