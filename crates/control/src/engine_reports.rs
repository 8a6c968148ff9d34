//! Translates the serving configuration and the endpoints' statuses into what placement
//! works with.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use bytes::Bytes;
use mulberrywell_limit::EndpointStart;
use mulberrywell_policy::{
    store_burst, DemandPlacement, EngineReport, EngineSpec, ModelSpec, PacerSettings,
};
use mulberrywell_serving::EndpointRegistry;
use mulberrywell_wire::serving::{EndpointPhase, EndpointStatus, EngineTraits};

use crate::evacuation_table::EvacuationTable;

/// Maximum number of concurrent adapter loads.
const ADAPTER_LOADS_MAX: u32 = 24;

/// Returns the limits of a service's weight store.
pub(crate) fn pacer_settings(traits: &EngineTraits) -> PacerSettings {
    let loads_per_minute = traits.store_loads_milli.saturating_mul(60) / 1_000;
    let burst = store_burst(loads_per_minute);
    PacerSettings {
        store_loads_per_minute: loads_per_minute,
        store_burst: burst,
        store_parallel: concurrent_loads(traits).max(burst),
        adapter_parallel: ADAPTER_LOADS_MAX,
    }
}

/// Returns the number of concurrent loads at the store's full rate, by Little's
/// law: the rate times the mean duration of a load.
fn concurrent_loads(traits: &EngineTraits) -> u32 {
    let count = traits.models.len().max(1) as u64;
    let load_times = traits.models.iter().map(|model| model.store_load_ms);
    let total_ms = load_times.fold(0, u64::saturating_add);
    let loads = traits.store_loads_milli.saturating_mul(total_ms / count) / 1_000_000;
    u32::try_from(loads).unwrap_or(u32::MAX)
}

/// Returns what a service's engines have in common.
pub(crate) fn engine_spec(traits: &EngineTraits) -> EngineSpec {
    let models = traits.models.iter().map(|model| ModelSpec {
        name: model.name.clone(),
        weight_mb: model.weight_mb,
        adapter_mb: model.adapter_mb,
        load_time: Duration::from_millis(model.store_load_ms),
    });
    EngineSpec {
        memory_mb: traits.memory_mb,
        adapter_places: usize::try_from(traits.adapter_places).unwrap_or(0),
        models: models.collect(),
    }
}

/// Updates a placement with the current state of its service's engines.
pub(crate) fn update_engines(
    now: Instant,
    placement: &mut DemandPlacement,
    service: &Bytes,
    endpoints: &EndpointRegistry,
    evacuations: &EvacuationTable,
    refusing: &BTreeMap<EndpointStart, Instant>,
) {
    let present = endpoints
        .present()
        .filter(|status| status.service == *service);
    let mut ids = BTreeSet::new();
    for status in present {
        ids.insert(status.id.clone());
        let start = (status.id.clone(), status.born_ms);
        let report = EngineReport {
            is_refusing: refusing.contains_key(&start),
            ..engine_report(status)
        };
        let is_evacuated = evacuations.contains(&status.zone);
        let report = EngineReport {
            is_usable: report.is_usable && !is_evacuated,
            ..report
        };
        placement.handle_report(now, &status.id, report);
    }
    placement.retain_engines(&ids);
}

fn engine_report(status: &EndpointStatus) -> EngineReport {
    let models = status.models.iter().map(|held| {
        let adapters = held.adapters.iter().cloned().collect();
        (held.name.clone(), adapters)
    });
    EngineReport {
        incarnation: status.born_ms,
        software: status.software.clone(),
        is_refusing: false,
        is_limited: status
            .limit
            .is_some_and(|limit| limit.milli_per_s.is_some()),
        is_usable: status.phase() == EndpointPhase::Ready && !status.silent && !status.leaving,
        models: models.collect(),
        in_memory: status.in_memory.iter().cloned().collect(),
        on_disk: status.on_disk.iter().cloned().collect(),
    }
}
