//! Generates the state of a cluster of a given size.

use bytes::Bytes;
use mulberrywell_control::{ClusterState, EndpointChart};
use mulberrywell_settings::Finding;
use mulberrywell_wire::command::log_command::Body;
use mulberrywell_wire::command::{EditLists, FoundCluster, GiveKey, LogCommand, PutEndpoint};
use mulberrywell_wire::config::{
    AccountItem, EndpointItem, EndpointState, GrantItem, KeyItem, ModelItem, PlanItem,
};

/// Number of models resident on each endpoint.
const MODELS_PER_ENDPOINT: usize = 8;

/// Number of availability zones.
const ZONES: usize = 13;

/// Size of the generated cluster.
#[derive(Debug, Clone, Copy)]
pub struct SampleSize {
    /// Number of models and adapters.
    pub models: usize,
    /// Number of endpoints, all of them model engines.
    pub endpoints: usize,
    /// Number of client accounts, each with two keys.
    pub accounts: usize,
}

/// Builds the state by applying the commands that create it.
///
/// # Errors
/// Returns the findings of the endpoint chart if it is invalid.
pub fn build_cluster(size: SampleSize) -> Result<ClusterState, Vec<Finding>> {
    let mut state = ClusterState::new(EndpointChart::open()?);
    let found = FoundCluster {
        cluster: 1,
        operator: None,
    };
    let mut bodies = vec![
        Body::FoundCluster(found),
        Body::EditLists(sample_lists(size)),
    ];
    for idx in 0..size.accounts * 2 {
        bodies.push(Body::GiveKey(GiveKey {
            key: Some(sample_key(idx)),
        }));
    }
    for body in bodies {
        let command = LogCommand {
            at_ms: 1,
            actor: Bytes::from_static(b"bench"),
            request_id: Bytes::new(),
            body: Some(body),
        };
        state.apply(state.applied + 1, &command);
    }
    for idx in 0..size.endpoints {
        let command = endpoint_command(size, idx, 1);
        state.apply(state.applied + 1, &command);
    }
    Ok(state)
}

/// Builds the command that registers an endpoint.
pub fn endpoint_command(size: SampleSize, idx: usize, incarnation: u64) -> LogCommand {
    let model_count = MODELS_PER_ENDPOINT.min(size.models);
    let resident = (0..model_count).map(|place| (idx * model_count + place) % size.models);
    let endpoint = EndpointItem {
        name: Bytes::from(format!("endpoint-{idx}")),
        address: Bytes::from(format!("10.0.{}.{}:7100", idx / 250, idx % 250)),
        zone: Bytes::from(format!("zone-{}", idx % ZONES)),
        region: Bytes::from_static(b"region-0"),
        pool: Bytes::from_static(b"pool"),
        engine: true,
        incarnation,
        fencing: 0,
        state: EndpointState::Live.into(),
        resident: resident.map(model_name).collect(),
        software: Bytes::new(),
    };
    LogCommand {
        at_ms: 1,
        actor: Bytes::from_static(b"bench"),
        request_id: Bytes::new(),
        body: Some(Body::PutEndpoint(PutEndpoint {
            endpoint: Some(endpoint),
            memory_mib: 640_000,
            slots: 32,
            accelerators: 8,
        })),
    }
}

fn sample_lists(size: SampleSize) -> EditLists {
    let plan = Bytes::from_static(b"gold");
    let models: Vec<ModelItem> = (0..size.models).map(sample_model).collect();
    let grant = GrantItem {
        plan: plan.clone(),
        models: models.iter().map(|model| model.name.clone()).collect(),
        services: Vec::new(),
    };
    let accounts = (0..size.accounts).map(|idx| AccountItem {
        name: account_name(idx),
        plan: plan.clone(),
    });
    EditLists {
        plans: vec![PlanItem {
            name: plan.clone(),
            rate: 20_000,
            burst: 60_000,
            weight: 1,
            priority: 0,
        }],
        accounts: accounts.collect(),
        models,
        grants: vec![grant],
        ..EditLists::default()
    }
}

fn sample_model(idx: usize) -> ModelItem {
    ModelItem {
        name: model_name(idx),
        memory_mib: 16_000,
        kv_mib: 64,
        pool: Bytes::from_static(b"pool"),
        ..ModelItem::default()
    }
}

fn sample_key(idx: usize) -> KeyItem {
    KeyItem {
        digest: Bytes::from(format!("{idx:032}")),
        account: account_name(idx / 2),
        label: Bytes::from(format!("key-{idx}")),
    }
}

fn model_name(idx: usize) -> Bytes {
    Bytes::from(format!("model-{idx}"))
}

fn account_name(idx: usize) -> Bytes {
    Bytes::from(format!("account-{idx}"))
}
