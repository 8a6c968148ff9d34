//! Selection of an engine out of a few drawn ones.
//!
//! Algorithm: power of two choices (Mitzenmacher, 1996). Many instances that see the
//! same load with a delay and all choose the best engine would overload it, so each
//! request compares only a few engines, drawn anew by a hash of its id: some of those
//! that hold a part of its prompt, and some of the others. More are drawn while the best
//! one risks a late response, until all are compared.

use std::cmp::Reverse;

use crate::engine_choice::rendezvous_weight;
use crate::engine_forecast::ChoiceTerms;

/// Engines that are drawn first of each kind.
const DRAWS: usize = 2;

/// Factor by which more engines are drawn while the best one risks a late response.
const DRAW_GROWTH: usize = 2;

/// An engine that may be drawn.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DrawCandidate {
    /// Hash of the engine's name.
    pub hash: u64,
    /// The engine holds a part of the prompt.
    pub is_holder: bool,
}

/// The weight of an engine that was drawn.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WeighedEngine {
    /// Other engines are preferred, whatever the terms.
    pub is_avoided: bool,
    /// Terms of the choice.
    pub terms: ChoiceTerms,
}

impl WeighedEngine {
    fn is_better(&self, other: &Self) -> bool {
        (self.is_avoided, self.terms.total_ms()) < (other.is_avoided, other.terms.total_ms())
    }

    fn is_good(&self) -> bool {
        !self.is_avoided && !self.terms.is_risky()
    }
}

/// Returns the index of the chosen candidate, and its weight. `seed` differs between
/// requests; `weigh` weighs the candidate at an index.
pub fn choose_drawn(
    seed: u64,
    candidates: &[DrawCandidate],
    mut weigh: impl FnMut(usize) -> WeighedEngine,
) -> Option<(usize, WeighedEngine)> {
    let (mut holders, mut others) = (Vec::new(), Vec::new());
    for (index, candidate) in candidates.iter().enumerate() {
        let drawn = (Reverse(rendezvous_weight(seed, candidate.hash)), index);
        if candidate.is_holder {
            holders.push(drawn);
        } else {
            others.push(drawn);
        }
    }
    holders.sort_unstable();
    others.sort_unstable();
    let mut best: Option<(usize, WeighedEngine)> = None;
    let (mut from, mut to) = (0, DRAWS);
    while from < holders.len().max(others.len()) {
        for list in [&holders, &others] {
            for (_, index) in list.iter().take(to).skip(from) {
                let weighed = weigh(*index);
                if best.is_none_or(|(_, best)| weighed.is_better(&best)) {
                    best = Some((*index, weighed));
                }
            }
        }
        if best.is_some_and(|(_, best)| best.is_good()) {
            break;
        }
        (from, to) = (to, to * DRAW_GROWTH);
    }
    best
}
