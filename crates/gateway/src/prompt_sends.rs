//! What prompts were sent to an endpoint since the last report.

use mulberrywell_policy::{PromptPart, SHARED_TOKENS_MIN};
use mulberrywell_wire::serving::SentPart;

use crate::call_table::CallRecord;

/// Maximum number of parts of one endpoint in a report; further ones count as other
/// tokens.
const PARTS_MAX: usize = 64;

/// Prompts that were sent to an endpoint since the last report.
#[derive(Debug, Clone, Default)]
pub(crate) struct SentPrompts {
    /// Shared parts in the order of their first use.
    pub(crate) parts: Vec<SentPart>,
    /// Tokens of what else was sent.
    pub(crate) other_tokens: u64,
}

impl SentPrompts {
    /// Records a call's prompt.
    pub(crate) fn record(&mut self, call: &CallRecord) {
        let prompt = call.terms.tokens.map_or(0, |tokens| tokens.prompt);
        let mut reported = 0;
        for (chain, part) in call.chain.iter().zip(reported_parts(call)) {
            if !self.record_part(*chain, part.tokens) {
                break;
            }
            reported += part.tokens;
        }
        let other = prompt.saturating_sub(reported);
        self.other_tokens = self.other_tokens.saturating_add(other);
    }

    fn record_part(&mut self, chain: u64, tokens: u64) -> bool {
        if let Some(part) = self.parts.iter_mut().find(|part| part.chain == chain) {
            part.requests = part.requests.saturating_add(1);
            return true;
        }
        if self.parts.len() >= PARTS_MAX {
            return false;
        }
        self.parts.push(SentPart {
            chain,
            tokens: u32::try_from(tokens).unwrap_or(u32::MAX),
            requests: 1,
        });
        true
    }

    /// Returns whether nothing was sent.
    pub(crate) fn is_empty(&self) -> bool {
        self.parts.is_empty() && self.other_tokens == 0
    }
}

/// Returns the shared parts of a call's prompt if they are worth reporting.
fn reported_parts(call: &CallRecord) -> &[PromptPart] {
    let parts = call.shared_parts();
    let tokens: u64 = parts.iter().map(|part| part.tokens).sum();
    if tokens >= SHARED_TOKENS_MIN {
        parts
    } else {
        &[]
    }
}
