//! The whole state of a process.

use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::api::Api;
use crate::consensus::{ControlReplica, ControlSettings, RecoveredDisk};
use crate::context::Identity;
use crate::distribution::{Distribution, DistributionSettings};
use crate::membership::{Membership, MembershipSettings};
use crate::quota::Quotas;
use crate::routing::{Routing, RoutingSettings};
use crate::slo::Slo;
use crate::time::Instant;

/// Settings of every part of the reducer.
#[derive(Clone, Debug, Default)]
pub struct CoreSettings {
    /// Hosts and targets.
    pub membership: MembershipSettings,
    /// Distribution of versions to proxies.
    pub distribution: DistributionSettings,
    /// Calls.
    pub routing: RoutingSettings,
    /// The control replica. `None` if the process is not one.
    pub control: Option<ControlSettings>,
}

/// The whole state of a process. Changed only by [`crate::reduce`].
pub struct State {
    pub(crate) me: Identity,
    pub(crate) rng: SmallRng,
    pub(crate) control: Option<ControlReplica>,
    pub(crate) membership: Membership,
    pub(crate) distribution: Distribution,
    pub(crate) routing: Routing,
    pub(crate) slo: Slo,
    pub(crate) quotas: Quotas,
    pub(crate) api: Api,
    pub(crate) is_stopping: bool,
    /// Whether the stop was announced to the other processes.
    pub(crate) is_stop_announced: bool,
    pub(crate) has_exited: bool,
}

impl State {
    /// Creates the state of a process that just started.
    ///
    /// `recovered` is the content of the disk. It is ignored unless `settings.control`
    /// is present. `seed` initialises the random number generator.
    pub fn new(me: Identity, settings: CoreSettings, recovered: RecoveredDisk, seed: u64) -> Self {
        let control =
            settings.control.map(|control| ControlReplica::new(control, recovered, Instant::ZERO));
        Self {
            rng: SmallRng::seed_from_u64(seed),
            control,
            membership: Membership::new(settings.membership, &me),
            distribution: Distribution::new(settings.distribution),
            routing: Routing::new(settings.routing),
            slo: Slo::new(),
            quotas: Quotas::new(),
            api: Api::new(),
            is_stopping: false,
            is_stop_announced: false,
            has_exited: false,
            me,
        }
    }

    /// When the next [`crate::Event::Tick`] is due.
    pub fn next_deadline(&self) -> Instant {
        let parts = [
            self.membership.next_deadline(),
            self.distribution.next_deadline(),
            self.routing.next_deadline(),
            self.slo.next_deadline(),
            self.quotas.next_deadline(),
            self.api.next_deadline(),
        ];
        let control = self.control.as_ref().map_or(Instant::NEVER, ControlReplica::next_deadline);
        parts.into_iter().fold(control, Instant::min)
    }

    /// Identity of this process.
    pub fn identity(&self) -> &Identity {
        &self.me
    }

    /// Distribution of versions.
    pub fn distribution(&self) -> &Distribution {
        &self.distribution
    }

    /// Hosts and targets.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Calls.
    pub fn routing(&self) -> &Routing {
        &self.routing
    }

    /// Quotas of organisations.
    pub fn quotas(&self) -> &Quotas {
        &self.quotas
    }

    /// The control replica. `None` if this process is not one.
    pub fn control(&self) -> Option<&ControlReplica> {
        self.control.as_ref()
    }

    /// Whether a graceful stop was requested.
    pub fn is_stopping(&self) -> bool {
        self.is_stopping
    }
}
