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
mod engine_forecast;
mod engine_option;
mod engine_pace;
mod engine_state;
mod fair_queue;
mod load_pacer;
mod measured_choice;
mod placement_moves;
mod placement_planner;
mod placement_types;
mod placement_view;
mod prefix_cache;
mod prefix_demand;
mod prompt_value;
mod response_times;
mod service_meter;
mod stable_hash;
mod stream_rest;

pub use admission_decision::{decide_admission, AdmissionOutcome, AdmissionRequest};
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
pub use engine_forecast::{
    weigh_engine, weigh_response, ChoiceTerms, EngineForecast, EngineOption, PlainOption,
    RequestNeeds,
};
pub use engine_pace::{
    combined_speed, published_event_ms, response_slowness, BatchState, EnginePace, EngineSpeed,
    SlownessReport, SpeedReport, PREFILL_SAMPLE_MIN, PUBLISHED_PREFILL_RATE,
};
pub use fair_queue::{AccountName, FairQueue, PushOutcome, QueuedItem};
pub use load_pacer::{store_burst, LoadPacer, PacerSettings};
pub use measured_choice::{choose_drawn, DrawCandidate, EngineKind, WeighedEngine};
pub use placement_planner::{PlacementPlanner, PlacementSettings};
pub use placement_types::{
    DecisionKind, DecisionReason, DemandEstimate, EndpointName, EndpointReport, EndpointTarget,
    ModelName, ModelPlacement, ModelResidence, PlacementDecision, PlacementEndpoint,
    PlacementInput, PlacementModel, PlacementOutput, PlacementState, ResidencePhase, SoftwareName,
    TargetEntry,
};
pub use prefix_cache::{chain_hashes, PrefixCache, PromptPart, PROMPT_PARTS_MAX};
pub use prefix_demand::PrefixDemand;
pub use prompt_value::{home_count, prompt_value, PromptFit, PromptValue, SHARED_TOKENS_MIN};
pub use response_times::{events_time, DurationEstimate, RecentMaximum, ResponseTimes};
pub use service_meter::ServiceMeter;
pub use stable_hash::{mix_bits, stable_hash};
pub use stream_rest::{observed_pace, should_move, MoveKind, StreamRest};
