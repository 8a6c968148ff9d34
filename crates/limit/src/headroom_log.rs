//! History of a token bucket's headroom, used to credit late refunds.
//!
//! The credit for a refund is the amount by which the bucket's level would be
//! higher now if the tokens had never been spent: at most the lowest headroom
//! since the tokens left the bucket (Skorokhod reflection at the bucket's
//! capacity). Crediting more would let an account exceed burst + rate x time in
//! a window that begins after the tokens were spent.
//!
//! Algorithm: suffix minima on a monotonic stack.

/// Sequence number of a sample; increases.
pub(crate) type SampleNumber = u64;

#[derive(Debug, Clone, Copy)]
struct HeadroomSample {
    number: SampleNumber,
    /// Thousandths of a token.
    headroom: i64,
}

/// Suffix minima of the headroom, which is the capacity less the level.
#[derive(Debug, Clone, Default)]
pub(crate) struct HeadroomLog {
    /// Both fields increase from sample to sample.
    samples: Vec<HeadroomSample>,
    next: SampleNumber,
}

impl HeadroomLog {
    /// Returns the number that the next sample gets.
    pub(crate) fn next_number(&self) -> SampleNumber {
        self.next
    }

    /// Records the current headroom.
    pub(crate) fn record(&mut self, headroom: i64) {
        self.pop_dominated(headroom);
        let number = self.next;
        self.next += 1;
        self.samples.push(HeadroomSample { number, headroom });
    }

    /// Returns how much of `amount`, which left the bucket before sample
    /// `since`, may be credited, and subtracts it from the headroom since then.
    pub(crate) fn claim_credit(&mut self, since: SampleNumber, amount: i64) -> i64 {
        let start = self.samples.partition_point(|sample| sample.number < since);
        let Some(lowest) = self.samples.get(start).map(|sample| sample.headroom) else {
            return 0;
        };
        let credit = amount.min(lowest).max(0);
        for sample in &mut self.samples[start..] {
            sample.headroom -= credit;
        }
        let recent = self.samples.split_off(start);
        self.pop_dominated(lowest - credit);
        self.samples.extend(recent);
        credit
    }

    /// Removes the samples that a new one of this headroom makes redundant.
    fn pop_dominated(&mut self, headroom: i64) {
        while self
            .samples
            .last()
            .is_some_and(|sample| sample.headroom >= headroom)
        {
            self.samples.pop();
        }
    }
}
