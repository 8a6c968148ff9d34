//! How callers, endpoints and operators of the serving configuration speak.

use mulberrywell_control::{ControlAction, ControlEvent, ControlRole};
use mulberrywell_gateway::CallCodec;
use mulberrywell_role::RoleMachine;

/// An interface that a package of its own implements.
pub trait ServingInterface {
    /// Header fields of requests and answers.
    type Codec: CallCodec + 'static;
    /// The control role behind the interface's calls.
    type Control: RoleMachine<Event = ControlEvent, Action = ControlAction> + 'static;

    /// Returns the reader and writer of header fields.
    fn codec(&self) -> Self::Codec;

    /// Puts the interface's calls before a role.
    fn control(&self, role: ControlRole) -> Self::Control;
}
