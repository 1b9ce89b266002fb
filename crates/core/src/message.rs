//! Messages between processes, one variant for each part of the reducer.

use serde::{Deserialize, Serialize};

use crate::api::ApiMessage;
use crate::consensus::ConsensusMessage;
use crate::distribution::DistributionMessage;
use crate::membership::MembershipMessage;
use crate::quota::QuotaMessage;
use crate::routing::RoutingMessage;
use crate::slo::SloMessage;

/// A message between processes.
#[derive(Clone, Debug, Serialize, Deserialize, strum::IntoStaticStr)]
#[strum(serialize_all = "lowercase")]
pub enum PeerMessage {
    /// Messages between control replicas.
    Consensus(ConsensusMessage),
    /// Configuration versions and acknowledgements.
    Distribution(DistributionMessage),
    /// Hosts and targets.
    Membership(MembershipMessage),
    /// Requests of operators forwarded to the leader, and their responses.
    Api(ApiMessage),
    /// Counts for the service-level burn report.
    Slo(SloMessage),
    /// Contents of calls that end their targets.
    Routing(RoutingMessage),
    /// Usage and admission fractions of organisations.
    Quota(QuotaMessage),
}

macro_rules! into_peer_message {
    ($($variant:ident($message:ty)),* $(,)?) => {
        $(impl From<$message> for PeerMessage {
            fn from(message: $message) -> Self {
                Self::$variant(message)
            }
        })*
    };
}

into_peer_message! {
    Consensus(ConsensusMessage),
    Distribution(DistributionMessage),
    Membership(MembershipMessage),
    Api(ApiMessage),
    Slo(SloMessage),
    Routing(RoutingMessage),
    Quota(QuotaMessage),
}

/// Whether a field has its default value and is left out of a message.
pub(crate) fn is_zero<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}
