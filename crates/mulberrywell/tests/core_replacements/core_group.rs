//! A group of control instances whose machines are replaced and lose their disks.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use mulberrywell_platform_testkit::FakeOperator;
use mulberrywell_testkit::{free_port, wait_until, ProcessSet};
use nix::sys::signal::Signal;

use crate::common::binaries;
use crate::common::serving_deployment::config;

/// Time after its start from which on a new or emptied instance doesn't count as lost.
pub const CATCH_UP_TIME: Duration = Duration::from_secs(4);

/// Time after the return of all lost instances within which service resumes.
const RECOVERY_LIMIT: Duration = Duration::from_secs(12);

/// Time for which an instance that loses its disk is down.
const DOWN_TIME: Duration = Duration::from_millis(1_200);

/// Number of instances whose addresses are the seeds of all.
const SEEDS: usize = 3;

pub type MachineIdx = usize;

/// Running control instances, each with a data folder of its own.
pub struct CoreGroup {
    processes: ProcessSet,
    seeds: Vec<SocketAddr>,
    serving: Vec<SocketAddr>,
    losses_max: usize,
    /// Instances that have not been removed.
    pub machines: BTreeSet<MachineIdx>,
    /// Version of the last acknowledged configuration.
    version: u64,
}

impl CoreGroup {
    /// Starts a group and waits until it accepts a configuration and all have caught up.
    pub fn spawn(disks: usize) -> Self {
        let seeds: Vec<SocketAddr> = (0..SEEDS).map(|_| free_port().unwrap()).collect();
        let mut group = CoreGroup {
            processes: ProcessSet::open().unwrap(),
            seeds,
            serving: Vec::new(),
            losses_max: Self::losses_max(disks),
            machines: BTreeSet::new(),
            version: 0,
        };
        for _ in 0..disks {
            group.start_machine(true);
        }
        group.put();
        thread::sleep(CATCH_UP_TIME);
        group
    }

    /// Returns how many of a number of instances may be lost for good at the same time.
    pub fn losses_max(disks: usize) -> usize {
        if disks < 5 {
            1
        } else {
            2
        }
    }

    fn start_machine(&mut self, bootstrap: bool) -> MachineIdx {
        let idx = self.serving.len();
        let seed = self.seeds.get(idx).copied();
        let listen = seed.unwrap_or_else(|| free_port().unwrap());
        let serving = free_port().unwrap();
        let seeds: Vec<String> = self.seeds.iter().map(|it| format!("\"{it}\"")).collect();
        let name = name_of(idx);
        let text = format!(
            "[instance]\nname = \"{name}\"\nzone = \"zone-a\"\nregion = \"region-a\"\n\
             listen = \"{listen}\"\ntrusted_network = true\nseeds = [{}]\n\
             [control]\nserving_listen = \"{serving}\"\ndata_folder = \"{}\"\n\
             bootstrap = {bootstrap}\nfirst_seed_founds = true\nopen_membership = true\n\
             losses_max = {}\n",
            seeds.join(", "),
            self.processes.path(&data_of(idx)).display(),
            self.losses_max
        );
        let binary = binaries().serve;
        self.processes
            .start(&name, &binary, &["serve"], &text)
            .unwrap();
        self.serving.push(serving);
        self.machines.insert(idx);
        idx
    }

    /// Adds an instance with an empty disk.
    pub fn add(&mut self) -> MachineIdx {
        self.start_machine(false)
    }

    /// Adds an instance with an empty disk and gives it the time to catch up.
    pub fn add_successor(&mut self) -> MachineIdx {
        let idx = self.add();
        thread::sleep(CATCH_UP_TIME);
        idx
    }

    /// Ends an instance's process; its disk stays.
    pub fn stop(&mut self, idx: MachineIdx, signal: Signal) {
        self.processes.signal(&name_of(idx), signal).unwrap();
        self.processes.wait(&name_of(idx)).unwrap();
    }

    /// Removes an instance for good: its process ends and its disk is gone.
    pub fn remove(&mut self, idx: MachineIdx, signal: Signal) {
        self.stop(idx, signal);
        std::fs::remove_dir_all(self.processes.path(&data_of(idx))).unwrap();
        self.machines.remove(&idx);
    }

    /// Kills instances at the same time; their disks are empty when they return.
    pub fn lose_disks(&mut self, lost: &[MachineIdx]) {
        self.kill_and_return(lost, lost);
    }

    /// Kills all instances at the same time; the disks of some are empty when they return.
    pub fn lose_disks_and_power(&mut self, lost: &[MachineIdx]) {
        let all: Vec<MachineIdx> = self.machines.iter().copied().collect();
        self.kill_and_return(&all, lost);
    }

    fn kill_and_return(&mut self, killed: &[MachineIdx], lost: &[MachineIdx]) {
        for idx in killed {
            self.processes
                .signal(&name_of(*idx), Signal::SIGKILL)
                .unwrap();
        }
        for idx in killed {
            self.processes.wait(&name_of(*idx)).unwrap();
        }
        for idx in lost {
            std::fs::remove_dir_all(self.processes.path(&data_of(*idx))).unwrap();
        }
        thread::sleep(DOWN_TIME);
        for idx in killed {
            self.restart(*idx);
        }
    }

    /// Starts an instance again that isn't running.
    pub fn restart(&mut self, idx: MachineIdx) {
        let name = name_of(idx);
        let founded = |text: &str| text.replace("bootstrap = true", "bootstrap = false");
        self.processes.edit_settings(&name, founded).unwrap();
        self.processes.restart(&name).unwrap();
    }

    /// Returns the instance that became leader in the greatest term.
    pub fn leader(&self) -> MachineIdx {
        let terms = (0..self.serving.len()).filter_map(|idx| {
            let log = self.processes.log(&name_of(idx));
            let (_, last) = log.rsplit_once("became leader in term ")?;
            let digits = last.split(|it: char| !it.is_ascii_digit()).next()?;
            Some((digits.parse::<u64>().ok()?, idx))
        });
        terms.max().expect("there was a leader").1
    }

    /// Returns the instances that are neither the leader nor one of `others`.
    pub fn followers(&self, others: &[MachineIdx]) -> Vec<MachineIdx> {
        let leader = self.leader();
        let machines = self.machines.iter().copied();
        machines
            .filter(|idx| *idx != leader && !others.contains(idx))
            .collect()
    }

    fn operator(&self) -> FakeOperator {
        let serving = self.machines.iter().map(|idx| self.serving[*idx]);
        FakeOperator::new(serving.collect())
    }

    /// Puts the next configuration in force; it is acknowledged.
    pub fn put(&mut self) {
        let next = config(self.version + 1);
        let operator = self.operator();
        wait_until("a configuration is acknowledged", || operator.put(&next)).unwrap();
        self.version = next.version;
    }

    /// Checks that the last acknowledged configuration is read back within the time for
    /// recovery, that no instance shows an older one, and that the next one is accepted.
    pub fn check_recovered(&mut self) {
        let operator = self.operator();
        let start = Instant::now();
        let read_back = |place: usize| {
            let version = operator.version_at(place)?;
            assert_eq!(version, self.version, "an older version is shown");
            Some(version)
        };
        while !(0..operator.instances()).any(|place| read_back(place).is_some()) {
            assert!(
                start.elapsed() < RECOVERY_LIMIT,
                "version {} isn't read back",
                self.version
            );
            thread::sleep(Duration::from_millis(100));
        }
        self.put();
        assert!(
            start.elapsed() < RECOVERY_LIMIT,
            "no change is accepted in time"
        );
    }
}

fn name_of(idx: MachineIdx) -> String {
    format!("core-{idx}")
}

fn data_of(idx: MachineIdx) -> String {
    format!("data-{idx}")
}
