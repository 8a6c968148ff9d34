//! Tests of the replicated log and its storage.

mod election;
mod membership;
mod random_schedule;
mod read_index;
mod replication;
mod snapshot;
mod storage;
mod support;
