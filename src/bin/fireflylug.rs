//! The command-line client of the resource API.

use std::process::ExitCode;

fn main() -> ExitCode {
    fireflylug_cli::main()
}
