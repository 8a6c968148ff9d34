//! States of a model's memory, interpreted from `charts/residency.toml`.

use mulberrywell_chart::{ChartSymbol, StateChart};

const CHART: &str = include_str!("../../../charts/residency.toml");

/// State of a model's memory at the endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ResidencyState {
    /// A load was ordered and has not been answered.
    Loading,
    /// The model serves requests.
    Resident,
    /// The model is no longer announced; it is unloaded once its requests have
    /// ended.
    Draining,
    /// An unload was ordered and has not been answered.
    Unloading,
    /// The state of the memory is unknown: after an unload, a failed order or
    /// an unexpected report, until the engine's state confirms it.
    Unsettled,
    /// The model occupies no memory.
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

/// An event that changes the state of a model's memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResidencyEvent {
    /// The engine completed the order.
    OrderDone,
    /// The engine refused the order.
    OrderRefused,
    /// The outcome of the order is unknown.
    OrderUnknown,
    /// The model was removed from the target set.
    Drain,
    /// The model was added to the target set again while it drains.
    Recall,
    /// An unload was ordered.
    Unload,
    /// The engine reports that the model is ready.
    SeenReady,
    /// The engine reports memory of the model, which is not ready.
    SeenLoading,
    /// The engine does not report the model.
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

/// State chart of a model's memory.
pub type ResidencyChart = StateChart<ResidencyState, ResidencyEvent>;

/// Parses the embedded residency chart.
///
/// # Panics
/// Panics when the chart is malformed; tests parse it.
pub fn residency_chart() -> ResidencyChart {
    StateChart::parse("charts/residency.toml", CHART)
        .unwrap_or_else(|findings| panic!("residency chart: {findings:?}"))
}
