//! Selection of an engine out of a few drawn ones.
//!
//! Algorithm: power of two choices (Mitzenmacher, 1996). Many instances that see the
//! same load with a delay and all choose the best engine would overload it, so each
//! request compares only a few engines, drawn anew by a hash of its id: some of those
//! that hold its prompt, some of the homes of its prefix, and some of the others. More
//! are drawn while the best one risks a late response, up to a bound: when most engines
//! are busy, all instances would find the same best one. All are drawn while the best is
//! to be avoided.

use std::cmp::Reverse;

use crate::engine_choice::rendezvous_weight;
use crate::engine_forecast::ChoiceTerms;

/// Engines that are drawn first of each kind.
const DRAWS: usize = 2;

/// Factor by which more engines are drawn while the best one risks a late response.
const DRAW_GROWTH: usize = 2;

/// Engines of each kind that are drawn at most because of a risk.
const RISKY_DRAWS_MAX: usize = 8;

/// What an engine is to a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineKind {
    /// Holds as much of the prompt as any other, or nearly.
    Holder,
    /// A home of the prompt's prefix that doesn't hold it yet.
    Home,
    /// Any other.
    Other,
}

/// Kinds in the order in which they are drawn.
const KINDS: [EngineKind; 3] = [EngineKind::Holder, EngineKind::Home, EngineKind::Other];

/// An engine that may be drawn.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DrawCandidate {
    /// Hash of the engine's name.
    pub hash: u64,
    /// What the engine is to the prompt.
    pub kind: EngineKind,
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

    /// Returns whether no more engines need to be drawn after a number of them.
    fn is_enough(&self, drawn: usize) -> bool {
        !self.is_avoided && (drawn >= RISKY_DRAWS_MAX || !self.terms.is_risky())
    }
}

/// Returns the index of the chosen candidate, and its weight. `seed` differs between
/// requests; `weigh` weighs the candidate at an index.
pub fn choose_drawn(
    seed: u64,
    candidates: &[DrawCandidate],
    mut weigh: impl FnMut(usize) -> WeighedEngine,
) -> Option<(usize, WeighedEngine)> {
    let lists = KINDS.map(|kind| {
        let all = candidates.iter().enumerate();
        let of_kind = all.filter(|(_, candidate)| candidate.kind == kind);
        let mut drawn: Vec<(Reverse<u64>, usize)> = of_kind
            .map(|(index, it)| (Reverse(rendezvous_weight(seed, it.hash)), index))
            .collect();
        drawn.sort_unstable();
        drawn
    });
    let longest = lists.iter().map(Vec::len).max().unwrap_or_default();
    let mut best: Option<(usize, WeighedEngine)> = None;
    let (mut from, mut to) = (0, DRAWS);
    while from < longest {
        for list in &lists {
            for (_, index) in list.iter().take(to).skip(from) {
                let weighed = weigh(*index);
                if best.is_none_or(|(_, best)| weighed.is_better(&best)) {
                    best = Some((*index, weighed));
                }
            }
        }
        if best.is_some_and(|(_, best)| best.is_enough(to)) {
            break;
        }
        (from, to) = (to, to * DRAW_GROWTH);
    }
    best
}
