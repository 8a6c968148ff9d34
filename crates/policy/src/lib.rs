//! Pure algorithms of routing, queueing and placement.
//!
//! Guarantees: no clock, no randomness and no input or output of their own;
//! instants and seeds are arguments, so that equal calls give equal results.

mod endpoint_choice;
mod stable_hash;

pub use endpoint_choice::{
    ChoiceRequest, ChoiceSettings, ChosenEndpoint, EndpointCandidate, EndpointChooser, LoadHint,
};
pub use stable_hash::{mix_bits, stable_hash};
