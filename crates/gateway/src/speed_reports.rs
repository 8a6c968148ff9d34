//! Measured speeds of engines in load reports.

use mulberrywell_policy::{SlownessReport, SpeedReport};
use mulberrywell_wire::serving::EndpointSpeed;

/// Returns the message for a speed of a start of an endpoint.
pub(crate) fn speed_message(born_ms: u64, report: &SpeedReport) -> EndpointSpeed {
    let (step_milli, step_weight_milli) = report.step.to_milli();
    let (prefill_milli, prefill_weight_milli) = report.prefill.to_milli();
    EndpointSpeed {
        born_ms,
        step_milli,
        step_weight_milli,
        prefill_milli,
        prefill_weight_milli,
    }
}

/// Returns the speed of a message.
pub(crate) fn read_speed(speed: &EndpointSpeed) -> SpeedReport {
    SpeedReport {
        step: SlownessReport::of_milli(speed.step_milli, speed.step_weight_milli),
        prefill: SlownessReport::of_milli(speed.prefill_milli, speed.prefill_weight_milli),
    }
}
