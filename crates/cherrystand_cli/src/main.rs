//! The command `cherrystand`, with which operators plan and confirm changes and inspect the system.

mod args;
mod cli_error;
mod client;
mod render;

use std::process::ExitCode;

use crate::args::{Args, Command};
use crate::cli_error::CliError;
use crate::client::Client;

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    match run(&args) {
        Ok(text) => {
            println!("{text}");
            ExitCode::SUCCESS
        }
        Err(err) => {
            eprintln!("cherrystand: {err}");
            ExitCode::from(err.exit_code())
        }
    }
}

fn run(args: &Args) -> Result<String, CliError> {
    let client = Client::new(args.at)?;
    let value = match &args.command {
        Command::Plan(plan) => {
            let text = std::fs::read_to_string(&plan.file)
                .map_err(|source| CliError::ReadFile { file: plan.file.clone(), source })?;
            client.post("plan", text)?
        }
        Command::Confirm(confirm) => {
            client.post(&format!("confirm/{}", confirm.plan), String::new())?
        }
        Command::Plans(_) => client.get("plans")?,
        Command::Get(get) => client.get(&format!("config/{}", get.workspace))?,
        Command::Status(_) => client.get("status")?,
        Command::Explain(explain) => client.get(&format!("explain/{}", explain.name))?,
        Command::History(_) => client.get("history")?,
        Command::Drain(_) => client.post("drain", String::new())?,
        Command::Zones(_) => client.get("zones")?,
    };
    if args.json {
        return Ok(value.to_string());
    }
    Ok(render::to_text(&args.command, &value))
}
