//! The `cherrystandd` executable.

use std::path::PathBuf;
use std::time::Duration;

use argh::FromArgs;
use cherrystand_platform::advance_clock;
use cherrystandd::{DutyContext, Kernel, Metrics, Settings, start_logging};
use eyre::WrapErr;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Serves callers in front of models that span several machines.
#[derive(FromArgs)]
struct Args {
    /// file with the daemon's settings, in TOML
    #[argh(option)]
    settings: PathBuf,
    /// check the settings and exit
    #[argh(switch)]
    check: bool,
}

fn main() -> eyre::Result<()> {
    let args: Args = argh::from_env();
    let settings = Settings::load(&args.settings)?;
    if args.check {
        println!("{}: the settings are sound", args.settings.display());
        return Ok(());
    }
    start_logging();
    let node = settings.node.clone();
    let metrics = Metrics::new().wrap_err("setting up the metrics")?;
    let cx = DutyContext::new(settings, metrics);
    watch_signals(cx.clone()).wrap_err("watching for signals")?;
    let kernel = Kernel::start(&cx)?;
    log::info!(node = node.as_str(); "started");
    kernel.join()?;
    log::info!(node = node.as_str(); "stopped");
    Ok(())
}

/// Waits for a signal, or forever if there is none to wait for.
async fn wait_for(signal: Option<&mut Signal>) {
    match signal {
        Some(signal) => _ = signal.recv().await,
        None => std::future::pending().await,
    }
}

/// Starts a thread that begins a graceful shutdown on SIGTERM or SIGINT.
fn watch_signals(cx: DutyContext) -> std::io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let guard = runtime.enter();
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let suspended = Duration::from_millis(cx.settings.testing.suspended_ms);
    // Without the setting SIGUSR1 keeps its default action, which ends the process.
    let mut suspend = match suspended.is_zero() {
        true => None,
        false => Some(signal(SignalKind::user_defined1())?),
    };
    drop(guard);
    let watch = move || {
        runtime.block_on(async {
            loop {
                tokio::select! {
                    _ = terminate.recv() => return,
                    _ = interrupt.recv() => return,
                    () = wait_for(suspend.as_mut()) => advance_clock(suspended),
                    _ = hangup.recv() => log::info!(
                        "settings changed; they count from the next start"
                    ),
                }
            }
        });
        cx.drain();
    };
    std::thread::Builder::new().name("signals".to_owned()).spawn(watch)?;
    Ok(())
}
