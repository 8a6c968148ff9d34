//! Machines of roles that are added, removed, and lose their disks.

use std::net::SocketAddr;
use std::time::Duration;

use mulberrywell_consensus::{MemberId, RecoveredState};

use super::ControlRole;
use super::{address_of, control_settings, instance_name, open_founder, RoleCluster, RoleDisk};

impl RoleCluster {
    /// Starts machines with empty disks that may found a cluster.
    pub fn starting(machines: usize) -> Self {
        let mut cluster = Self::opened_with(machines, &[]);
        cluster.start_founders();
        cluster
    }

    fn start_founders(&mut self) {
        for idx in 0..self.roles.len() {
            let recovered = RoleDisk::default().recover(idx as u64 + 1);
            self.roles[idx] = open_machine(self, idx, idx, recovered, true);
        }
    }

    /// Founds a cluster of the first machines and runs it for 6 s; the others don't run.
    pub fn deployed(machines: usize, running: usize) -> Self {
        Self::deployed_for(1, machines, running)
    }

    /// As `deployed`, for a number of losses at the same time.
    pub fn deployed_for(losses: usize, machines: usize, running: usize) -> Self {
        let mut cluster = Self::opened_with(machines, &[]);
        cluster.losses_max = u32::try_from(losses).unwrap();
        cluster.start_founders();
        for idx in running..machines {
            cluster.stop_machine(idx);
        }
        cluster.run(Duration::from_secs(6));
        cluster
    }

    /// Ends a role at once; its machine doesn't answer.
    pub fn stop_machine(&mut self, idx: usize) {
        self.isolate(idx);
        self.events[idx].clear();
        self.freeze(idx);
    }

    /// Starts a role with an empty disk and a new identity, under the name of a machine.
    pub fn start_emptied(&mut self, idx: usize, name_of: usize, id: MemberId) {
        self.start_from(idx, name_of, id, RoleDisk::default());
    }

    /// Starts the role of a machine from a disk with the identity `id`.
    pub fn start_from(&mut self, idx: usize, name_of: usize, id: MemberId, disk: RoleDisk) {
        self.roles[idx] = open_machine(self, idx, name_of, disk.recover(id), false);
        self.disks[idx] = disk;
        self.member_ids[idx] = id;
        self.events[idx].clear();
        self.finished.remove(&idx);
        self.rejoin(idx);
        self.thaw(idx);
    }

    /// Ends the role of a machine that isn't started again, with or without notice.
    pub fn remove_machine(&mut self, idx: usize, is_notified: bool) {
        if is_notified {
            self.shut_down(idx);
            while !self.is_finished(idx) {
                self.run(Duration::from_millis(10));
            }
        }
        self.stop_machine(idx);
    }

    /// Starts the role of a machine from its own disk.
    pub fn start_from_disk(&mut self, idx: usize) {
        let id = self.member_ids[idx];
        self.start_from(idx, idx, id, self.disks[idx].clone());
    }

    /// Returns the content of a machine's disk.
    pub fn copy_disk(&self, idx: usize) -> RoleDisk {
        self.disks[idx].clone()
    }

    /// Returns the last log entry that a role has applied.
    pub fn applied(&self, idx: usize) -> u64 {
        self.roles[idx].state().applied
    }

    /// Returns whether the role of a machine runs.
    pub fn is_running(&self, idx: usize) -> bool {
        !self.frozen.contains(&idx)
    }
}

fn open_machine(
    cluster: &RoleCluster,
    idx: usize,
    name_of: usize,
    recovered: RecoveredState,
    bootstrap: bool,
) -> ControlRole {
    let seeds: Vec<SocketAddr> = (0..3).map(address_of).collect();
    let mut settings = control_settings(bootstrap);
    settings.first_seed_founds = true;
    settings.open_membership = true;
    settings.losses_max = cluster.losses_max;
    let name = instance_name(name_of);
    open_founder(idx, settings, seeds, (name, recovered), cluster.now)
}
