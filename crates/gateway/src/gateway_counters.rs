//! Names of the gateway's metrics.

use crate::call_codec::RefusalReason;

/// Requests taken.
pub const REQUESTS: &str = "gateway.requests";
/// Answers passed on whole.
pub const ANSWERED: &str = "gateway.answered";
/// Callers that left before their answer was whole.
pub const CALLERS_GONE: &str = "gateway.callers_gone";
/// Answers that broke after their head was sent.
pub const ABORTED: &str = "gateway.aborted";
/// Requests handed to an endpoint.
pub const HANDED_OVER: &str = "gateway.handed_over";
/// Requests handed to another endpoint.
pub const HANDED_AGAIN: &str = "gateway.handed_again";
/// Requests that no second endpoint was allowed for.
pub const BUDGET_SPENT: &str = "gateway.retry_budget_spent";
/// Streams that went on at another endpoint.
pub const RESUMED: &str = "gateway.resumed";
/// Time from a request to the first piece of its answer.
pub const FIRST_PIECE: &str = "gateway.first_piece_ms";
/// Time from a request to the end of its answer.
pub const WHOLE_ANSWER: &str = "gateway.answer_ms";
/// Requests in work.
pub const IN_WORK: &str = "gateway.in_work";

/// Refusals by their reason.
const REFUSED: [(RefusalReason, &str, &str); 10] = [
    (
        RefusalReason::Malformed,
        "malformed",
        "gateway.refused.malformed",
    ),
    (
        RefusalReason::NotReady,
        "not_ready",
        "gateway.refused.not_ready",
    ),
    (
        RefusalReason::Stopping,
        "stopping",
        "gateway.refused.stopping",
    ),
    (
        RefusalReason::NoRoute,
        "no_route",
        "gateway.refused.no_route",
    ),
    (
        RefusalReason::WrongKey,
        "wrong_key",
        "gateway.refused.wrong_key",
    ),
    (
        RefusalReason::OverRate,
        "over_rate",
        "gateway.refused.over_rate",
    ),
    (
        RefusalReason::NoEndpoint,
        "no_endpoint",
        "gateway.refused.no_endpoint",
    ),
    (
        RefusalReason::TooLate,
        "too_late",
        "gateway.refused.too_late",
    ),
    (RefusalReason::Broken, "broken", "gateway.refused.broken"),
    (
        RefusalReason::TimedOut,
        "timed_out",
        "gateway.refused.timed_out",
    ),
];

/// Returns the word and the metric of a reason.
pub fn names_of(reason: RefusalReason) -> (&'static str, &'static str) {
    let found = REFUSED.iter().find(|(known, ..)| *known == reason);
    found.map_or(
        ("unknown", "gateway.refused.unknown"),
        |(_, word, metric)| (word, metric),
    )
}
