//! Sends mixed traffic to daemons and checks every answer.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;

use argh::FromArgs;
use cherrystand_testkit::{Caller, Mix, check_executions, send_mix};
use eyre::WrapErr;

/// Sends mixed traffic to daemons and checks every answer against its own request.
#[derive(FromArgs)]
struct Args {
    /// address of a daemon; may be given several times
    #[argh(option)]
    daemon: Vec<SocketAddr>,
    /// address of a plain service whose executions are checked; may be given several times
    #[argh(option)]
    service: Vec<SocketAddr>,
    /// address of an engine whose executions are checked; may be given several times
    #[argh(option)]
    engine: Vec<SocketAddr>,
    /// requests per second
    #[argh(option, default = "100")]
    rate: u64,
    /// duration in seconds
    #[argh(option, default = "10")]
    seconds: u64,
    /// name of the requested model
    #[argh(option, default = "String::from(\"captioner\")")]
    model: String,
    /// name at the start of the summary line
    #[argh(option, default = "String::from(\"load\")")]
    name: String,
}

fn main() -> eyre::Result<ExitCode> {
    let args: Args = argh::from_env();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .wrap_err("starting the runtime")?;
    let local = tokio::task::LocalSet::new();
    Ok(local.block_on(&runtime, run(args)))
}

async fn run(args: Args) -> ExitCode {
    let caller = Rc::new(Caller::new(args.daemon));
    let balancer = caller.clone();
    tokio::task::spawn_local(async move { balancer.watch_readiness().await });
    let mix = Mix {
        rate: args.rate,
        seconds: args.seconds,
        model: args.model,
        service: "/consent".to_owned(),
    };
    let name = args.name;
    let outcome = send_mix(caller, &mix, |tally| println!("  ... {}", tally.summary())).await;
    let mut faults = outcome.faults.clone();
    faults.extend(check_executions(&outcome, &args.service, &args.engine).await);
    for (reason, count) in &outcome.tally.reasons {
        println!("  refused {count} for {reason}");
    }
    for fault in &faults {
        println!("  FAULT {fault}");
    }
    println!("{name}: {}", outcome.tally.summary());
    if faults.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
