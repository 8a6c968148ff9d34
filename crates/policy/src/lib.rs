//! Pure algorithms of routing, queueing and placement.
//!
//! Guarantees: nothing here reads a clock, draws random numbers or does I/O;
//! instants and seeds are arguments, so equal calls give equal results.

mod adapter_orders;
mod admission_decision;
mod demand_estimate;
mod demand_placement;
mod demand_tracker;
mod demand_types;
mod endpoint_choice;
mod engine_choice;
mod engine_option;
mod engine_state;
mod fair_queue;
mod load_pacer;
mod placement_moves;
mod placement_planner;
mod placement_types;
mod placement_view;
mod prefix_cache;
mod response_times;
mod service_meter;
mod stable_hash;

pub use admission_decision::{
    decide_admission, AdmissionOutcome, AdmissionRequest, EngineForecast,
};
pub use demand_estimate::{DemandEstimator, DemandSettings};
pub use demand_placement::DemandPlacement;
pub use demand_types::{
    EngineInventory, EngineReport, EngineSpec, ModelSpec, OrderAnswer, OrderNumber, OrderVerb,
    PlacementChange, PlacementOrder,
};
pub use endpoint_choice::{
    ChoiceRequest, ChoiceSettings, ChosenEndpoint, EndpointCandidate, EndpointChooser, LoadHint,
};
pub use engine_choice::{
    first_event_ms, rendezvous_weight, EngineView, HOME_COUNT, PREFILL_TOKENS_PER_MS,
};
pub use fair_queue::{AccountName, FairQueue, PushOutcome, QueuedItem};
pub use load_pacer::{store_burst, LoadPacer, PacerSettings};
pub use placement_planner::{PlacementPlanner, PlacementSettings};
pub use placement_types::{
    DecisionKind, DecisionReason, DemandEstimate, EndpointName, EndpointReport, EndpointTarget,
    ModelName, ModelPlacement, ModelResidence, PlacementDecision, PlacementEndpoint,
    PlacementInput, PlacementModel, PlacementOutput, PlacementState, ResidencePhase, SoftwareName,
    TargetEntry,
};
pub use prefix_cache::{chain_hashes, PrefixCache, PromptPart};
pub use response_times::{events_time, DurationEstimate, RecentMaximum, ResponseTimes};
pub use service_meter::ServiceMeter;
pub use stable_hash::{mix_bits, stable_hash};
