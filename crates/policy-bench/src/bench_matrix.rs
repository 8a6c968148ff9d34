//! Deployments, scenarios and variants of the benchmark.

use std::time::Duration;

use mulberrywell_policy::{ChoiceSettings, DemandSettings, PacerSettings, PlacementSettings};

/// Size and limits of a deployment.
#[derive(Debug, Clone)]
pub struct Deployment {
    /// Name.
    pub name: &'static str,
    /// Number of engines.
    pub endpoints: usize,
    /// Number of base models.
    pub models: usize,
    /// Number of adapters.
    pub adapters: usize,
    /// Number of entry instances.
    pub entries: usize,
    /// Number of client accounts.
    pub accounts: usize,
    /// Number of availability zones.
    pub zones: usize,
    /// One-way delay between availability zones, in microseconds.
    pub zone_delay_us: u64,
    /// Limits of loads.
    pub pacer: PacerSettings,
    /// Minimum duration of an adapter load in microseconds.
    pub adapter_load_us: u64,
}

/// Returns the existing deployments, and one ten times larger.
pub fn deployments() -> Vec<Deployment> {
    let nodriza = Deployment {
        name: "nodriza",
        endpoints: 12,
        models: 20,
        adapters: 80,
        entries: 3,
        accounts: 5,
        zones: 3,
        zone_delay_us: 1_500,
        pacer: PacerSettings::default(),
        adapter_load_us: 5_000,
    };
    let kovakt = Deployment {
        name: "kovakt",
        endpoints: 18,
        models: 30,
        adapters: 100,
        zone_delay_us: 500,
        pacer: PacerSettings {
            store_loads_per_minute: 120,
            store_burst: 7,
            store_parallel: 7,
            adapter_parallel: 55,
        },
        adapter_load_us: 7_500,
        ..nodriza.clone()
    };
    let large = Deployment {
        name: "tenfold",
        endpoints: 120,
        models: 200,
        adapters: 800,
        entries: 6,
        pacer: PacerSettings {
            store_loads_per_minute: 900,
            store_burst: 40,
            store_parallel: 40,
            adapter_parallel: 300,
        },
        ..nodriza.clone()
    };
    vec![nodriza, kovakt, large]
}

/// Workload or fault of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scenario {
    /// Demand without change.
    Steady,
    /// Popular and unpopular models exchange their demand.
    TenfoldMove,
    /// One account sends far more than the others.
    HeavyAccount,
    /// Three tenths of the requests move to the least popular model.
    PopularModel,
    /// An engine is lost.
    EndpointLoss,
    /// All engines of a zone are lost.
    ZoneLoss,
    /// The control leader is replaced.
    LeaderLoss,
    /// Orders are lost or arrive late.
    OrdersLost,
    /// Operators change the versions of models.
    OperatorEdits,
}

impl Scenario {
    /// All scenarios and their names.
    pub const ALL: [(Scenario, &'static str); 9] = [
        (Scenario::Steady, "steady"),
        (Scenario::TenfoldMove, "tenfold-move"),
        (Scenario::HeavyAccount, "heavy-account"),
        (Scenario::PopularModel, "popular-model"),
        (Scenario::EndpointLoss, "endpoint-loss"),
        (Scenario::ZoneLoss, "zone-loss"),
        (Scenario::LeaderLoss, "leader-loss"),
        (Scenario::OrdersLost, "orders-lost"),
        (Scenario::OperatorEdits, "operator-edits"),
    ];
}

/// Algorithm that decides on placement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlacementRule {
    /// The planner of the control leader.
    Planner,
    /// The even placement that all variants start from.
    Static,
    /// Loads on late requests, least recently used models out.
    OnDemand,
}

/// Algorithm that selects the endpoint of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteRule {
    /// The endpoint choice of the entry.
    Chooser,
    /// A random endpoint that holds the model.
    Random,
    /// The endpoint with the fewest attempts in flight.
    LeastInFlight,
}

/// A combination of mechanisms.
#[derive(Debug, Clone)]
pub struct Variant {
    /// Name.
    pub name: &'static str,
    /// Algorithm that decides on placement.
    pub placement: PlacementRule,
    /// Algorithm that selects the endpoint of a request.
    pub route: RouteRule,
    /// Whether agents know the account of a request and queue fairly.
    pub fair: bool,
    /// Whether entries use the load hints of agents.
    pub hints: bool,
    /// Whether prompts of one prefix go to the same engine.
    pub prefixes: bool,
    /// Settings of the endpoint choice.
    pub choice: ChoiceSettings,
    /// Settings of the planner, apart from its limits of loads.
    pub planner: PlacementSettings,
    /// Limits of loads in place of the deployment's.
    pub pacer: Option<PacerSettings>,
    /// Settings of the demand estimate.
    pub demand: DemandSettings,
}

impl Variant {
    /// Returns the planner's settings on a deployment.
    pub fn planner_settings(&self, deployment: &Deployment) -> PlacementSettings {
        let pacer = self.pacer.as_ref().unwrap_or(&deployment.pacer);
        PlacementSettings {
            pacer: pacer.clone(),
            ..self.planner.clone()
        }
    }
}

/// Tokens per second that one slot of the fake engine serves.
pub const SLOT_RATE: f64 = 240.0;

fn variant(name: &'static str, change: impl FnOnce(&mut Variant)) -> Variant {
    let mut variant = Variant {
        name,
        placement: PlacementRule::Planner,
        route: RouteRule::Chooser,
        fair: true,
        hints: true,
        prefixes: true,
        choice: ChoiceSettings::default(),
        planner: PlacementSettings {
            slot_tokens_per_second: SLOT_RATE,
            ..PlacementSettings::default()
        },
        pacer: None,
        demand: DemandSettings::default(),
    };
    change(&mut variant);
    variant
}

/// Returns the variant with all mechanisms, the baselines, and variants with one
/// mechanism disabled each.
pub fn variants() -> Vec<Variant> {
    vec![
        variant("all", |_| {}),
        variant("two-draws", |v| v.choice.draws = 2),
        variant("static-even", |v| v.placement = PlacementRule::Static),
        variant("on-demand-lru", |v| v.placement = PlacementRule::OnDemand),
        variant("random-route", |v| v.route = RouteRule::Random),
        variant("least-in-flight", |v| v.route = RouteRule::LeastInFlight),
        variant("fifo-queue", |v| v.fair = false),
        variant("no-hints", |v| v.hints = false),
        variant("no-prefix", |v| v.prefixes = false),
        variant("no-zone-cost", |v| v.choice.zone_cost = Duration::ZERO),
        variant("no-hysteresis", |v| v.planner.load_cost = 0.0),
        variant("no-hold", |v| v.planner.min_residence = Duration::ZERO),
        variant("one-replica", |v| v.planner.min_replicas = 1),
        variant("fast-fall", |v| v.demand.fall = v.demand.rise),
        variant("no-pacing", |v| {
            v.pacer = Some(PacerSettings {
                store_loads_per_minute: 60_000,
                store_burst: 1_000,
                store_parallel: 1_000,
                adapter_parallel: 10_000,
            });
        }),
    ]
}
