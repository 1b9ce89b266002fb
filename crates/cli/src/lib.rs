//! The command-line client of the resource API.
//!
//! [`main`] is the whole program `fireflylug`: [`args`] parses the arguments into
//! a command, [`client`] sends requests to the resource API, and the commands are
//! implemented in further modules. The resource API is its only interface to the
//! mesh.

pub mod args;
pub mod burn;
mod change;
pub mod check;
pub mod client;
mod error;
mod input;
mod output;
mod read;
mod watch;

use std::process::ExitCode;

use args::{Action, Command};
pub use change::send_change;
use client::Client;
pub use error::{CliError, ExitStatus};
pub use input::change_set;

/// Runs the client with the command-line arguments of the process.
pub fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    match run(&args) {
        Ok(()) | Err(CliError::OutputClosed) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("fireflylug: {error}");
            ExitCode::from(error.exit_status() as u8)
        }
    }
}

fn run(args: &[String]) -> Result<(), CliError> {
    let command = Command::from_args(args)?;
    match command.action {
        Action::Help => return output::line(&args::help()),
        Action::Version => return output::line(concat!("fireflylug ", env!("CARGO_PKG_VERSION"))),
        _ => {}
    }
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| CliError::Failed(format!("cannot create the async runtime: {error}")))?;
    runtime.block_on(execute(command))
}

async fn execute(command: Command) -> Result<(), CliError> {
    let mut client = Client::new(command.api, command.key_file.as_deref())?;
    let output = command.output;
    match command.action {
        Action::Apply(apply) => change::apply(&mut client, apply, output).await,
        Action::Delete(delete) => change::delete(&mut client, delete, output).await,
        Action::ReplaceVoter(replace) => change::replace_voter(&mut client, replace, output).await,
        Action::Get(get) => read::get(&mut client, &get, output).await,
        Action::Check(check) => check::check(&mut client, &check, output).await,
        Action::Status => read::status(&mut client, output).await,
        Action::Burn { svg } => burn::burn(&mut client, svg.as_deref(), output).await,
        Action::Watch { from } => watch::print_events(&mut client, from).await,
        Action::Help | Action::Version => Ok(()),
    }
}
