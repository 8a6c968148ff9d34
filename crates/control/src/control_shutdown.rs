//! Graceful shutdown: hands the leadership over and answers the calls that were read.
//!
//! Guarantees: each call to the operator API or the serving interface that was passed to
//! the role before the shutdown is answered, as unconfirmed if the leader or a quorum
//! doesn't decide it in time. Later ones are refused at once, as another instance can
//! answer them. Entries and agents repeat their frames on another link. The leadership is
//! handed over only when no order waits for its answer, and a lone leader ends only then: one
//! that is still on its way would arrive after the next election, from which the leader counts
//! its pause.
//!
//! With open membership, an instance stays until it is no voter any more if the others can
//! spare it, or will be able to within [`REMOVAL_LIMIT`]: it may be removed for good, and
//! after its end it would count among those that are needed beside another loss. One that
//! comes back is admitted again.

use std::time::{Duration, Instant};

use mulberrywell_consensus::NodeInput;
use mulberrywell_role::RoleAction;

use crate::control_event::ControlAction;
use crate::control_role::{Actions, ControlRole, ReadTask};

/// Time limit for the leadership transfer and for the answers that are awaited, from when no
/// order waits for its answer.
const SHUTDOWN_LIMIT: Duration = Duration::from_secs(1);

/// Time limit for the removal from the voters, within which an instance that is away may
/// be back. Less than the 8 s after which a platform usually kills the process.
const REMOVAL_LIMIT: Duration = Duration::from_secs(7);

/// Time for writing answers: to operators by their threads, to others by the host.
const FLUSH_TIME: Duration = Duration::from_millis(100);

/// Progress of a shutdown.
#[derive(Debug, Default)]
pub(crate) struct ShutdownState {
    /// When all calls are answered at the latest, in a shutdown that has begun.
    deadline: Option<Instant>,
    /// When a shutdown that has begun ends at the latest.
    removal_deadline: Option<Instant>,
    /// When an operator was last sent an answer.
    last_answer: Option<Instant>,
    finished: bool,
}

impl ShutdownState {
    /// Returns whether a shutdown has begun.
    pub fn has_begun(&self) -> bool {
        self.deadline.is_some()
    }

    /// Returns when a shutdown next advances.
    pub fn deadline(&self, now: Instant) -> Option<Instant> {
        let end = self.deadline.filter(|_| !self.finished)?;
        let flushed = self.last_answer.map(|at| at + FLUSH_TIME);
        let times = [flushed, Some(end), self.removal_deadline];
        times.into_iter().flatten().filter(|at| *at > now).min()
    }
}

impl ControlRole {
    pub(crate) fn begin_shutdown(&mut self, now: Instant) {
        if self.shutdown.has_begun() {
            return;
        }
        let orders_end = self.orders.answer_deadline().unwrap_or(now);
        self.shutdown.deadline = Some(now.max(orders_end) + SHUTDOWN_LIMIT);
        self.shutdown.removal_deadline = Some(now + REMOVAL_LIMIT);
        let hellos = self.peers.set_leaving(self.state.cluster);
        self.commands.extend(hellos);
        self.leave_leadership(now);
    }

    /// Hands the leadership over in a shutdown. An instance that still votes may become
    /// leader meanwhile.
    pub(crate) fn leave_leadership(&mut self, now: Instant) {
        if self.shutdown.has_begun() {
            self.transfer_leadership(now);
        }
    }

    /// Sends no further orders, and hands the leadership over unless an order waits for its
    /// answer. To be repeated until another instance leads.
    pub(crate) fn transfer_leadership(&mut self, now: Instant) {
        if !self.must_transfer() || self.node.is_transferring() {
            return;
        }
        self.orders.pause(now);
        if self.orders.answer_deadline().is_none() {
            self.enqueue(NodeInput::Transfer { to: None });
        }
    }

    /// Records the answers to operators among an event's actions, and finishes a shutdown
    /// once the leadership is transferred and all answers are sent and received.
    pub(crate) fn check_shutdown(&mut self, now: Instant, actions: &mut Actions) {
        let is_answer = |action: &RoleAction<ControlAction>| {
            matches!(action, RoleAction::RoleSpecific(ControlAction::Respond(..)))
        };
        if actions.iter().any(is_answer) {
            self.shutdown.last_answer = Some(now);
        }
        let Some(end) = self.shutdown.deadline.filter(|_| !self.shutdown.finished) else {
            return;
        };
        let is_flushed = |at: Instant| at + FLUSH_TIME <= now;
        let is_written = self.shutdown.last_answer.is_none_or(is_flushed);
        let awaits_order = self.orders.answer_deadline().is_some();
        let is_done = is_written && !self.must_transfer() && !self.has_calls() && !awaits_order;
        if now >= end {
            self.fail_calls(actions);
        }
        let removal_end = self.shutdown.removal_deadline;
        if removal_end.is_some_and(|at| now < at) && self.awaits_removal(now) {
            return;
        }
        if is_done || now >= end {
            self.shutdown.finished = true;
            actions.push(RoleAction::FinishedBy(now + FLUSH_TIME));
        }
    }

    /// Returns whether another voter can take the leadership over.
    fn must_transfer(&self) -> bool {
        self.is_leader() && self.membership.voters().count() > 1
    }

    /// Returns whether calls wait for an answer.
    fn has_calls(&self) -> bool {
        let is_call = |task: &ReadTask| !matches!(task, ReadTask::Client(_));
        self.relays.has_calls() || self.proposals.has_calls() || self.reads.tasks().any(is_call)
    }

    /// Answers all calls and frames whose outcome isn't known.
    fn fail_calls(&mut self, actions: &mut Actions) {
        for requester in self.relays.clear() {
            self.refuse_requester(requester, actions);
        }
        for task in self.reads.clear() {
            self.fail_task(task, actions);
        }
        for waiter in self.proposals.clear() {
            self.fail_waiter(waiter, actions);
        }
    }
}
