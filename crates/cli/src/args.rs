//! Arguments of `fireflylug`, parsed as text first and then validated into a [`Command`].
//!
//! Options may precede or follow the command's name.

use std::net::SocketAddr;
use std::path::PathBuf;

use fireflylug_core::ids::{IdempotencyKey, Name, Version};
use fireflylug_core::resource::{ResourceKey, ResourceKind};
use gumdrop::Options;

use crate::CliError;

/// Default address of the resource API, used by a process without settings.
const DEFAULT_API: &str = "127.0.0.1:7312";
/// Default timeout of `--wait`, in seconds.
const DEFAULT_WAIT_LIMIT_S: u64 = 60;

// Unvalidated arguments. Not a doc comment: gumdrop would print it in the help.
#[derive(Debug, Options)]
struct Args {
    #[options(free)]
    free: Vec<String>,
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "print the version")]
    version: bool,
    #[options(help = "resource API, IP:PORT; repeat it to try several in turn", meta = "ADDRESS")]
    api: Vec<SocketAddr>,
    #[options(no_short, help = "file that holds the shared key of the mesh", meta = "FILE")]
    key_file: Option<String>,
    #[options(help = "table (default) or json", meta = "FORM")]
    output: Option<Output>,
    #[options(help = "wait until the change is in force on every proxy")]
    wait: bool,
    #[options(no_short, help = "timeout of --wait, in seconds (default 60)", meta = "S")]
    wait_limit_s: Option<u64>,
    #[options(no_short, help = "idempotency key of the change", meta = "KEY")]
    key: Option<String>,
    #[options(
        no_short,
        help = "change only if the resource is at this version; 0: must not exist",
        meta = "VERSION"
    )]
    if_version: Option<u64>,
    #[options(no_short, help = "watch events after this version", meta = "VERSION")]
    from: Option<u64>,
    #[options(no_short, help = "read the local state of the process, which may be stale")]
    stale: bool,
    #[options(
        no_short,
        help = "also compare with the configuration in FILE, or read through the API: current",
        meta = "FILE"
    )]
    against: Option<String>,
    #[options(no_short, help = "also write the burn report as an SVG chart", meta = "FILE")]
    svg: Option<String>,
}

/// Output format.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Output {
    /// Tables for people.
    #[default]
    Table,
    /// JSON for programs.
    Json,
}

impl std::str::FromStr for Output {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "table" => Ok(Self::Table),
            "json" => Ok(Self::Json),
            _ => Err("use table or json".to_owned()),
        }
    }
}

/// A validated command.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Command {
    /// Resource APIs to try in turn.
    pub api: Vec<SocketAddr>,
    /// File that holds the shared key.
    pub key_file: Option<PathBuf>,
    /// Output format.
    pub output: Output,
    /// Action to run.
    pub action: Action,
}

/// Action of a command.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Print the help.
    Help,
    /// Print the version.
    Version,
    /// Put the resources of a file.
    Apply(Apply),
    /// Delete a resource.
    Delete(Delete),
    /// Replace a voter by another control replica.
    ReplaceVoter(ReplaceVoter),
    /// Print resources.
    Get(Get),
    /// Check a file before it is sent.
    Check(Check),
    /// Print events.
    Watch {
        /// Version after which events are printed.
        from: Option<Version>,
    },
    /// Print the status.
    Status,
    /// Print the burn report.
    Burn {
        /// File to which a chart is written.
        svg: Option<PathBuf>,
    },
}

/// Options of a change.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ChangeOptions {
    /// Idempotency key.
    pub key: Option<IdempotencyKey>,
    /// Version that the resource must have.
    pub if_version: Option<Version>,
    /// Timeout of the wait until the change is in force, in seconds. None without `--wait`.
    pub wait_limit_s: Option<u64>,
}

/// Put the resources of a file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Apply {
    /// Input file; `-` is standard input.
    pub file: String,
    /// Options of the change.
    pub options: ChangeOptions,
}

/// Delete a resource.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Delete {
    /// Kind and name of the resource.
    pub resource: ResourceKey,
    /// Options of the change.
    pub options: ChangeOptions,
}

/// Replace a voter by another control replica.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReplaceVoter {
    /// Host of the replica that stops voting.
    pub old: Name,
    /// Host of the replica that votes instead.
    pub new: Name,
}

/// Print resources.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Get {
    /// Kind of the resources.
    pub kind: ResourceKind,
    /// Name of one resource. All resources of the kind if absent.
    pub name: Option<Name>,
    /// Whether the local, possibly stale state of the process suffices.
    pub stale: bool,
}

/// Check a file before it is sent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Check {
    /// Input file; `-` is standard input.
    pub file: String,
    /// Configuration to compare with.
    pub against: Option<Against>,
}

/// Configuration to compare a file with.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Against {
    /// The configuration in force, read through the resource API.
    InForce,
    /// The configuration in a file.
    File(String),
}

impl From<&str> for Against {
    fn from(text: &str) -> Self {
        if text == "current" { Self::InForce } else { Self::File(text.to_owned()) }
    }
}

impl Command {
    /// Parses and validates the arguments, which exclude the program name.
    pub fn from_args(args: &[String]) -> Result<Self, CliError> {
        let args = Args::parse_args_default(args).map_err(|e| CliError::Usage(e.to_string()))?;
        let action = parse_action(&args)?;
        let mut api = args.api;
        if api.is_empty() {
            api.extend(DEFAULT_API.parse::<SocketAddr>());
        }
        let key_file = args.key_file.map(PathBuf::from);
        Ok(Self { api, key_file, output: args.output.unwrap_or_default(), action })
    }
}

fn parse_action(args: &Args) -> Result<Action, CliError> {
    if args.help {
        return Ok(Action::Help);
    }
    if args.version {
        return Ok(Action::Version);
    }
    let words: Vec<&str> = args.free.iter().map(String::as_str).collect();
    let action = match words.as_slice() {
        ["help"] => Action::Help,
        ["apply", file] => {
            Action::Apply(Apply { file: (*file).to_owned(), options: parse_change_options(args)? })
        }
        ["delete", kind, name] => Action::Delete(Delete {
            resource: ResourceKey { kind: parse_kind(kind)?, name: parse_name(name)? },
            options: parse_change_options(args)?,
        }),
        ["replace-voter", old, new] => {
            Action::ReplaceVoter(ReplaceVoter { old: parse_name(old)?, new: parse_name(new)? })
        }
        ["get", kind] => {
            Action::Get(Get { kind: parse_kind(kind)?, name: None, stale: args.stale })
        }
        ["get", kind, name] => Action::Get(Get {
            kind: parse_kind(kind)?,
            name: Some(parse_name(name)?),
            stale: args.stale,
        }),
        ["check", file] => Action::Check(Check {
            file: (*file).to_owned(),
            against: args.against.as_deref().map(Against::from),
        }),
        ["watch"] => Action::Watch { from: args.from.map(Version) },
        ["status"] => Action::Status,
        ["burn"] => Action::Burn { svg: args.svg.clone().map(PathBuf::from) },
        [] => return Err(CliError::Usage("a command is missing".to_owned())),
        words => return Err(CliError::Usage(format!("{:?} is not a command", words.join(" ")))),
    };
    check_options(args, &action)?;
    Ok(action)
}

/// Rejects options that the command would ignore.
fn check_options(args: &Args, action: &Action) -> Result<(), CliError> {
    let is_change = matches!(action, Action::Apply(_) | Action::Delete(_));
    let is_watch = matches!(action, Action::Watch { .. });
    let is_get = matches!(action, Action::Get(_));
    let is_check = matches!(action, Action::Check(_));
    let is_burn = matches!(action, Action::Burn { .. });
    let options = [
        ("--wait", args.wait, is_change),
        ("--wait-limit-s", args.wait_limit_s.is_some(), is_change && args.wait),
        ("--key", args.key.is_some(), is_change),
        ("--if-version", args.if_version.is_some(), is_change),
        ("--from", args.from.is_some(), is_watch),
        ("--stale", args.stale, is_get),
        ("--against", args.against.is_some(), is_check),
        ("--svg", args.svg.is_some(), is_burn),
    ];
    match options.iter().find(|(_, is_given, applies)| *is_given && !applies) {
        Some((option, ..)) => {
            Err(CliError::Usage(format!("{option} does not apply to this command")))
        }
        None => Ok(()),
    }
}

fn parse_change_options(args: &Args) -> Result<ChangeOptions, CliError> {
    let key = args.key.as_ref().map(IdempotencyKey::new).transpose();
    let limit_s = args.wait_limit_s.unwrap_or(DEFAULT_WAIT_LIMIT_S);
    Ok(ChangeOptions {
        key: key.map_err(|error| CliError::Usage(format!("--key: {error}")))?,
        if_version: args.if_version.map(Version),
        wait_limit_s: args.wait.then_some(limit_s),
    })
}

fn parse_kind(text: &str) -> Result<ResourceKind, CliError> {
    match text {
        "service" | "services" => Ok(ResourceKind::Service),
        "route" | "routes" => Ok(ResourceKind::Route),
        "policy" | "policies" => Ok(ResourceKind::Policy),
        "limits" => Ok(ResourceKind::Limits),
        "release" | "releases" => Ok(ResourceKind::Release),
        "organisation" | "organisations" => Ok(ResourceKind::Organisation),
        _ => Err(CliError::Usage(format!(
            "{text:?} is not a kind; use service, route, policy, limits or organisation"
        ))),
    }
}

fn parse_name(text: &str) -> Result<Name, CliError> {
    Name::new(text).map_err(|error| CliError::Usage(error.to_string()))
}

/// Returns the help text.
pub fn help() -> String {
    format!(
        "fireflylug: declare services, routes and policies, and track when they are in force\n\n\
         Usage: fireflylug COMMAND [OPTIONS]\n\n\
         Commands:\n  \
         apply FILE          put resources from JSON: one, a list, or a change set; - is stdin\n  \
         check FILE          report mistakes in a file before it is applied\n  \
         delete KIND NAME    delete a resource\n  \
         get KIND [NAME]     show resources; KIND is service, route, policy or organisation\n  \
         watch               print events as JSON lines until interrupted\n  \
         status              show the mesh as seen by one process\n  \
         burn                show the service-level burn report\n  \
         replace-voter OLD NEW   make the control replica on host NEW a voter instead of OLD\n\n\
         {}\n\n\
         Examples:\n  \
         fireflylug apply routes.json --wait\n  \
         echo '{{\"kind\":\"service\",\"name\":\"seatdesk\"}}' | fireflylug apply - --if-version 0\n  \
         fireflylug check routes.json --against current\n  \
         fireflylug get routes --output json\n  \
         fireflylug watch --from 41 --api 10.0.0.1:7312 --api 10.0.0.2:7312\n  \
         fireflylug burn --svg burn.svg\n  \
         fireflylug replace-voter aluva-1 aluva-5\n\n\
         Exit status: 0 done, 1 refused or errors found, 2 wrong arguments or input, 3 outcome\n\
         unknown (resend with the same --key), 4 no resource API reachable, 5 accepted but not in\n\
         force in time",
        options_help()
    )
}

/// Returns gumdrop's list of options without its usage line.
fn options_help() -> &'static str {
    let usage = Args::usage();
    usage.find("Optional arguments:").map_or(usage, |start| &usage[start..])
}
