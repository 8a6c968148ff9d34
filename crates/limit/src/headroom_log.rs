//! Remembers how much room a token bucket had, to credit late refunds.
//!
//! A refund is worth what a bucket would hold more now had the tokens never
//! been spent: at most the least headroom since they left the bucket for good
//! (Skorokhod reflection at the bucket's capacity). Crediting more would let
//! an account exceed burst + rate x time in a window that begins after the
//! tokens were spent.
//!
//! Algorithm: suffix minima on a monotonic stack.

/// Number of a note; rises.
pub(crate) type NoteNumber = u64;

#[derive(Debug, Clone, Copy)]
struct HeadroomNote {
    number: NoteNumber,
    /// Thousandths of a token.
    headroom: i64,
}

/// Suffix minima of the headroom.
#[derive(Debug, Clone, Default)]
pub(crate) struct HeadroomLog {
    /// Both fields rise from note to note.
    notes: Vec<HeadroomNote>,
    next: NoteNumber,
}

impl HeadroomLog {
    /// Returns the number of the next note.
    pub(crate) fn next_number(&self) -> NoteNumber {
        self.next
    }

    /// Notes the headroom.
    pub(crate) fn note(&mut self, headroom: i64) {
        self.drop_above(headroom);
        let number = self.next;
        self.next += 1;
        self.notes.push(HeadroomNote { number, headroom });
    }

    /// Returns how much of `amount`, which left the bucket before note
    /// `since`, may be credited, and debits it from the headroom since then.
    pub(crate) fn claim(&mut self, since: NoteNumber, amount: i64) -> i64 {
        let start = self.notes.partition_point(|note| note.number < since);
        let Some(least) = self.notes.get(start).map(|note| note.headroom) else {
            return 0;
        };
        let credit = amount.min(least).max(0);
        for note in &mut self.notes[start..] {
            note.headroom -= credit;
        }
        let recent = self.notes.split_off(start);
        self.drop_above(least - credit);
        self.notes.extend(recent);
        credit
    }

    fn drop_above(&mut self, headroom: i64) {
        while self
            .notes
            .last()
            .is_some_and(|note| note.headroom >= headroom)
        {
            self.notes.pop();
        }
    }
}
