//! Interface of the external protocol that callers, endpoints and operators of
//! the serving configuration use.

use mulberrywell_control::{ControlAction, ControlEvent, ControlRole};
use mulberrywell_gateway::CallCodec;
use mulberrywell_role::RoleMachine;

/// A protocol implementation, provided by a separate package.
pub trait ServingInterface {
    /// Header fields of requests and responses.
    type Codec: CallCodec + 'static;
    /// The control role, wrapped with the handling of the protocol's calls.
    type Control: RoleMachine<Event = ControlEvent, Action = ControlAction> + 'static;

    /// Returns the codec of header fields.
    fn codec(&self) -> Self::Codec;

    /// Wraps a control role with the handling of the protocol's calls.
    fn wrap_control(&self, role: ControlRole) -> Self::Control;
}
