//! Decides whether an endpoint's response to an attempt is complete and may reach
//! the caller.

use mulberrywell_role::ExchangeEnd;

use crate::attempts::AttemptFailure;
use crate::call_table::CallRecord;

/// Why an attempt brought no response for the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct FailureCause {
    pub failure: AttemptFailure,
    /// Short description for the log.
    pub text: &'static str,
}

/// Checks the response of a call's attempt, whose exchange has ended.
///
/// # Errors
/// Fails when the response must not reach the caller as complete.
pub(crate) fn check_response(call: &CallRecord, end: ExchangeEnd) -> Result<(), FailureCause> {
    let response = &call.response;
    let (failure, text) = match end {
        ExchangeEnd::NotSent(text) | ExchangeEnd::Refused(text) => (AttemptFailure::NotSent, text),
        ExchangeEnd::Broken(text) if response.not_run => (AttemptFailure::NotRun, text),
        ExchangeEnd::Broken(text) => (AttemptFailure::Broken, text),
        ExchangeEnd::Complete if response.not_run => {
            (AttemptFailure::NotRun, "the endpoint refused it")
        }
        ExchangeEnd::Complete if response.run_unconfirmed => (
            AttemptFailure::Broken,
            "the endpoint refused it without proof",
        ),
        ExchangeEnd::Complete if call.is_resumption_refused() => {
            (AttemptFailure::Broken, "the resumption was refused")
        }
        ExchangeEnd::Complete if response.is_stream && call.events.has_partial_event() => {
            (AttemptFailure::Broken, "the stream ended inside an event")
        }
        ExchangeEnd::Complete if response.is_stream && call.events.has_fields_only() => {
            (AttemptFailure::Broken, "the resumption has no event")
        }
        ExchangeEnd::Complete if response.is_stream && call.events.awaits_event() => (
            AttemptFailure::Broken,
            "the stream ended before the event at which it had broken off",
        ),
        // Only the events show whether a stream without length and chunks is complete.
        ExchangeEnd::Complete
            if response.is_stream && !response.is_delimited && !call.events.has_event() =>
        {
            (
                AttemptFailure::Broken,
                "the stream ended before its first event",
            )
        }
        // A run that has stopped closes its connection as one does that is complete.
        ExchangeEnd::Complete if response.may_be_stopped && !response.is_delimited => {
            (AttemptFailure::Broken, "the run may have stopped")
        }
        ExchangeEnd::Complete => return Ok(()),
    };
    Err(FailureCause { failure, text })
}
