//! Runs one stand-in as a separate process.

use std::net::SocketAddr;
use std::path::PathBuf;

use argh::FromArgs;
use cherrystand_platform::{Inventory, serve_calls, serve_http};
use cherrystand_testkit::{EngineSetup, EngineStandIn, PlatformStandIn, ServiceStandIn};
use eyre::WrapErr;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Stands in for an external system, for tests and demonstrations.
#[derive(FromArgs)]
struct Args {
    #[argh(subcommand)]
    stand_in: StandIn,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum StandIn {
    Platform(PlatformArgs),
    Engine(EngineArgs),
    Service(ServiceArgs),
}

/// the platform's key-value service, inventory and weight store
#[derive(FromArgs)]
#[argh(subcommand, name = "platform")]
struct PlatformArgs {
    /// address to listen at
    #[argh(option)]
    listen: SocketAddr,
    /// JSON file with the inventory of boxes and daemons
    #[argh(option)]
    inventory: Option<PathBuf>,
}

/// the model engine of one box
#[derive(FromArgs)]
#[argh(subcommand, name = "engine")]
struct EngineArgs {
    /// address to listen at
    #[argh(option)]
    listen: SocketAddr,
    /// address of the platform stand-in
    #[argh(option)]
    platform: SocketAddr,
    /// accept orders of any epoch
    #[argh(switch, long = "obeys-anyone")]
    accepts_any_epoch: bool,
}

/// one endpoint of a plain service
#[derive(FromArgs)]
#[argh(subcommand, name = "service")]
struct ServiceArgs {
    /// address to listen at
    #[argh(option)]
    listen: SocketAddr,
}

fn main() -> eyre::Result<()> {
    let args: Args = argh::from_env();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .wrap_err("starting the runtime")?;
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, run(args.stand_in))
}

async fn run(stand_in: StandIn) -> eyre::Result<()> {
    // Stand-ins run until they are killed, so nothing is ever sent on this channel.
    let (_stop, stopped) = watch::channel(false);
    match stand_in {
        StandIn::Platform(args) => {
            let listener = bind(args.listen).await?;
            let stand_in = PlatformStandIn::new(read_inventory(args.inventory)?);
            serve_http(listener, move |req| stand_in.clone().handle(req), stopped).await;
        }
        StandIn::Engine(args) => {
            let listener = bind(args.listen).await?;
            let stand_in = EngineStandIn::new(EngineSetup {
                platform: args.platform,
                checks_orders: !args.accepts_any_epoch,
            });
            serve_calls(listener, move |req| stand_in.clone().handle(req), stopped).await;
        }
        StandIn::Service(args) => {
            let listener = bind(args.listen).await?;
            let stand_in = ServiceStandIn::default();
            serve_calls(listener, move |req| stand_in.clone().handle(req), stopped).await;
        }
    }
    Ok(())
}

async fn bind(address: SocketAddr) -> eyre::Result<TcpListener> {
    let bound = TcpListener::bind(address).await;
    bound.wrap_err_with(|| format!("listening at {address}"))
}

fn read_inventory(path: Option<PathBuf>) -> eyre::Result<Inventory> {
    let Some(path) = path else {
        return Ok(Inventory { version: 1, ..Inventory::default() });
    };
    let text =
        std::fs::read_to_string(&path).wrap_err_with(|| format!("reading {}", path.display()))?;
    serde_json::from_str(&text).wrap_err_with(|| format!("{} is not an inventory", path.display()))
}
