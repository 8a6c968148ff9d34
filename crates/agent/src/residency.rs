//! States of a model's memory, interpreted from `charts/residency.toml`.

use mulberrywell_chart::{ChartSymbol, StateChart};

/// Text of the chart.
const CHART: &str = include_str!("../../../charts/residency.toml");

/// State of a model's memory at the endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ResidencyState {
    /// A load was ordered and has not been answered.
    Loading,
    /// The model answers.
    Resident,
    /// The model takes no new requests before it is unloaded.
    Draining,
    /// An unload was ordered and has not been answered.
    Unloading,
    /// An order ended and the engine's state has not confirmed what it did.
    Unsettled,
    /// The model has no memory.
    Absent,
}

impl ChartSymbol for ResidencyState {
    const ALL: &'static [(Self, &'static str)] = &[
        (ResidencyState::Loading, "loading"),
        (ResidencyState::Resident, "resident"),
        (ResidencyState::Draining, "draining"),
        (ResidencyState::Unloading, "unloading"),
        (ResidencyState::Unsettled, "unsettled"),
        (ResidencyState::Absent, "absent"),
    ];
}

/// What happens to a model's memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResidencyEvent {
    /// The engine has done the order.
    OrderDone,
    /// The engine refused the order.
    OrderRefused,
    /// Nobody knows what became of the order.
    OrderUnknown,
    /// The model leaves the target set.
    Drain,
    /// The model is back in the target set.
    Recall,
    /// An unload was ordered.
    Unload,
    /// The engine's state shows that the model answers.
    SeenReady,
    /// The engine's state shows memory of the model that does not answer.
    SeenLoading,
    /// The engine's state does not show the model.
    SeenAbsent,
}

impl ChartSymbol for ResidencyEvent {
    const ALL: &'static [(Self, &'static str)] = &[
        (ResidencyEvent::OrderDone, "order_done"),
        (ResidencyEvent::OrderRefused, "order_refused"),
        (ResidencyEvent::OrderUnknown, "order_unknown"),
        (ResidencyEvent::Drain, "drain"),
        (ResidencyEvent::Recall, "recall"),
        (ResidencyEvent::Unload, "unload"),
        (ResidencyEvent::SeenReady, "seen_ready"),
        (ResidencyEvent::SeenLoading, "seen_loading"),
        (ResidencyEvent::SeenAbsent, "seen_absent"),
    ];
}

/// The residency chart.
pub type ResidencyChart = StateChart<ResidencyState, ResidencyEvent>;

/// Reads the chart that is built in.
///
/// # Panics
/// Panics when the chart is not well formed; a test reads it.
pub fn residency_chart() -> ResidencyChart {
    StateChart::parse("charts/residency.toml", CHART)
        .unwrap_or_else(|findings| panic!("residency chart: {findings:?}"))
}
