//! Rate limits, token leases, retry budgets, circuit breakers and quarantines.
//!
//! Purpose: token buckets of client accounts, the leases that share one bucket
//! among several processes, the permits for requests to endpoints with a limit, the
//! limits on attempts to failing endpoints, and the search for prompts that crash them.
//!
//! Guarantees: the types read no clock, draw no random numbers and do no input
//! or output; instants are arguments, so equal calls give equal results.

mod account_balance;
mod account_ledger;
mod circuit_breaker;
mod crash_incident;
mod crash_ledger;
mod demand_meter;
mod failure_share;
mod headroom_log;
mod lease_client;
mod lease_message;
mod lease_table;
mod permit_issuer;
mod prompt_guard;
mod quarantine_table;
mod retry_budget;
mod return_schedule;
mod shared_bucket;
mod suspect_restriction;
mod token_bucket;
mod total_counter;
mod trial_table;
mod wait_queue;

pub use account_ledger::LEASE_LIFETIME;
pub use circuit_breaker::CircuitBreaker;
pub use crash_incident::{PartId, SuspectRequest};
pub use crash_ledger::{CrashLedger, QuarantineFinding};
pub use demand_meter::DemandMeter;
pub use failure_share::FailureShare;
pub use lease_client::{LeaseClient, ANSWER_TIMEOUT, UNAVAILABLE_RETRY};
pub use lease_message::{
    LeaseAnswer, LeaseMessage, Reservation, ReserveOutcome, ReservedPart, TicketEvent, TicketId,
};
pub use lease_table::{
    AccountId, BlockProposal, HolderId, LeaseDecision, LeaseId, LeaseTable, TokenPlan, TokenRefund,
    TokenRequest,
};
pub use permit_issuer::{EndpointStart, MilliRate, PermitDecision, PermitIssuer};
pub use prompt_guard::{PromptGuard, SOUND_TIME};
pub use quarantine_table::{PartSet, QuarantineTable};
pub use retry_budget::RetryBudget;
pub use return_schedule::ReturnSchedule;
pub use shared_bucket::{BucketPlan, RateDecision, SharedBucket, SharedTotal, TOTALS_LIFETIME};
pub use token_bucket::{AcquireOutcome, TokenBucket};
pub use total_counter::{
    HolderCount, HolderReport, HolderSet, TotalCounter, UnitCount, HOLDER_LIFETIME,
    SILENT_TICKS_MAX,
};
pub use trial_table::{TrialId, TrialTable, TRIAL_PAUSE, TRIAL_RETRY};
