//! The daemon: one process a host.

use std::process::ExitCode;

fn main() -> ExitCode {
    fireflylug_daemon::main()
}
