//! Commands proposed by this instance whose outcome is awaited.

use std::collections::BTreeMap;

use bytes::Bytes;
use mulberrywell_consensus::ProposalId;
use mulberrywell_role::{LinkId, RequestId};
use mulberrywell_wire::claim::ClaimRequest;

/// Origin of a call to the operator API or the serving interface.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallOrigin {
    /// A call made at this instance.
    Local(RequestId),
    /// A call forwarded by another instance.
    Forwarded {
        /// Link to that instance.
        link: LinkId,
        /// Sequence number that it gave the call.
        sequence: u64,
    },
}

/// Origin of a frame from an entry or agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FrameOrigin {
    /// A frame received on a link to this instance.
    Local(LinkId),
    /// A frame forwarded by another instance.
    Relayed {
        /// Link to that instance.
        link: LinkId,
        /// Sequence number that it gave the frame.
        sequence: u64,
    },
}

/// The party that awaits the outcome of a proposal.
#[derive(Debug)]
pub enum ProposalWaiter {
    /// An operator.
    Operator(CallOrigin),
    /// An entry that requested a claim.
    Claim(FrameOrigin, ClaimRequest),
    /// An entry that reported an outcome, with the sequence of the report.
    Outcome(FrameOrigin, u64),
    /// The endpoint monitor, with the name of the endpoint.
    Endpoint(Bytes),
    /// The caller that put a serving configuration.
    Serving(CallOrigin),
    /// The membership driver.
    Membership,
    /// The registry of streams.
    Streams,
    /// The lease issuer, which applies each committed block independently of
    /// its proposal.
    Blocks,
}

/// Proposals without an outcome.
#[derive(Debug, Default)]
pub struct ProposalTable {
    waiters: BTreeMap<ProposalId, ProposalWaiter>,
    last: ProposalId,
}

impl ProposalTable {
    /// Adds a proposal; returns its id.
    pub fn insert(&mut self, waiter: ProposalWaiter) -> ProposalId {
        self.last += 1;
        self.waiters.insert(self.last, waiter);
        self.last
    }

    /// Removes a proposal; returns its waiter.
    pub fn remove(&mut self, proposal: ProposalId) -> Option<ProposalWaiter> {
        self.waiters.remove(&proposal)
    }

    /// Returns whether a call awaits the outcome of a proposal.
    pub fn has_calls(&self) -> bool {
        let mut waiters = self.waiters.values();
        waiters.any(|waiter| {
            matches!(
                waiter,
                ProposalWaiter::Operator(_) | ProposalWaiter::Serving(_)
            )
        })
    }

    /// Removes all proposals; returns their waiters.
    pub fn clear(&mut self) -> Vec<ProposalWaiter> {
        std::mem::take(&mut self.waiters).into_values().collect()
    }

    /// Returns whether a membership change is in progress.
    pub fn has_membership_change(&self) -> bool {
        let mut waiters = self.waiters.values();
        waiters.any(|waiter| matches!(waiter, ProposalWaiter::Membership))
    }

    /// Returns whether a change of the endpoint is in progress.
    pub fn has_endpoint_change(&self, name: &Bytes) -> bool {
        let mut waiters = self.waiters.values();
        waiters.any(|waiter| matches!(waiter, ProposalWaiter::Endpoint(known) if known == name))
    }
}
