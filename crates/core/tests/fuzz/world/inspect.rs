//! What the processes show of their state.

use fireflylug_core::consensus::{ControlRole, VoterSet};
use fireflylug_core::ids::{NodeId, RequestId, Version};
use fireflylug_core::{Instant, State};

use super::{PendingRequest, World};

impl World {
    /// Role of the control replica of a host; none at a host without one.
    pub fn control_role(&self, host: usize) -> Option<ControlRole> {
        let host = &self.hosts[host];
        let now = Instant::from_us(self.now_us - host.started_us);
        Some(host.state.as_ref()?.control()?.status(host.id, now).role)
    }

    /// The hosts that vote, by the replica of the first host; the leader that it follows comes first.
    pub fn voters(&self) -> Vec<usize> {
        let host = &self.hosts[0];
        let control = host.state.as_ref().and_then(State::control).expect("a control host");
        let status = control.status(host.id, Instant::from_us(self.now_us - host.started_us));
        self.voting_hosts(&status.voters, status.leader)
    }

    /// The hosts that vote, by the leader of the newest term, which comes first. None without a
    /// leader.
    pub fn voters_of_leader(&self) -> Option<Vec<usize>> {
        let statuses = self.hosts.iter().enumerate().filter_map(|(index, host)| {
            let now = Instant::from_us(self.now_us - host.started_us);
            Some((index, host.state.as_ref()?.control()?.status(host.id, now)))
        });
        let leaders = statuses.filter(|(_, status)| status.role == ControlRole::Leader);
        let (leader, status) = leaders.max_by_key(|(_, status)| status.term)?;
        Some(self.voting_hosts(&status.voters, Some(self.hosts[leader].id)))
    }

    /// The hosts of a voter set, the leader first.
    fn voting_hosts(&self, voters: &VoterSet, leader: Option<NodeId>) -> Vec<usize> {
        let is_voter = |index: &usize| voters.disk_of(self.hosts[*index].id).is_some();
        let mut voting: Vec<usize> = (0..self.hosts.len()).filter(is_voter).collect();
        voting.sort_by_key(|index| leader != Some(self.hosts[*index].id));
        voting
    }

    /// Whether a host counts as cut off from the control plane.
    pub fn is_cut_off_from_control(&self, host: usize) -> bool {
        let host = &self.hosts[host];
        let now = Instant::from_us(self.now_us - host.started_us);
        let distribution = host.state.as_ref().map(State::distribution);
        distribution.is_some_and(|distribution| distribution.cut_off_since(now, false).is_some())
    }

    /// Changes and reads sent to a host that have no outcome or answer.
    pub fn open_requests(&self, host: usize) -> usize {
        let of_host =
            self.pending_requests.range((host, 0, RequestId(0))..(host + 1, 0, RequestId(0)));
        let counts = |pending: &PendingRequest| {
            matches!(pending, PendingRequest::Change(_) | PendingRequest::Read(_))
        };
        of_host.filter(|(_, pending)| counts(pending)).count()
    }

    /// Changes and reads sent to the present process of a host that have no outcome or answer.
    pub fn open_requests_of_process(&self, host: usize) -> usize {
        let epoch = self.hosts[host].epoch;
        let of_process = self
            .pending_requests
            .range((host, epoch, RequestId(0))..(host, epoch + 1, RequestId(0)));
        of_process.count()
    }

    /// The hosts with an open watch, and the newest version that each reported as accepted.
    pub fn watched_versions(&self) -> Vec<(usize, Version)> {
        let watches =
            self.pending_requests.iter().filter_map(|((host, ..), pending)| match pending {
                PendingRequest::Watch(version) => Some((*host, *version)),
                _ => None,
            });
        watches.collect()
    }

    /// Version by which a host that is up serves calls. A host that is not ready has none, also if
    /// its disk holds one.
    pub fn serving_version(&self, host: usize) -> Version {
        let held = self.hosts[host].state.as_ref().expect("the host is up").distribution();
        if held.is_ready() { held.current().version() } else { Version(0) }
    }

    /// Hosts that may serve calls, with the version by which they serve.
    pub fn serving(&self) -> Vec<(usize, Version)> {
        let hosts = self.hosts.iter().enumerate();
        hosts
            .filter_map(|(index, host)| {
                let held = host.state.as_ref()?.distribution();
                held.is_ready().then(|| (index, held.current().version()))
            })
            .collect()
    }
}
