//! Claims of idempotency keys and the stored answers of claimed requests.
//!
//! Guarantees: a key of a client account has at most one claim at a time, and a
//! claim whose request ran keeps its outcome until it expires; only an answer
//! beyond the size limits is not stored. No claim is evicted early, so a full
//! table refuses new claims. Expiry follows the clock carried by the commands,
//! so all members remove a claim at the same log index.

use std::collections::BTreeMap;

use bytes::Bytes;
use mulberrywell_wire::command::{ClaimRecord, PutClaim, PutOutcome};

use crate::command_outcome::EditConflict;

/// Maximum number of claims.
const CLAIMS_MAX: usize = 100_000;

/// Maximum size of all stored answers together, in bytes.
const ANSWERS_LEN_MAX: usize = 64 * 1024 * 1024;

/// Maximum size of one stored answer, in bytes.
const ANSWER_LEN_MAX: usize = 256 * 1024;

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct ClaimKey {
    account: Bytes,
    key: Bytes,
}

/// All claims.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ClaimTable {
    claims: BTreeMap<ClaimKey, ClaimRecord>,
    /// Claims by expiry time and id; contains each claim of `claims` once.
    expiry: BTreeMap<(u64, u64), ClaimKey>,
    /// Size of all answers in `claims` in bytes; at most [`ANSWERS_LEN_MAX`].
    answers_len: usize,
}

impl ClaimTable {
    /// Returns the claim on a key of an account.
    pub fn find(&self, account: &Bytes, key: &Bytes) -> Option<&ClaimRecord> {
        let key = ClaimKey {
            account: account.clone(),
            key: key.clone(),
        };
        self.claims.get(&key)
    }

    /// Inserts a claim on an unclaimed key under a new id.
    ///
    /// # Errors
    /// Fails if the key is already claimed or the table is full.
    pub fn acquire(&mut self, put: &PutClaim, id: u64, clock_ms: u64) -> Result<(), EditConflict> {
        self.remove_expired(clock_ms);
        if self.find(&put.account, &put.key).is_some() {
            return Err(EditConflict::Exists);
        }
        if self.claims.len() >= CLAIMS_MAX {
            return Err(EditConflict::Full);
        }
        self.insert(ClaimRecord {
            account: put.account.clone(),
            key: put.key.clone(),
            digest: put.digest.clone(),
            claim: id,
            expires_ms: clock_ms.saturating_add(put.lifetime_ms),
            ..ClaimRecord::default()
        });
        Ok(())
    }

    /// Records the outcome of a claim, or releases a claim whose request did
    /// not run.
    ///
    /// # Errors
    /// Fails if the key has no claim with this id.
    pub fn record_outcome(&mut self, put: &PutOutcome) -> Result<(), EditConflict> {
        let key = ClaimKey {
            account: put.account.clone(),
            key: put.key.clone(),
        };
        let Some(claim) = self.claims.get_mut(&key).filter(|c| c.claim == put.claim) else {
            return Err(EditConflict::NotFound);
        };
        if claim.done {
            return Ok(());
        }
        if put.not_run {
            self.remove(&key);
            return Ok(());
        }
        claim.done = true;
        claim.status = put.status;
        let len = put.body.len();
        if len > ANSWER_LEN_MAX || self.answers_len + len > ANSWERS_LEN_MAX {
            claim.dropped = true;
            return Ok(());
        }
        claim.content_type = put.content_type.clone();
        claim.body = put.body.clone();
        self.answers_len += len;
        Ok(())
    }

    fn remove_expired(&mut self, clock_ms: u64) {
        while let Some(entry) = self.expiry.first_entry() {
            if entry.key().0 > clock_ms {
                break;
            }
            let key = entry.get().clone();
            self.remove(&key);
        }
    }

    fn insert(&mut self, record: ClaimRecord) {
        let key = ClaimKey {
            account: record.account.clone(),
            key: record.key.clone(),
        };
        self.answers_len += record.body.len();
        self.expiry
            .insert((record.expires_ms, record.claim), key.clone());
        self.claims.insert(key, record);
    }

    fn remove(&mut self, key: &ClaimKey) {
        if let Some(claim) = self.claims.remove(key) {
            self.expiry.remove(&(claim.expires_ms, claim.claim));
            self.answers_len -= claim.body.len();
        }
    }

    /// Encodes all claims.
    pub fn to_records(&self) -> Vec<ClaimRecord> {
        self.claims.values().cloned().collect()
    }

    /// Decodes all claims.
    pub fn from_records(records: Vec<ClaimRecord>) -> Self {
        let mut table = ClaimTable::default();
        for record in records {
            table.insert(record);
        }
        table
    }
}
