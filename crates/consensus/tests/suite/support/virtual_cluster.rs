//! A cluster in virtual time: members, their network, disks and clients.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use bytes::Bytes;
use mulberrywell_consensus::{
    LogEntry, MemberId, MembershipChange, NodeConfig, NodeInput, NodeOutput, NodeRole, PeerMessage,
    ProposalId, ReadId, SnapshotImage, StorageError,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;

use super::absence_plan::AbsencePlan;
use super::cluster_oracle::ClusterOracle;
use super::fault_plan::FaultMix;
use super::virtual_member::{encode_command, VirtualMember, VirtualMicros};
use super::virtual_network::{NetworkFaults, SlotLink};

/// Index of a member's slot in the cluster.
pub type SlotId = usize;

pub const MILLIS: VirtualMicros = 1_000;
pub const SECONDS: VirtualMicros = 1_000 * MILLIS;

/// An event of the simulation.
#[derive(Debug)]
enum VirtualEvent {
    Input { slot: SlotId, input: NodeInput },
    Timer { slot: SlotId },
    Sync { slot: SlotId },
    Save { slot: SlotId, image: SnapshotImage },
    Restart { slot: SlotId },
    Client,
    Admin,
    Fault,
}

#[derive(Debug)]
struct ScheduledEvent {
    /// Run of the slot's member to which the event belongs; it is dropped in any
    /// other run.
    run_number: Option<u32>,
    event: VirtualEvent,
}

/// An output of a member, recorded for assertions.
#[derive(Debug)]
pub struct RecordedOutput {
    pub slot: SlotId,
    pub output: NodeOutput,
}

/// A cluster of members in virtual time.
pub struct VirtualCluster {
    pub rng: Pcg32,
    pub now: VirtualMicros,
    pub members: Vec<VirtualMember>,
    pub oracle: ClusterOracle,
    pub network: NetworkFaults,
    /// Links that are cut, with the time at which each is restored.
    pub cuts: BTreeMap<SlotLink, VirtualMicros>,
    /// Maximum duration of a sync.
    pub sync_duration_max: VirtualMicros,
    /// Clients and the administrator act on their own schedule.
    pub has_traffic: bool,
    pub disk_lost_at: VirtualMicros,
    pub faults: FaultMix,
    pub absences: AbsencePlan,
    /// Members whose disks were lost, of which the others are told.
    pub defunct: BTreeSet<MemberId>,
    events: BTreeMap<VirtualMicros, Vec<ScheduledEvent>>,
    /// Slot of every member that ever started.
    member_slots: BTreeMap<MemberId, SlotId>,
    next_number: u64,
    /// Outputs other than messages and batches, recorded while there is no
    /// traffic.
    pub recorded: Vec<RecordedOutput>,
}

impl VirtualCluster {
    /// Creates and starts members without bootstrapping the cluster.
    pub fn new(seed: u64, slots: usize, config: &NodeConfig) -> Self {
        let mut rng = Pcg32::seed_from_u64(seed);
        let start = Instant::now() + Duration::from_secs(1);
        let members = (0..slots).map(|_| {
            let clock_rate = rng.random_range(0.97..1.03);
            let config = NodeConfig {
                seed: rng.random(),
                ..config.clone()
            };
            VirtualMember::new(0, config, clock_rate, start)
        });
        let members = members.collect();
        let mut cluster = VirtualCluster {
            rng,
            now: 0,
            members,
            oracle: ClusterOracle::default(),
            network: NetworkFaults::default(),
            cuts: BTreeMap::new(),
            sync_duration_max: 4 * MILLIS,
            has_traffic: false,
            disk_lost_at: 0,
            faults: FaultMix::All,
            absences: AbsencePlan::default(),
            defunct: BTreeSet::new(),
            events: BTreeMap::new(),
            member_slots: BTreeMap::new(),
            next_number: 1,
            recorded: Vec::new(),
        };
        for slot in 0..slots {
            cluster.start_member(slot);
        }
        cluster
    }

    /// Bootstraps a cluster at the first slot and makes all others voters.
    pub fn bootstrapped(seed: u64, slots: usize, config: &NodeConfig) -> Self {
        let mut cluster = VirtualCluster::new(seed, slots, config);
        cluster.bootstrap();
        cluster.run_for(2 * SECONDS);
        for slot in 1..slots {
            let id = cluster.members[slot].id;
            let address = Bytes::from(slot.to_string());
            cluster.change_members(MembershipChange::AddLearner { id, address });
            cluster.change_members(MembershipChange::Promote { id });
        }
        cluster.recorded.clear();
        cluster
    }

    pub fn bootstrap(&mut self) {
        let address = Bytes::from_static(b"0");
        self.input(0, NodeInput::Bootstrap { address });
    }

    /// Requests a membership change from the leader and runs for a second.
    pub fn change_members(&mut self, change: MembershipChange) {
        let leader = self.leader().expect("a leader");
        let proposal = self.next_number();
        let input = NodeInput::ChangeMembership { proposal, change };
        self.input(leader, input);
        self.run_for(SECONDS);
    }

    pub fn start_member(&mut self, slot: SlotId) {
        let new_id: MemberId = self.rng.random_range(1..MemberId::MAX);
        let member = &mut self.members[slot];
        member.disk.set_free(None);
        member.disk.set_sync_fails(false);
        member.start(new_id, self.now, &mut self.oracle);
        self.member_slots.insert(member.id, slot);
        self.schedule_timer(slot);
    }

    pub fn next_number(&mut self) -> u64 {
        self.next_number += 1;
        self.next_number
    }

    /// Returns the slot of the leader with the greatest term.
    pub fn leader(&self) -> Option<SlotId> {
        let slots = 0..self.members.len();
        let leaders = slots.filter(|slot| self.members[*slot].is_leader());
        leaders.max_by_key(|slot| self.members[*slot].run.as_ref().map(|run| run.node.term()))
    }

    /// Proposes a command at a slot; returns its number.
    pub fn propose(&mut self, slot: SlotId) -> ProposalId {
        let proposal = self.next_number();
        let padding = self.rng.random_range(0..100);
        let data = encode_command(proposal, padding);
        self.input(slot, NodeInput::Propose { proposal, data });
        proposal
    }

    /// Requests a read index at a slot; returns the read's number.
    pub fn read(&mut self, slot: SlotId) -> ReadId {
        let read = self.next_number();
        self.oracle.record_read_request(read);
        self.input(slot, NodeInput::ReadIndex { read });
        read
    }

    /// Iterates over the recorded outputs.
    pub fn outputs(&self) -> impl Iterator<Item = &NodeOutput> {
        self.recorded.iter().map(|recorded| &recorded.output)
    }

    pub fn was_confirmed(&self, read: ReadId) -> bool {
        let is_it = |output: &NodeOutput| matches!(output, NodeOutput::ReadConfirmed { read: it, .. } if *it == read);
        self.outputs().any(is_it)
    }

    pub fn was_accepted(&self, proposal: ProposalId) -> bool {
        self.oracle.accepted.contains(&proposal)
    }

    /// Crashes a member; its disk loses a part of the unsynced data.
    pub fn crash(&mut self, slot: SlotId) {
        let Some(mut run) = self.members[slot].run.take() else {
            return;
        };
        if self.rng.random_bool(0.5) {
            // The crash happens during a write.
            self.members[slot].disk.set_sync_fails(true);
            let _ = run.storage.persist(&run.queue);
        }
        self.members[slot].disk.crash(&mut self.rng);
        self.members[slot].frozen_until = 0;
    }

    pub fn restart_at(&mut self, slot: SlotId, at: VirtualMicros) {
        self.schedule(at, VirtualEvent::Restart { slot });
    }

    /// Starts the schedules of clients, the administrator and faults.
    pub fn start_traffic(&mut self) {
        self.has_traffic = true;
        let now = self.now;
        self.schedule(now, VirtualEvent::Client);
        self.schedule(now + 100 * MILLIS, VirtualEvent::Admin);
        self.schedule(now + 100 * MILLIS, VirtualEvent::Fault);
    }

    pub fn run_for(&mut self, duration: VirtualMicros) {
        let end = self.now + duration;
        while let Some(mut entry) = self.events.first_entry() {
            let at = *entry.key();
            if at > end {
                break;
            }
            if entry.get().is_empty() {
                entry.remove();
                continue;
            }
            let next = entry.get_mut().remove(0);
            self.now = at;
            self.handle_event(next);
            self.check_leases();
        }
        self.now = end;
    }

    /// Runs until a condition holds; returns the elapsed virtual time.
    pub fn run_until(
        &mut self,
        limit: VirtualMicros,
        holds: impl Fn(&Self) -> bool,
    ) -> VirtualMicros {
        let start = self.now;
        while !holds(self) {
            assert!(self.now < start + limit, "the condition never held");
            self.run_for(MILLIS);
        }
        self.now - start
    }

    fn handle_event(&mut self, scheduled: ScheduledEvent) {
        if let Some(slot) = event_slot(&scheduled.event) {
            let member = &self.members[slot];
            let is_current = scheduled
                .run_number
                .is_none_or(|run| run == member.run_number);
            if !is_current || (scheduled.run_number.is_some() && member.run.is_none()) {
                return;
            }
            if member.frozen_until > self.now {
                let at = member.frozen_until;
                self.events.entry(at).or_default().push(scheduled);
                return;
            }
        }
        match scheduled.event {
            VirtualEvent::Input { slot, input } => self.input(slot, input),
            VirtualEvent::Timer { slot } => self.handle_timer(slot),
            VirtualEvent::Sync { slot } => self.handle_sync(slot),
            VirtualEvent::Save { slot, image } => self.handle_save(slot, &image),
            VirtualEvent::Restart { slot } => {
                if self.members[slot].run.is_none() {
                    self.start_member(slot);
                }
            }
            VirtualEvent::Client => self.run_client(),
            VirtualEvent::Admin => self.run_admin(),
            VirtualEvent::Fault => self.inject_fault(),
        }
    }

    fn schedule(&mut self, at: VirtualMicros, event: VirtualEvent) {
        let number = event_slot(&event).map(|slot| self.members[slot].run_number);
        let is_restart = matches!(event, VirtualEvent::Restart { .. });
        let scheduled = ScheduledEvent {
            run_number: number.filter(|_| !is_restart),
            event,
        };
        self.events
            .entry(at.max(self.now))
            .or_default()
            .push(scheduled);
    }

    pub fn schedule_client(&mut self, delay: VirtualMicros) {
        self.schedule(self.now + delay, VirtualEvent::Client);
    }

    pub fn schedule_admin(&mut self, delay: VirtualMicros) {
        self.schedule(self.now + delay, VirtualEvent::Admin);
    }

    pub fn schedule_fault(&mut self, delay: VirtualMicros) {
        self.schedule(self.now + delay, VirtualEvent::Fault);
    }

    /// Passes an input to a member now, unless it is down or frozen.
    pub fn input(&mut self, slot: SlotId, input: NodeInput) {
        let member = &mut self.members[slot];
        if member.frozen_until > self.now {
            return;
        }
        let clock = member.clock(self.now);
        let Some(run) = &mut member.run else {
            return;
        };
        let commit = run.node.commit_index();
        let mut outputs = Vec::new();
        run.node.handle(clock, input, &mut outputs);
        assert!(
            run.node.commit_index() >= commit,
            "the commit index decreased"
        );
        for output in outputs {
            self.handle_output(slot, output);
        }
        self.schedule_timer(slot);
    }

    fn handle_output(&mut self, slot: SlotId, output: NodeOutput) {
        let member = &mut self.members[slot];
        let run = member.run.as_mut().expect("the member is running");
        match &output {
            NodeOutput::Send(message) => self.send(slot, message),
            NodeOutput::Persist(batch) => {
                run.record_batch(batch, &mut self.oracle);
                run.queue.push(batch.clone());
                self.schedule_sync(slot);
            }
            NodeOutput::Apply { entry, proposal } => self.handle_apply(slot, entry, *proposal),
            NodeOutput::Restore(image) => run.restore(image, &mut self.oracle),
            NodeOutput::EncodeSnapshot { index } => {
                let data = run.state.to_bytes();
                assert_eq!(
                    run.state.index, *index,
                    "a snapshot covers exactly the applied state"
                );
                let input = NodeInput::SnapshotEncoded {
                    index: *index,
                    data,
                };
                let delay = self.rng.random_range(0..100 * MILLIS);
                self.schedule(self.now + delay, VirtualEvent::Input { slot, input });
            }
            NodeOutput::SaveSnapshot(image) => {
                let image = image.clone();
                let delay = self.rng.random_range(0..100 * MILLIS);
                self.schedule(self.now + delay, VirtualEvent::Save { slot, image });
            }
            NodeOutput::Rejected { proposal, .. } => self.oracle.record_rejected(*proposal),
            NodeOutput::ReadConfirmed { read, index } => {
                self.oracle.record_read_confirmed(*read, *index);
            }
            NodeOutput::RoleChanged { role, term, .. } if *role == NodeRole::Leader => {
                self.oracle.record_leader(*term, member.id);
                let is_uncounted = run.node.uncounted_voter().is_some();
                self.oracle.stats.uncounted_leaders += u64::from(is_uncounted);
            }
            _ => {}
        }
        if !self.has_traffic && !matches!(output, NodeOutput::Send(_) | NodeOutput::Persist(_)) {
            self.recorded.push(RecordedOutput { slot, output });
        }
    }

    fn handle_apply(&mut self, slot: SlotId, entry: &LogEntry, proposal: Option<ProposalId>) {
        let run = self.members[slot]
            .run
            .as_mut()
            .expect("the member is running");
        let known = run.state.commands.len();
        run.state.apply(entry);
        let command = run.state.commands.get(known).copied();
        self.oracle
            .record_applied(entry.index, entry.term, run.state.digest);
        match command {
            Some(command) => self.oracle.record_command(command, proposal),
            None if proposal.is_some() => self.oracle.stats.membership_changes += 1,
            None => {}
        }
    }

    /// Returns the slot in which a member runs or once ran.
    pub fn slot_of(&self, member: MemberId) -> Option<SlotId> {
        self.member_slots.get(&member).copied()
    }

    /// Schedules the delivery of a message to a slot; it is delivered even if the
    /// member restarts in the meantime.
    pub fn deliver(&mut self, slot: SlotId, message: PeerMessage, delay: VirtualMicros) {
        self.deliver_input(slot, NodeInput::Message(message), delay);
    }

    /// Tells all members at different times that a member is defunct.
    pub fn report_defunct(&mut self, id: MemberId) {
        self.defunct.insert(id);
        for slot in 0..self.members.len() {
            let delay = self.rng.random_range(0..SECONDS);
            self.deliver_input(slot, NodeInput::MemberDefunct { id }, delay);
        }
    }

    fn deliver_input(&mut self, slot: SlotId, input: NodeInput, delay: VirtualMicros) {
        let scheduled = ScheduledEvent {
            run_number: None,
            event: VirtualEvent::Input { slot, input },
        };
        let at = self.now + delay;
        self.events.entry(at).or_default().push(scheduled);
    }

    fn schedule_timer(&mut self, slot: SlotId) {
        let member = &mut self.members[slot];
        let Some(run) = &mut member.run else {
            return;
        };
        let Some(deadline) = run.node.deadline() else {
            return;
        };
        let at = member.virtual_time(deadline).max(self.now + 1);
        let run = member.run.as_mut().expect("checked above");
        if run
            .timer_at
            .is_some_and(|known| known <= at && known > self.now)
        {
            return;
        }
        run.timer_at = Some(at);
        self.schedule(at, VirtualEvent::Timer { slot });
    }

    fn handle_timer(&mut self, slot: SlotId) {
        let clock = self.members[slot].clock(self.now);
        let Some(run) = &mut self.members[slot].run else {
            return;
        };
        run.timer_at = None;
        if run
            .node
            .deadline()
            .is_some_and(|deadline| deadline <= clock)
        {
            self.input(slot, NodeInput::Timer);
        } else {
            self.schedule_timer(slot);
        }
    }

    fn schedule_sync(&mut self, slot: SlotId) {
        let delay = self.rng.random_range(100..=self.sync_duration_max);
        let run = self.members[slot]
            .run
            .as_mut()
            .expect("the member is running");
        if !run.syncing {
            run.syncing = true;
            self.schedule(self.now + delay, VirtualEvent::Sync { slot });
        }
    }

    fn handle_sync(&mut self, slot: SlotId) {
        let Some(run) = &mut self.members[slot].run else {
            return;
        };
        run.syncing = false;
        match run.storage.persist(&run.queue) {
            Ok(ticket) => {
                run.queue.clear();
                self.input(slot, NodeInput::Persisted { ticket });
            }
            Err(StorageError::DiskFull) => {
                self.oracle.stats.full_disks += 1;
                self.schedule_sync(slot);
                self.input(slot, NodeInput::DiskFull);
            }
            Err(_) => {
                self.oracle.stats.failed_disks += 1;
                self.input(slot, NodeInput::StorageFailed);
            }
        }
    }

    fn handle_save(&mut self, slot: SlotId, image: &SnapshotImage) {
        let Some(run) = &mut self.members[slot].run else {
            return;
        };
        let index = image.meta.index;
        let input = match run.snapshots.save(image) {
            Ok(()) => NodeInput::SnapshotSaved { index },
            Err(StorageError::DiskFull) => NodeInput::SnapshotSaveFailed { index },
            Err(_) => NodeInput::StorageFailed,
        };
        self.input(slot, input);
    }

    /// Checks that a member with a valid lease has committed every entry that was
    /// applied by any member.
    fn check_leases(&self) {
        for member in &self.members {
            let Some(run) = &member.run else {
                continue;
            };
            let lease_until = run.node.lease_until();
            if lease_until.is_some_and(|until| until > member.clock(self.now)) {
                let commit = run.node.commit_index();
                let last = self.oracle.last_applied();
                assert!(commit >= last, "a lease of {:x} is stale", member.id);
            }
        }
    }
}

fn event_slot(event: &VirtualEvent) -> Option<SlotId> {
    match event {
        VirtualEvent::Input { slot, .. }
        | VirtualEvent::Timer { slot }
        | VirtualEvent::Sync { slot }
        | VirtualEvent::Save { slot, .. }
        | VirtualEvent::Restart { slot } => Some(*slot),
        VirtualEvent::Client | VirtualEvent::Admin | VirtualEvent::Fault => None,
    }
}
