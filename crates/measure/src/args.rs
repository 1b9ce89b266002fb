//! Arguments of the tool: parsed raw, then checked into [`Options`].

use std::str::FromStr;

use eyre::eyre;
use gumdrop::Options as GumdropOptions;
use strum::VariantNames;

/// Seed if none is given.
const DEFAULT_SEED: u64 = 1;

/// Arguments as given on the command line.
#[derive(Debug, GumdropOptions)]
pub struct RawArgs {
    /// Print this help.
    #[options(short = "h")]
    pub help: bool,
    /// Print one JSON object instead of a table.
    #[options(no_short)]
    pub json: bool,
    /// Seed of every random choice.
    #[options(no_short, meta = "N")]
    pub seed: Option<u64>,
    /// Measurement to run.
    #[options(free)]
    pub name: Option<String>,
}

/// A measurement that the tool can run.
#[derive(
    Clone, Copy, Debug, Eq, PartialEq, strum::Display, strum::EnumString, strum::VariantNames,
)]
#[strum(serialize_all = "kebab-case")]
pub enum Measurement {
    /// Time from acceptance to in force everywhere.
    Convergence,
    /// Bytes of a change across the link between regions.
    Bytes,
    /// Traffic, memory and processor time of an idle mesh.
    Idle,
    /// Half of the proxies killed and restarted at once.
    Storm,
    /// Time to catch up after many missed changes.
    Catchup,
    /// Time to accept a change after losing the leader.
    Failover,
    /// Time added to a call.
    AddedLatency,
    /// Goodput under load above capacity.
    Overload,
    /// Calls while one target is stalled.
    Stall,
    /// Amplification of calls through a chain of services.
    Chain,
    /// Calls while every process and target is restarted in turn.
    Rolling,
    /// Calls that may not be repeated, under faults.
    Payments,
    /// Which targets an ingress chooses, in simulated time.
    Selection,
}

/// Checked options of one run.
#[derive(Clone, Debug)]
pub struct Options {
    /// Measurement to run.
    pub measurement: Measurement,
    /// Whether to print JSON.
    pub json: bool,
    /// Seed of every random choice.
    pub seed: u64,
}

impl Options {
    /// Checks raw arguments.
    pub fn from_raw(raw: &RawArgs) -> eyre::Result<Self> {
        let known = Measurement::VARIANTS.join(", ");
        let name = raw.name.as_deref();
        let name = name.ok_or_else(|| eyre!("NAME is missing: give one of {known}"))?;
        let measurement = Measurement::from_str(name)
            .map_err(|_| eyre!("{name:?} is not a measurement: give one of {known}"))?;
        Ok(Self { measurement, json: raw.json, seed: raw.seed.unwrap_or(DEFAULT_SEED) })
    }
}
