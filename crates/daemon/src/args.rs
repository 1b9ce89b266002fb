//! Command-line arguments of `fireflylugd`, parsed and validated into a [`Command`].

use std::path::PathBuf;

use gumdrop::Options;

// Parsed arguments before validation. A doc comment would appear in the help text.
#[derive(Debug, Options)]
struct Args {
    #[options(help = "print this help")]
    help: bool,

    #[options(no_short, help = "print the version")]
    version: bool,

    #[options(help = "run with these settings", meta = "FILE")]
    config: Option<String>,

    #[options(
        no_short,
        help = "check these settings, report every finding, and exit",
        meta = "FILE"
    )]
    check_config: Option<String>,
}

/// Action that the arguments select.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Command {
    /// Print the help.
    Help,
    /// Print the version.
    Version,
    /// Check a settings file.
    CheckConfig(PathBuf),
    /// Run with a settings file, or as a mesh of one process.
    Run(Option<PathBuf>),
}

impl Command {
    /// Parses the arguments without the program name.
    pub fn from_args(args: &[String]) -> eyre::Result<Self> {
        let args = Args::parse_args_default(args)
            .map_err(|error| eyre::eyre!("{error}; see fireflylugd --help"))?;
        match args {
            Args { help: true, .. } => Ok(Self::Help),
            Args { version: true, .. } => Ok(Self::Version),
            Args { check_config: Some(_), config: Some(_), .. } => {
                Err(eyre::eyre!("--check-config and --config cannot be combined; use one of them"))
            }
            Args { check_config: Some(file), .. } => Ok(Self::CheckConfig(file.into())),
            Args { config, .. } => Ok(Self::Run(config.map(PathBuf::from))),
        }
    }
}

/// Returns the help text.
pub fn help() -> String {
    format!(
        "fireflylugd: the daemon of fireflylug, one process a host\n\n\
         Usage: fireflylugd [--config FILE | --check-config FILE]\n\n\
         {}\n\n\
         Without arguments it runs a mesh of one on loopback: a control replica with its\n\
         data in ./fireflylug-data, the resource API at 127.0.0.1:7312 and calls at\n\
         127.0.0.1:7313. SIGTERM and SIGINT stop it gracefully.\n\n\
         Examples:\n  \
         fireflylugd\n  \
         fireflylugd --config /etc/fireflylug/fireflylugd.ini\n  \
         fireflylugd --check-config /etc/fireflylug/fireflylugd.ini\n\n\
         Exit status: 0 stopped gracefully, 1 failed, 2 wrong arguments or settings,\n\
         3 stopped, but the limit of [stop] limit_ms cut off what was in flight",
        Args::usage()
    )
}
