//! Pure algorithms of routing, queueing and placement.
//!
//! Guarantees: no clock, no randomness and no input or output of their own;
//! instants and seeds are arguments, so that equal calls give equal results.
