//! The daemon: one process per host.

use std::process::ExitCode;

fn main() -> ExitCode {
    fireflylug_daemon::main()
}
