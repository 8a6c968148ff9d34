//! The network of a cluster in virtual time.

use mulberrywell_consensus::PeerMessage;
use rand::Rng;

use super::virtual_cluster::{SlotId, VirtualCluster, MILLIS, SECONDS};
use super::virtual_member::VirtualMicros;

/// A directed pair of slots.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct SlotLink {
    pub from: SlotId,
    pub to: SlotId,
}

/// Probabilities, from 0 to 1, of faults that the network applies to messages.
#[derive(Debug, Clone, Copy, Default)]
pub struct NetworkFaults {
    /// Probability that a message is lost.
    pub loss: f64,
    /// Probability that a message is delivered twice.
    pub duplicates: f64,
    /// Probability that a message is delayed by up to two seconds.
    pub late: f64,
}

impl VirtualCluster {
    /// Disconnects a member in both directions.
    pub fn isolate(&mut self, slot: SlotId, until: VirtualMicros) {
        for other in 0..self.members.len() {
            for (from, to) in [(slot, other), (other, slot)] {
                self.cuts.insert(SlotLink { from, to }, until);
            }
        }
    }

    pub fn send(&mut self, from: SlotId, message: &PeerMessage) {
        self.oracle.record_message(message);
        let Some(to) = self.slot_of(message.to) else {
            return;
        };
        let is_cut = self.cuts.get(&SlotLink { from, to });
        let is_cut = is_cut.is_some_and(|until| *until > self.now);
        if is_cut || self.rng.random_bool(self.network.loss) {
            return;
        }
        let decoded =
            PeerMessage::from_bytes(message.to_bytes()).expect("an encoded message can be decoded");
        assert_eq!(decoded, *message, "encoding changed the message");
        let copies = 1 + usize::from(self.rng.random_bool(self.network.duplicates));
        for _ in 0..copies {
            let is_late = self.rng.random_bool(self.network.late);
            let delay_max = if is_late { 2 * SECONDS } else { 6 * MILLIS };
            let delay = self.rng.random_range(200..delay_max);
            self.deliver(to, decoded.clone(), delay);
        }
    }
}
