//! Names of the gateway's metrics.

use crate::call_codec::RefusalReason;
use crate::call_table::AdmissionClass;

/// Requests received.
pub const REQUESTS: &str = "gateway.requests";
/// Responses forwarded completely.
pub const ANSWERED: &str = "gateway.answered";
/// Callers that disconnected before their response was complete.
pub const CALLERS_GONE: &str = "gateway.callers_gone";
/// Responses aborted after their head was sent.
pub const ABORTED: &str = "gateway.aborted";
/// Requests forwarded to an endpoint.
pub const HANDED_OVER: &str = "gateway.handed_over";
/// Requests forwarded to a further endpoint.
pub const HANDED_AGAIN: &str = "gateway.handed_again";
/// Retries denied by the retry budget.
pub const BUDGET_SPENT: &str = "gateway.retry_budget_spent";
/// Streams resumed at another endpoint.
pub const RESUMED: &str = "gateway.resumed";
/// Time from a request to the first chunk of its response.
pub const FIRST_PIECE: &str = "gateway.first_piece_ms";
/// Time from a request to the end of its response.
pub const WHOLE_ANSWER: &str = "gateway.answer_ms";
/// Quarantines of prompt parts in force.
pub const QUARANTINES: &str = "gateway.quarantines";
/// Permits for endpoints with a limit that were asked for and not granted.
pub const PERMITS_DENIED: &str = "gateway.permits_denied";
/// Evacuated zones.
pub const EVACUATED_ZONES: &str = "gateway.evacuated_zones";
/// Requests forwarded to cold endpoints.
pub const COLD_REQUESTS: &str = "gateway.cold_requests";
/// Endpoints taken for cold.
pub const COLD_ENDPOINTS: &str = "gateway.cold_endpoints";
/// Links to control instances that opened.
pub const LINKS_OPENED: &str = "gateway.links_opened";
/// Forecast time from forwarding a request to its first event.
pub const FORECAST_FIRST: &str = "gateway.forecast_first_event_ms";
/// Requests forwarded although their first event or a pause is likely to be late.
pub const CHOICES_RISKY: &str = "gateway.choices_risky";
/// Prompt tokens sent to an engine that has probably cached them.
pub const TOKENS_KEPT: &str = "gateway.prompt_tokens_cached";
/// Prompt tokens sent to an engine that must read them.
pub const TOKENS_READ: &str = "gateway.prompt_tokens_read";
/// Requests in progress.
pub const IN_WORK: &str = "gateway.in_work";
/// Deferrable requests that wait for tokens of their account.
pub const TOKEN_WAITING: &str = "gateway.waiting.tokens";
/// Age of the one that has waited longest.
pub const TOKEN_WAIT_OLDEST: &str = "gateway.oldest_wait_ms.tokens";
/// Deferrable requests that yielded to urgent ones at an engine.
pub const DEFERRED: &str = "gateway.deferred";
/// Those that wait now.
pub const DEFERRED_WAITING: &str = "gateway.waiting.engine";
/// Age of the one that arrived first.
pub const DEFERRED_OLDEST: &str = "gateway.oldest_wait_ms.engine";

/// Outcome and metric name of each refusal reason.
const REFUSED: [(RefusalReason, &str, &str); 15] = [
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
        RefusalReason::AtLimit,
        "at_limit",
        "gateway.refused.at_limit",
    ),
    (
        RefusalReason::Overloaded,
        "overloaded",
        "gateway.refused.overloaded",
    ),
    (
        RefusalReason::OriginUnknown,
        "origin_unknown",
        "gateway.refused.origin_unknown",
    ),
    (
        RefusalReason::VersionGone,
        "version_gone",
        "gateway.refused.version_gone",
    ),
    (
        RefusalReason::TooLate,
        "too_late",
        "gateway.refused.too_late",
    ),
    (
        RefusalReason::Quarantined,
        "quarantined",
        "gateway.refused.quarantined",
    ),
    (RefusalReason::Broken, "broken", "gateway.refused.broken"),
    (
        RefusalReason::TimedOut,
        "timed_out",
        "gateway.refused.timed_out",
    ),
];

/// Returns the outcome in log lines and the metric name of a refusal reason.
pub fn refusal_names(reason: RefusalReason) -> (&'static str, &'static str) {
    let found = REFUSED.iter().find(|(known, ..)| *known == reason);
    found.map_or(
        ("unknown", "gateway.refused.unknown"),
        |(_, word, metric)| (word, metric),
    )
}

/// Returns the name of the count of a class's rejections for a reason; none for services
/// without deferrable routes.
pub fn class_rejected(class: AdmissionClass, reason: RefusalReason) -> Option<&'static str> {
    let names = match class {
        AdmissionClass::Immediate => return None,
        AdmissionClass::Urgent => [
            "gateway.rejected.urgent.rate",
            "gateway.rejected.urgent.engine",
            "gateway.rejected.urgent.other",
        ],
        AdmissionClass::Deferrable => [
            "gateway.rejected.deferrable.rate",
            "gateway.rejected.deferrable.engine",
            "gateway.rejected.deferrable.other",
        ],
    };
    let [rate, engine, other] = names;
    Some(match reason {
        RefusalReason::OverRate => rate,
        RefusalReason::Overloaded | RefusalReason::NoEndpoint | RefusalReason::AtLimit => engine,
        _ => other,
    })
}
