//! Restricts which role may send which frame.
//!
//! Every process that has the cluster secret can open a link. A frame that the
//! sender's role never sends is a protocol violation and closes the link before
//! any role handles it.

use crate::{FrameBody, PeerRole};

/// Returns whether a peer of this role may send a frame.
pub fn may_send(peer: PeerRole, body: &FrameBody) -> bool {
    sender_of(body).is_none_or(|sender| sender == peer)
}

/// Returns the only role that sends a frame, or `None` if it is not limited to one.
fn sender_of(body: &FrameBody) -> Option<PeerRole> {
    match body {
        FrameBody::AttemptStart(_)
        | FrameBody::AttemptCancel(_)
        | FrameBody::PartCredit(_)
        | FrameBody::LeaseRequest(_)
        | FrameBody::LeaseReturn(_)
        | FrameBody::ServingAttach(_)
        | FrameBody::RateUse(_)
        | FrameBody::PromptReport(_)
        | FrameBody::PermitRequest(_)
        | FrameBody::TrialRequest(_)
        | FrameBody::TrialEnd(_)
        | FrameBody::StreamReport(_)
        | FrameBody::StreamQuery(_)
        | FrameBody::ClaimRequest(_) => Some(PeerRole::Entry),
        FrameBody::AttemptHead(_)
        | FrameBody::AttemptPart(_)
        | FrameBody::AttemptEnd(_)
        | FrameBody::AttemptRefused(_)
        | FrameBody::Announce(_)
        | FrameBody::StateReport(_) => Some(PeerRole::Agent),
        FrameBody::Update(_)
        | FrameBody::ConfirmAnswer(_)
        | FrameBody::LeaseGrant(_)
        | FrameBody::ReturnAck(_)
        | FrameBody::ClaimAnswer(_)
        | FrameBody::OutcomeAck(_)
        | FrameBody::AnnounceAck(_)
        | FrameBody::TargetOrder(_)
        | FrameBody::Consensus(_)
        | FrameBody::Forward(_)
        | FrameBody::ForwardAnswer(_)
        | FrameBody::ServingUpdate(_)
        | FrameBody::ServingForward(_)
        | FrameBody::ServingReply(_)
        | FrameBody::RateTotals(_)
        | FrameBody::PromptNotice(_)
        | FrameBody::PermitGrant(_)
        | FrameBody::TrialGrant(_)
        | FrameBody::StreamAnswer(_) => Some(PeerRole::Control),
        _ => None,
    }
}
