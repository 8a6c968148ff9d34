//! Tests of the bench's control instance when its leader is replaced.

use std::time::{Duration, Instant};

use mulberrywell_policy_bench::{
    deployments, variants, BenchControl, BenchEntries, Deployment, Variant,
};
use mulberrywell_wire::config::{EndpointItem, EndpointState};
use mulberrywell_wire::endpoint::{Announce, StateReport};
use mulberrywell_wire::FrameBody;
use rstest::rstest;

/// Interval of the plans.
const PLAN_INTERVAL: Duration = Duration::from_secs(1);

/// Plans from the start of a leader: the wait for reports, and some with loads.
const PLAN_COUNT: u32 = 10;

/// Engines without models, reported to one leader after another.
struct EmptyFleet<'a> {
    deployment: &'a Deployment,
    control: BenchControl<'a>,
    entries: BenchEntries<'a>,
    now: Instant,
}

impl<'a> EmptyFleet<'a> {
    fn new(deployment: &'a Deployment, variant: &'a Variant) -> Self {
        let now = Instant::now();
        EmptyFleet {
            deployment,
            control: BenchControl::new(deployment, variant, now),
            entries: BenchEntries::new(deployment, variant),
            now,
        }
    }

    fn report(&mut self, endpoint: usize) {
        let item = EndpointItem {
            incarnation: 1,
            state: EndpointState::Live.into(),
            ..EndpointItem::default()
        };
        let announce = Announce {
            endpoint: Some(item),
            ..Announce::default()
        };
        let report = StateReport {
            incarnation: 1,
            ..StateReport::default()
        };
        for body in [
            FrameBody::Announce(announce),
            FrameBody::StateReport(report),
        ] {
            self.control
                .handle_frame(self.now, endpoint, body, &mut self.entries);
        }
    }

    /// Returns the loads ordered in the first plans of a leader.
    fn ordered_loads(&mut self) -> usize {
        let mut ordered_models = vec![0; self.deployment.endpoints];
        for _ in 0..PLAN_COUNT {
            self.now += PLAN_INTERVAL;
            for endpoint in 0..self.deployment.endpoints {
                self.report(endpoint);
            }
            for (endpoint, order) in self.control.plan(self.now, &mut self.entries) {
                ordered_models[endpoint] = order.models.len();
            }
        }
        ordered_models.iter().sum()
    }
}

fn variant_named(name: &str) -> Variant {
    let mut variants = variants().into_iter();
    variants.find(|variant| variant.name == name).unwrap()
}

// Guards against a variant that regains the limits it is meant to lack.
#[rstest]
fn replace_leader_keeps_load_limits(#[values("all", "no-pacing")] name: &str) {
    let variant = variant_named(name);
    for deployment in deployments() {
        let mut fleet = EmptyFleet::new(&deployment, &variant);
        let first = fleet.ordered_loads();
        fleet.control.replace_leader(fleet.now);
        assert_eq!(fleet.ordered_loads(), first, "{}", deployment.name);
    }
}

// Guards against a variant without pacing whose burst still paces it.
#[test]
fn no_pacing_loads_at_once() {
    let variant = variant_named("no-pacing");
    for deployment in deployments() {
        let mut fleet = EmptyFleet::new(&deployment, &variant);
        let loads = fleet.ordered_loads();
        // The planner brings each model to two engines where memory allows.
        let wanted = 2 * deployment.models;
        assert!(loads >= wanted, "{}: {loads} of {wanted}", deployment.name);
    }
}
