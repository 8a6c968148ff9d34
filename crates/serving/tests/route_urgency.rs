//! Tests of which routes are deferrable.

use bytes::Bytes;
use mulberrywell_serving::ServingIndex;
use mulberrywell_wire::serving::{ServiceShare, ServingConfig, ServingRoute};
use rstest::rstest;

/// Priority and objective in milliseconds of a route.
type Terms = (u32, u64);

fn route(name: &str, service: &str, (priority, objective_ms): Terms) -> ServingRoute {
    ServingRoute {
        name: Bytes::from(name.to_owned()),
        priority,
        objective_ms,
        shares: vec![ServiceShare {
            service: Bytes::from(service.to_owned()),
            weight: 1,
        }],
        ..ServingRoute::default()
    }
}

// Guards against deferring work of a configuration in which no urgent route has a much
// tighter objective: such deployments are to be served as without deferral.
#[rstest]
#[case::much_tighter_urgent((0, 800), (2, 8_000), true)]
#[case::a_quarter((0, 500), (1, 2_000), true)]
#[case::urgent_not_tight((0, 2_000), (1, 4_000), false)]
#[case::urgent_is_loose((0, 2_000), (1, 800), false)]
#[case::same_priority((1, 800), (1, 4_000), false)]
#[case::no_objective((0, 0), (1, 4_000), false)]
fn is_deferrable_pairs(#[case] urgent: Terms, #[case] other: Terms, #[case] expected: bool) {
    let config = ServingConfig {
        version: 1,
        routes: vec![route("urgent", "s", urgent), route("other", "s", other)],
        ..ServingConfig::default()
    };
    let mut index = ServingIndex::default();
    index.apply(config.clone());
    assert!(!index.is_deferrable(&config.routes[0]));
    assert_eq!(index.is_deferrable(&config.routes[1]), expected);
    assert_eq!(index.has_deferrable(&Bytes::from_static(b"s")), expected);
}

// Guards against relating the routes of services that don't share endpoints.
#[rstest]
fn is_deferrable_other_service() {
    let config = ServingConfig {
        version: 1,
        routes: vec![
            route("urgent", "s", (0, 100)),
            route("other", "t", (1, 900)),
        ],
        ..ServingConfig::default()
    };
    let mut index = ServingIndex::default();
    index.apply(config.clone());
    assert!(!index.is_deferrable(&config.routes[1]));
    assert!(!index.has_deferrable(&Bytes::from_static(b"t")));
}
