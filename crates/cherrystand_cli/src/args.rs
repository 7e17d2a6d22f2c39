//! The command line arguments.

use std::net::SocketAddr;
use std::path::PathBuf;

use argh::FromArgs;

/// Plans and confirms configuration changes, and shows the state of cherrystand.
///
/// Exit codes: 0 success; 1 a file or the command line is invalid; 2 the request was rejected; 3 the
/// change conflicts with another one; 4 the daemon or the platform is unreachable and nothing was
/// changed; 5 the change may have taken effect.
#[derive(FromArgs)]
pub(crate) struct Args {
    /// operator address of any daemon
    #[argh(option, default = "default_address()")]
    pub(crate) at: SocketAddr,
    /// print the answer as JSON
    #[argh(switch)]
    pub(crate) json: bool,
    #[argh(subcommand)]
    pub(crate) command: Command,
}

fn default_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 8081))
}

#[derive(FromArgs)]
#[argh(subcommand)]
pub(crate) enum Command {
    Plan(Plan),
    Confirm(Confirm),
    Plans(Plans),
    Get(Get),
    Status(Status),
    Explain(Explain),
    History(History),
    Drain(Drain),
    Zones(Zones),
}

/// show what applying a workspace's configuration would change
#[derive(FromArgs)]
#[argh(subcommand, name = "plan")]
pub(crate) struct Plan {
    /// the configuration file, in TOML
    #[argh(positional)]
    pub(crate) file: PathBuf,
}

/// apply a plan
#[derive(FromArgs)]
#[argh(subcommand, name = "confirm")]
pub(crate) struct Confirm {
    /// the id of the plan
    #[argh(positional)]
    pub(crate) plan: String,
}

/// list the plans that await confirmation
#[derive(FromArgs)]
#[argh(subcommand, name = "plans")]
pub(crate) struct Plans {}

/// show the active configuration of a workspace
#[derive(FromArgs)]
#[argh(subcommand, name = "get")]
pub(crate) struct Get {
    /// the name of the workspace
    #[argh(positional)]
    pub(crate) workspace: String,
}

/// show groups, replicas, boxes and daemons
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub(crate) struct Status {}

/// explain the decisions about a replica or a request
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
pub(crate) struct Explain {
    /// a replica (WORKSPACE/GROUP/SLOT), or the id of a request that this daemon received
    #[argh(positional)]
    pub(crate) name: String,
}

/// list the accepted changes
#[derive(FromArgs)]
#[argh(subcommand, name = "history")]
pub(crate) struct History {}

/// drain the daemon and stop it
#[derive(FromArgs)]
#[argh(subcommand, name = "drain")]
pub(crate) struct Drain {}

/// list the evacuated availability zones and the cold endpoints, if the daemon serves routes
#[derive(FromArgs)]
#[argh(subcommand, name = "zones")]
pub(crate) struct Zones {}
