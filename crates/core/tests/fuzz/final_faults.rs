//! Final faults of a mesh with many control hosts: at any moment two disks are lost, and all
//! processes start anew.
//!
//! More seeds: `FIREFLYLUG_FUZZ_SEED=1 FIREFLYLUG_FUZZ_CASES=500 cargo test --release
//! -p fireflylug-core --test fuzz final_faults -- --nocapture`. Each seed is one case.

use std::collections::BTreeMap;
use std::panic::{AssertUnwindSafe, catch_unwind};

use rand::rngs::SmallRng;
use rand::seq::{IndexedRandom, SliceRandom};
use rand::{Rng, SeedableRng};

use crate::control_hosts::{CLIENT_TIMEOUT_MS, JOIN_MS, RECOVERY_MS, VOTERS};
use crate::network::FaultRates;
use crate::oracle::UNITS;
use crate::world::{Layout, World};
use crate::{env_number, panic_text};

/// Number of hosts with a disk.
const CONTROL_HOSTS: usize = 24;

/// Number of hosts without a disk.
const PROXIES: usize = 8;

/// Number of disks that may be lost at the same time.
const TOLERATED_DISKS: usize = 2;

/// Time for which a disk counts as lost after its host is back, in milliseconds.
const CATCH_UP_MS: u64 = 6_000;

/// Step in which a case lets time pass, in milliseconds.
const STEP_MS: u64 = 1;

/// First seed of a CI run.
const CI_FIRST_SEED: u64 = 13;

/// Number of cases in a CI run.
const CI_CASES: u64 = 7;

/// A disruption that precedes or overlaps the final fault.
#[derive(Clone, Copy, Debug)]
enum Trouble {
    /// Processes of voters are down for a while, and their disks stay.
    Down,
    /// Disks are lost.
    LostDisks,
    /// A voter is cut off from all other hosts.
    CutOff,
    /// All processes are killed and start anew.
    KillAll,
    /// All hosts lose power and start anew.
    LosePower,
}

/// When the final fault comes.
#[derive(Clone, Copy, Debug)]
enum Moment {
    /// After a change was sent.
    Sent { after_ms: u64 },
    /// After a change was acknowledged.
    Acknowledged { after_ms: u64 },
    /// After the last trouble began.
    Trouble { after_ms: u64 },
}

/// What happens to the process of a host that keeps its disk.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Outage {
    None,
    Kill,
    LosePower,
    LoseAllUnsynced,
}

/// One case: a mesh, its troubles and its final faults, drawn from a seed.
struct Case {
    world: World,
    rng: SmallRng,
    /// Until when the disk of a host counts as lost, in microseconds.
    lost_until_us: BTreeMap<usize, u64>,
    /// Hosts that are down, and when each starts, in microseconds.
    starts_us: BTreeMap<usize, u64>,
    heals_at_us: Option<u64>,
    next_change_us: u64,
    last_voters: Vec<usize>,
}

impl Case {
    fn new(seed: u64) -> Self {
        let layout = Layout {
            zones: (0..CONTROL_HOSTS + PROXIES).map(|host| host % 8).collect(),
            control_hosts: CONTROL_HOSTS,
            desired_voter_count: Some(VOTERS),
            has_slow_proxies: true,
        };
        let mut world = World::with_layout(seed, &layout);
        world.recovery_syncs_log = env_number("FIREFLYLUG_FUZZ_UNSYNCED_RECOVERY").is_none();
        Self {
            world,
            rng: SmallRng::seed_from_u64(seed),
            lost_until_us: BTreeMap::new(),
            starts_us: BTreeMap::new(),
            heals_at_us: None,
            next_change_us: 0,
            last_voters: vec![0, 1, 2],
        }
    }

    fn play(&mut self) {
        self.slow_down();
        self.grow();
        for _ in 0..self.rng.random_range(1..=2) {
            self.slow_down();
            let troubles = self.rng.random_range(0..=2);
            (0..troubles).for_each(|_| self.begin_trouble());
            self.wait_for_the_moment();
            self.strike();
            self.check_recovered();
        }
    }

    /// Makes links and disks slow, or not, until the network heals.
    fn slow_down(&mut self) {
        self.world.max_sync_us = *[5_000, 20_000, 100_000].choose(&mut self.rng).expect("some");
        let is_lossy = self.rng.random_bool(0.3);
        let fault_rates = FaultRates {
            lost_percent: if is_lossy { 2 } else { 0 },
            duplicated_percent: if is_lossy { 2 } else { 0 },
            max_delay_ms: *[5, 40, 80].choose(&mut self.rng).expect("some"),
        };
        self.world.network.set_fault_rates(fault_rates);
    }

    /// Lets the voter set form and grow. All hosts may lose power meanwhile, but no disk may be
    /// lost.
    fn grow(&mut self) {
        if self.rng.random_bool(0.3) {
            let at_ms = self.rng.random_range(0..3_000);
            self.run_ms(at_ms);
            let trouble =
                *[Trouble::KillAll, Trouble::LosePower].choose(&mut self.rng).expect("some");
            self.begin(trouble);
        }
        self.run_ms(JOIN_MS);
        self.end_troubles();
        self.world.joins_only = true;
    }

    fn begin_trouble(&mut self) {
        let troubles = [
            Trouble::Down,
            Trouble::LostDisks,
            Trouble::LostDisks,
            Trouble::CutOff,
            Trouble::KillAll,
            Trouble::LosePower,
        ];
        let trouble = *troubles.choose(&mut self.rng).expect("some");
        self.begin(trouble);
        let longest_ms = *[300, 3_000, 8_000].choose(&mut self.rng).expect("some");
        let pause_ms = self.rng.random_range(0..longest_ms);
        self.run_ms(pause_ms);
    }

    fn begin(&mut self, trouble: Trouble) {
        self.log(&format!("trouble: {trouble:?}"));
        match trouble {
            Trouble::Down => {
                let count = self.rng.random_range(1..=TOLERATED_DISKS);
                for host in self.some_control_hosts(count) {
                    let down_ms = self.rng.random_range(50..6_000);
                    self.end(host, Outage::Kill, down_ms);
                }
            }
            Trouble::LostDisks => {
                let mut hosts = self.disks_to_lose();
                hosts.truncate(self.rng.random_range(1..=TOLERATED_DISKS));
                for host in hosts {
                    let down_ms = self.rng.random_range(50..4_000);
                    self.lose_disk(host, down_ms);
                }
            }
            Trouble::CutOff => {
                let host = self.some_control_hosts(1)[0];
                self.world.network.isolate(host);
                let cut_ms = self.rng.random_range(500..6_000);
                self.heals_at_us = Some(self.world.now_us + cut_ms * 1_000);
            }
            Trouble::KillAll => self.restart_all(Outage::Kill),
            Trouble::LosePower => self.restart_all(Outage::LosePower),
        }
    }

    fn wait_for_the_moment(&mut self) {
        let moment = match self.rng.random_range(0..3) {
            0 => Moment::Sent { after_ms: self.rng.random_range(0..400) },
            1 => Moment::Acknowledged { after_ms: self.rng.random_range(0..1_000) },
            _ => Moment::Trouble { after_ms: self.rng.random_range(0..4_000) },
        };
        self.log(&format!("moment: {moment:?}"));
        let after_ms = match moment {
            Moment::Sent { after_ms } => {
                self.send_change();
                after_ms
            }
            Moment::Acknowledged { after_ms } => {
                self.wait_for_acknowledgement();
                if after_ms < 500 { after_ms / 50 } else { after_ms }
            }
            Moment::Trouble { after_ms } => after_ms,
        };
        self.run_ms(after_ms);
    }

    /// Waits until a change is acknowledged. A trouble may prevent that.
    fn wait_for_acknowledgement(&mut self) {
        let before = self.world.oracle.newest_accepted();
        let until_us = self.world.now_us + RECOVERY_MS * 1_000;
        self.send_change();
        while self.world.oracle.newest_accepted() == before && self.world.now_us < until_us {
            self.run_ms(STEP_MS);
        }
    }

    /// The final fault.
    fn strike(&mut self) {
        let disks = self.disks_to_lose();
        let disks = if self.rng.random_bool(0.8) { disks } else { Vec::new() };
        let outages = [
            Outage::None,
            Outage::Kill,
            Outage::LosePower,
            Outage::LosePower,
            Outage::LoseAllUnsynced,
            Outage::LoseAllUnsynced,
            Outage::LoseAllUnsynced,
        ];
        let outage = *outages.choose(&mut self.rng).expect("some");
        let voters = self.world.voters_of_leader();
        self.log(&format!(
            "strike: disks of {disks:?}, voters {voters:?}, outage of the others: {outage:?}"
        ));
        for host in disks {
            let down_ms = self.rng.random_range(300..2_000);
            self.lose_disk(host, down_ms);
        }
        if outage != Outage::None {
            self.restart_all(outage);
        }
        self.end_troubles();
    }

    fn check_recovered(&mut self) {
        self.world.run_ms(RECOVERY_MS);
        let hosts = 0..self.world.hosts.len();
        let accepted = self.world.oracle.newest_accepted();
        hosts.clone().for_each(|host| self.world.read(host));
        let host = self.rng.random_range(hosts.clone());
        self.world.put(host, 0, None);
        self.world.run_ms(CLIENT_TIMEOUT_MS);

        let is_open = |host: &usize| self.world.open_requests_of_process(*host) > 0;
        let unanswered: Vec<usize> = hosts.clone().filter(is_open).collect();
        assert!(unanswered.is_empty(), "no answer after the recovery at {unanswered:?}");
        let newest = self.world.oracle.newest_accepted();
        assert!(newest > accepted, "no change is accepted after {accepted}");
        let serving = self.world.serving();
        let behind: Vec<_> = serving.iter().filter(|(_, version)| *version < accepted).collect();
        assert!(behind.is_empty(), "serving by older versions than {accepted}: {behind:?}");
        assert_eq!(serving.len(), hosts.len(), "hosts that serve: {serving:?}");
        let voters = self.world.voters_of_leader().unwrap_or_default();
        assert_eq!(voters.len(), VOTERS, "voters: {voters:?}");
        let state = self.world.hosts[voters[0]].state.as_ref().expect("the leader runs");
        self.world.oracle.check_final(state.distribution().current());
    }

    /// Ends every process at the same moment. They start anew in any order.
    fn restart_all(&mut self, outage: Outage) {
        let down_ms = self.rng.random_range(0..1_000);
        let longest_start_ms = *[100, 500, 4_000].choose(&mut self.rng).expect("some");
        let mut hosts: Vec<usize> = (0..self.world.hosts.len()).collect();
        hosts.shuffle(&mut self.rng);
        for host in hosts {
            let start_ms = down_ms + self.rng.random_range(0..longest_start_ms);
            self.end(host, outage, start_ms);
        }
    }

    /// Ends the process of a host, unless it is down, and lets it start after a while.
    fn end(&mut self, host: usize, outage: Outage, down_ms: u64) {
        if self.world.is_up(host) {
            match outage {
                Outage::None => return,
                Outage::Kill => self.world.kill(host),
                Outage::LosePower => self.world.crash(host),
                Outage::LoseAllUnsynced => self.world.crash_and_lose_unsynced(host),
            }
        } else if outage != Outage::Kill {
            self.world.lose_power_while_down(host, outage == Outage::LoseAllUnsynced);
        }
        let start_us = self.world.now_us + down_ms * 1_000;
        let planned = self.starts_us.entry(host).or_insert(start_us);
        *planned = start_us.max(*planned);
    }

    fn lose_disk(&mut self, host: usize, down_ms: u64) {
        self.end(host, Outage::Kill, down_ms);
        self.world.install_blank_disk(host);
        self.lost_until_us.insert(host, u64::MAX);
    }

    /// Up to as many hosts as may lose their disks now, of which most are voters.
    fn disks_to_lose(&mut self) -> Vec<usize> {
        let now_us = self.world.now_us;
        self.lost_until_us.retain(|_, until_us| *until_us > now_us);
        let allowed = TOLERATED_DISKS.saturating_sub(self.lost_until_us.len());
        let mut hosts = self.some_control_hosts(allowed);
        let lost: Vec<usize> = self.lost_until_us.keys().copied().collect();
        hosts.retain(|host| !lost.contains(host));
        if self.rng.random_bool(0.3) {
            hosts.extend(lost);
        }
        hosts
    }

    fn some_control_hosts(&mut self, count: usize) -> Vec<usize> {
        if let Some(voters) = self.world.voters_of_leader() {
            self.last_voters = voters;
        }
        let aims_at_leader = self.rng.random_bool(0.5);
        let mut hosts = self.last_voters.clone();
        if self.rng.random_bool(0.1) {
            hosts = (0..CONTROL_HOSTS).collect();
        }
        if !aims_at_leader {
            hosts.shuffle(&mut self.rng);
        } else {
            hosts[1..].shuffle(&mut self.rng);
        }
        hosts.truncate(count);
        hosts
    }

    /// Heals the network and waits until every host runs.
    fn end_troubles(&mut self) {
        self.heals_at_us = Some(self.world.now_us);
        while !self.starts_us.is_empty() {
            self.run_ms(STEP_MS);
        }
        self.run_ms(STEP_MS);
    }

    /// Lets time pass. Hosts start as planned, and changes are sent at random.
    fn run_ms(&mut self, ms: u64) {
        let until_us = self.world.now_us + ms * 1_000;
        while self.world.now_us < until_us {
            self.world.run_ms(STEP_MS);
            self.start_due_hosts();
            let now_us = self.world.now_us;
            if self.heals_at_us.is_some_and(|at_us| at_us <= now_us) {
                self.heals_at_us = None;
                self.world.network.heal();
            }
            if self.next_change_us <= now_us {
                self.send_change();
            }
        }
    }

    fn start_due_hosts(&mut self) {
        let now_us = self.world.now_us;
        let is_due = |(_, at_us): &(&usize, &u64)| **at_us <= now_us;
        let due: Vec<usize> = self.starts_us.iter().filter(is_due).map(|(host, _)| *host).collect();
        for host in due {
            self.starts_us.remove(&host);
            self.world.start(host);
            if let Some(until_us) = self.lost_until_us.get_mut(&host) {
                *until_us = self.world.now_us + CATCH_UP_MS * 1_000;
            }
        }
    }

    /// Sends a change to any host that runs.
    fn send_change(&mut self) {
        self.next_change_us = self.world.now_us + self.rng.random_range(20_000..900_000);
        let host = self.rng.random_range(0..self.world.hosts.len());
        let unit = self.rng.random_range(0..UNITS);
        self.world.put(host, unit, None);
    }

    fn log(&self, text: &str) {
        if std::env::var_os("FIREFLYLUG_FUZZ_TRACE").is_some() {
            println!("{} {text}", self.world.now_us);
        }
    }
}

/// Lost disks, together with a restart of everything, could take what was acknowledged with them,
/// or leave no quorum.
#[test]
fn acknowledged_versions_survive_a_final_fault_at_any_moment() {
    let first = env_number("FIREFLYLUG_FUZZ_SEED").unwrap_or(CI_FIRST_SEED);
    let cases = env_number("FIREFLYLUG_FUZZ_CASES").unwrap_or(CI_CASES);

    let outcomes = (first..first + cases).filter_map(|seed| {
        let outcome = catch_unwind(AssertUnwindSafe(|| Case::new(seed).play()));
        let failure = outcome.err().map(|panic| format!("seed {seed}: {}", panic_text(&panic)))?;
        println!("{failure}");
        Some(failure)
    });
    let failures: Vec<String> = outcomes.collect();

    assert!(failures.is_empty(), "{} of {cases} seeds fail: {failures:#?}", failures.len());
}
